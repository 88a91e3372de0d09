// Package disk writes files that survive a loss of power.
package disk

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// TempSuffix is the suffix of files that are not complete.
const TempSuffix = ".new"

// Replace writes a file and syncs it to disk under its final name. After a loss of
// power the file has either its earlier or its new content.
func Replace(name string, data []byte) error {
	file, err := os.Create(name + TempSuffix)
	if err != nil {
		return errors.Wrap(err, "write file")
	}
	_, err = file.Write(data)
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
