package keep

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/disk"
)

const (
	// idFile is the name of the file that holds the ID of the disk.
	idFile = "disk"
	// idBytes is the number of random bytes of an ID.
	idBytes = 8
)

// NewID returns the ID of a new disk.
func NewID() string {
	data := make([]byte, idBytes)
	// Read never fails.
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

// ReadID returns the ID that was saved in a data directory; empty if there is none. Another
// content of the file is a FieldError.
func ReadID(dir string) (string, error) {
	data, err := os.ReadFile(filepath.Join(dir, idFile))
	if errors.Is(err, os.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", errors.Wrap(err, "read the ID of the disk")
	}
	if _, err := hex.DecodeString(string(data)); err != nil || len(data) != 2*idBytes {
		return "", &quetzalpier.FieldError{Field: "disk", Reason: "file " + idFile + " does not hold the ID of a disk"}
	}
	return string(data), nil
}

// SaveID saves the ID of the disk in a data directory.
func SaveID(dir, id string) error {
	return errors.Wrap(disk.Replace(filepath.Join(dir, idFile), []byte(id)), "save the ID of the disk")
}

// RemoveID removes the ID of the disk from a data directory.
func RemoveID(dir string) error {
	return errors.Wrap(disk.Remove(filepath.Join(dir, idFile)), "remove the ID of the disk")
}
