package disk_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier/disk"
)

// TestReplace guards against files that others can read, also where an older build left one.
func TestReplace(t *testing.T) {
	name := filepath.Join(t.TempDir(), "view")
	for _, earlier := range []string{"", name, name + disk.TempSuffix} {
		if earlier != "" {
			require.NoError(t, os.WriteFile(earlier, []byte("earlier"), 0o644))
			require.NoError(t, os.Chmod(earlier, 0o644))
		}
		require.NoError(t, disk.Replace(name, []byte("content")))
		info, err := os.Stat(name)
		require.NoError(t, err)
		require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
		content, err := os.ReadFile(name)
		require.NoError(t, err)
		require.Equal(t, "content", string(content))
	}
}

func TestRemove(t *testing.T) {
	name := filepath.Join(t.TempDir(), "view")
	require.NoError(t, disk.Remove(name), "there is no such file")
	require.NoError(t, disk.Replace(name, []byte("content")))
	require.NoError(t, disk.Remove(name))
	require.NoFileExists(t, name)
	require.Error(t, disk.Remove(filepath.Join(name, "x", "\x00")), "invalid name")
}
