// Package disk writes files that survive a loss of power.
package disk

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// TempSuffix is the suffix of files that are not complete.
const TempSuffix = ".new"

// mode lets only the owner read files: they may hold the configuration and its API keys.
const mode = 0o600

// Replace writes a file that only its owner can read, and syncs it to disk under its final name. After a loss of
// power the file has either its earlier or its new content.
func Replace(name string, data []byte) error {
	file, err := os.OpenFile(name+TempSuffix, os.O_RDWR|os.O_CREATE|os.O_TRUNC, mode)
	if err != nil {
		return errors.Wrap(err, "write file")
	}
	// A file left by an earlier process may have another mode.
	err = file.Chmod(mode)
	if err == nil {
		_, err = file.Write(data)
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(name+TempSuffix, name)
	}
	if err == nil {
		err = syncDir(filepath.Dir(name))
	}
	return errors.Wrap(err, "write file")
}

// Remove removes a file, if there is one, and syncs its removal to disk.
func Remove(name string) error {
	err := os.Remove(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = syncDir(filepath.Dir(name))
	}
	return errors.Wrap(err, "remove file")
}

// syncDir syncs a directory to disk, so that the names of its files are durable.
func syncDir(name string) error {
	dir, err := os.Open(name)
	if err != nil {
		return err
	}
	err = dir.Sync()
	if closeErr := dir.Close(); err == nil {
		err = closeErr
	}
	return err
}
