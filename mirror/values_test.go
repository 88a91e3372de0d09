package mirror_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier/mirror"
	"quetzalpier/stand"
)

// The owner of a pool kept a second copy of all jobs, which nobody read.
func TestDropValues(t *testing.T) {
	kv := stand.NewMemoryKV()
	put(t, kv, "p/a", "1")
	m, c := startMirror(t, kv, func(m *mirror.Mirror) { m.DropValues = true })
	requireValue(t, c, "p/a", "1")
	put(t, kv, "p/b", "2")
	requireValue(t, c, "p/b", "2")
	kept, ok := m.Snapshot()
	require.True(t, ok)
	require.Len(t, kept.Entries, 2)
	for _, entry := range kept.Entries {
		require.Empty(t, entry.Value)
		require.NotZero(t, entry.Rev)
	}
}
