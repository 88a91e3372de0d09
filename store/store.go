// Package store keeps copies of finished, undelivered samples on VMs with a disk.
// Copies are optional: a sample whose copy is lost is generated again.
package store

import (
	"bufio"
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/hash"
)

const (
	// defaultLimit is the default of Store.Limit.
	defaultLimit = 1 << 30
	// retention is how long the copies of a step are kept after the last addition.
	retention    = 45 * time.Minute
	maxLineBytes = 16 << 20
	// pageBytes is the approximate size of the copies that one call sends or
	// returns.
	pageBytes = 8 << 20
	fileMode  = 0o600
	dirMode   = 0o700
)

// Store keeps copies in a directory with one file per step.
type Store struct {
	// Limit is the maximum size of the copies of one step, in bytes.
	Limit int64

	dir string

	mu    sync.Mutex
	files map[quetzalpier.StepKey]*file
}

type file struct {
	path        string
	size        int64
	lastChanged time.Time
	hash        uint64
}

// FullError reports that the copies of a step would exceed Store.Limit.
type FullError struct {
	Step quetzalpier.StepKey
	Size int64
}

// Error implements error.
func (e *FullError) Error() string {
	return "copies of step " + e.Step.String() + " reached " + strconv.FormatInt(e.Size, 10) + " bytes"
}

// Open creates an empty directory for copies in data. It deletes the copies of an
// earlier process, because their steps have moved to other owners.
func Open(data string) (*Store, error) {
	dir := filepath.Join(data, "copies")
	if err := os.RemoveAll(dir); err != nil {
		return nil, errors.Wrap(err, "clear the directory of sample copies")
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, errors.Wrap(err, "create the directory of sample copies")
	}
	return &Store{Limit: defaultLimit, dir: dir, files: map[quetzalpier.StepKey]*file{}}, nil
}

// Append appends samples in JSON to the copies of a step. Copies with another
// content hash are replaced.
func (s *Store) Append(key quetzalpier.StepKey, contentHash uint64, samples [][]byte, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.files[key]
	if f == nil || f.hash != contentHash {
		f = &file{path: s.path(key), hash: contentHash}
		s.files[key] = f
		if err := os.WriteFile(f.path, nil, fileMode); err != nil {
			return errors.Wrap(err, "create the file of a step's copies")
		}
	}
	f.lastChanged = now
	var lines bytes.Buffer
	for _, sample := range samples {
		lines.Write(sample)
		lines.WriteByte('\n')
	}
	if f.size+int64(lines.Len()) > s.Limit {
		return &FullError{key, f.size}
	}
	f.size += int64(lines.Len())
	return appendFile(f.path, lines.Bytes())
}

// ReadPage returns a page of the copies of a step, without the first skip ones,
// if they have the same content hash. more reports whether further ones follow.
func (s *Store) ReadPage(key quetzalpier.StepKey, contentHash, skip uint64) (samples [][]byte, more bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.files[key]
	if f == nil || f.hash != contentHash {
		return nil, false, nil
	}
	in, err := os.Open(f.path)
	if err != nil {
		return nil, false, errors.Wrap(err, "open the file of a step's copies")
	}
	defer func() { _ = in.Close() }()
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	size := 0
	for n := uint64(0); scanner.Scan(); n++ {
		if n < skip {
			continue
		}
		if size >= pageBytes {
			return samples, true, nil
		}
		size += len(scanner.Bytes())
		samples = append(samples, append([]byte(nil), scanner.Bytes()...))
	}
	return samples, false, errors.Wrap(scanner.Err(), "read the file of a step's copies")
}

// Drop deletes the copies of a step.
func (s *Store) Drop(key quetzalpier.StepKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

// Sweep deletes the copies of steps whose retention has ended.
func (s *Store) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, f := range s.files {
		if now.Sub(f.lastChanged) > retention {
			s.drop(key)
		}
	}
}

func (s *Store) drop(key quetzalpier.StepKey) {
	if f := s.files[key]; f != nil {
		_ = os.Remove(f.path)
		delete(s.files, key)
	}
}

func (s *Store) path(key quetzalpier.StepKey) string {
	return filepath.Join(s.dir, strconv.FormatUint(hash.Text(key.String()), 16)+".jsonl")
}

func appendFile(path string, data []byte) error {
	out, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "open the file of a step's copies")
	}
	_, err = out.Write(data)
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "append to the file of a step's copies")
}
