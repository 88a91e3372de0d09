package snap_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/snap"
	"quetzalpier/wire"
)

func newView(rev uint64) snap.View {
	entry := func(key string) quetzalpier.Changes {
		return quetzalpier.Changes{Rev: rev, Entries: []quetzalpier.Entry{{Key: key, Value: []byte("v"), Rev: rev}}}
	}
	return snap.View{Nodes: entry("n"), Upstreams: entry("u"), Config: entry("c")}
}

func TestFile(t *testing.T) {
	t.Run("a saved view is read by a later process", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "view")
		require.NoError(t, (&snap.File{Path: path}).Save(newView(7)))
		view, err := (&snap.File{Path: path}).Load()
		require.NoError(t, err)
		require.Equal(t, newView(7), view)
	})
	t.Run("a view is written again only if an entry changed", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "view")
		file := &snap.File{Path: path}
		require.NoError(t, file.Save(newView(7)))
		require.NoError(t, os.Remove(path))
		heartbeat := newView(7)
		heartbeat.Upstreams.Rev = 9
		require.NoError(t, file.Save(heartbeat))
		require.NoFileExists(t, path)
		require.NoError(t, file.Save(newView(10)))
		require.FileExists(t, path)
	})
	t.Run("without a file the view is empty", func(t *testing.T) {
		view, err := (&snap.File{Path: filepath.Join(t.TempDir(), "view")}).Load()
		require.NoError(t, err)
		require.Zero(t, view.Rev())
	})
	t.Run("a damaged file is not used", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "view")
		require.NoError(t, (&snap.File{Path: path}).Save(newView(7)))
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		for _, damaged := range [][]byte{nil, content[:4], content[:len(content)-1], append([]byte{content[0] + 1}, content[1:]...)} {
			require.NoError(t, os.WriteFile(path, damaged, 0o644))
			_, err := (&snap.File{Path: path}).Load()
			var broken *snap.BrokenFileError
			require.True(t, errors.As(err, &broken), "%d bytes", len(damaged))
		}
	})
}

func TestUnpack(t *testing.T) {
	_, complete := snap.Unpack(&wire.View{Rev: 7})
	require.False(t, complete, "a question has no parts")
	view, complete := snap.Unpack(newView(7).Pack())
	require.True(t, complete)
	require.Equal(t, newView(7), view)
}

func TestReceivers(t *testing.T) {
	stores, fronts := []string{"s1", "s2", "s3", "s4"}, []string{"f1", "f2", "f3", "f4", "f5", "f6", "f7", "f8"}
	sent := map[string]int{}
	for _, store := range stores {
		for _, id := range snap.Receivers(store, stores, append(fronts, stores...)) {
			require.NotEqual(t, store, id)
			sent[id]++
		}
	}
	for _, id := range append(fronts, stores...) {
		require.Equal(t, 2, sent[id], "%s gets the view of two nodes", id)
	}
	require.Equal(t, fronts, snap.Receivers("s1", []string{"s1"}, fronts), "the only sender serves all")
}
