package snap_test

import (
	"encoding/binary"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"quetzalpier/hash"
	"quetzalpier/snap"
	"quetzalpier/wire"
)

// FuzzLoad checks that a file of another program, with or without a checksum that fits, is a
// view or an error.
func FuzzLoad(f *testing.F) {
	for _, view := range []*wire.View{{}, {Config: &wire.Stored{Rev: math.MaxUint64, Entries: []*wire.Entry{nil, {}}}}} {
		data, err := proto.Marshal(view)
		require.NoError(f, err)
		f.Add(data, true)
	}
	f.Add([]byte(nil), false)
	f.Add([]byte("1234567"), false)
	f.Add([]byte("\xff\xff"), true)
	f.Fuzz(func(t *testing.T, data []byte, sum bool) {
		if sum {
			data = append(binary.BigEndian.AppendUint64(nil, hash.Text(string(data))), data...)
		}
		path := filepath.Join(t.TempDir(), "view")
		require.NoError(t, os.WriteFile(path, data, 0o600))
		file := snap.File{Path: path}
		view, err := file.Load()
		if err != nil {
			require.Zero(t, view)
			return
		}
		require.NoError(t, file.Save(view))
	})
}
