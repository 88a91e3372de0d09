// Package store keeps second copies of finished, undelivered samples on VMs
// with a disk. A copy is a convenience: a sample whose copy is lost is made
// again.
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
	// defaultLimit bounds the copies of one step, in bytes.
	defaultLimit = 1 << 30
	// keepFor is how long copies outlast their last change.
	keepFor = 45 * time.Minute
	maxLine = 16 << 20
	// pageBytes bounds the copies returned at a time.
	pageBytes = 8 << 20
	fileMode  = 0o600
	dirMode   = 0o700
)

// Store keeps copies in a folder, one file a step.
type Store struct {
	// Limit bounds the copies of one step, in bytes.
	Limit int64

	dir string

	mu    sync.Mutex
	files map[quetzalpier.StepKey]*file
}

type file struct {
	path string
	size int64
	last time.Time
	hash uint64
}

// FullError reports that a step's copies have reached their limit.
type FullError struct {
	Step quetzalpier.StepKey
	Size int64
}

// Error implements error.
func (e *FullError) Error() string {
	return "copies of step " + e.Step.String() + " reached " + strconv.FormatInt(e.Size, 10) + " bytes"
}

// Open empties and opens the folder. Copies of an earlier process are not
// read: their steps have moved to other owners.
func Open(data string) (*Store, error) {
	dir := filepath.Join(data, "copies")
	if err := os.RemoveAll(dir); err != nil {
		return nil, errors.Wrap(err, "clear copies")
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, errors.Wrap(err, "open copies")
	}
	return &Store{Limit: defaultLimit, dir: dir, files: map[quetzalpier.StepKey]*file{}}, nil
}

// Keep adds samples' JSON to the step's copies.
func (s *Store) Keep(key quetzalpier.StepKey, sum uint64, samples [][]byte, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.files[key]
	if f == nil || f.hash != sum {
		f = &file{path: s.path(key), hash: sum}
		s.files[key] = f
		if err := os.WriteFile(f.path, nil, fileMode); err != nil {
			return errors.Wrap(err, "create copies")
		}
	}
	f.last = now
	var lines bytes.Buffer
	for _, sample := range samples {
		lines.Write(sample)
		lines.WriteByte('\n')
	}
	if f.size+int64(lines.Len()) > s.Limit {
		return &FullError{key, f.size}
	}
	f.size += int64(lines.Len())
	return appendTo(f.path, lines.Bytes())
}

// Recall returns copies of a step, if they are of the same content, leaving
// out the first skip of them; more tells that there are further ones.
func (s *Store) Recall(key quetzalpier.StepKey, sum, skip uint64) (samples [][]byte, more bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.files[key]
	if f == nil || f.hash != sum {
		return nil, false, nil
	}
	in, err := os.Open(f.path)
	if err != nil {
		return nil, false, errors.Wrap(err, "read copies")
	}
	defer func() { _ = in.Close() }()
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
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
	return samples, false, errors.Wrap(scanner.Err(), "read copies")
}

// Drop removes the copies of a step.
func (s *Store) Drop(key quetzalpier.StepKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

// Sweep removes the copies of steps that nobody has added to for long.
func (s *Store) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, f := range s.files {
		if now.Sub(f.last) > keepFor {
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

func appendTo(path string, data []byte) error {
	out, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "open copies")
	}
	_, err = out.Write(data)
	if closed := out.Close(); err == nil {
		err = closed
	}
	return errors.Wrap(err, "write copies")
}
