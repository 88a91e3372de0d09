package store_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/store"
)

var (
	start = time.Unix(1_000_000, 0)
	key   = quetzalpier.StepKey{Trainer: "t", Number: 3}
)

func openStore(t *testing.T) *store.Store {
	t.Helper()
	s, err := store.Open(t.TempDir())
	require.NoError(t, err)
	return s
}

// readAll returns all pages of a step's copies.
func readAll(t *testing.T, s *store.Store, contentHash uint64) (samples [][]byte, pages int) {
	t.Helper()
	for {
		page, more, err := s.ReadPage(key, contentHash, uint64(len(samples)))
		require.NoError(t, err)
		samples = append(samples, page...)
		pages++
		if !more {
			return samples, pages
		}
	}
}

func TestStore(t *testing.T) {
	t.Run("copies are returned in pages", func(t *testing.T) {
		s := openStore(t)
		var want [][]byte
		for i := range 5 {
			sample := []byte(fmt.Sprintf("%d%s", i, bytes.Repeat([]byte("x"), 3<<20)))
			want = append(want, sample)
			require.NoError(t, s.Append(key, 1, [][]byte{sample}, start))
		}
		got, pages := readAll(t, s, 1)
		require.Equal(t, want, got)
		require.Equal(t, 2, pages)
	})
	t.Run("copies with another content hash are not returned", func(t *testing.T) {
		s := openStore(t)
		require.NoError(t, s.Append(key, 1, [][]byte{[]byte("a")}, start))
		got, _ := readAll(t, s, 2)
		require.Empty(t, got)
		require.NoError(t, s.Append(key, 2, [][]byte{[]byte("b")}, start))
		got, _ = readAll(t, s, 1)
		require.Empty(t, got)
	})
	t.Run("dropped and expired copies are deleted", func(t *testing.T) {
		s := openStore(t)
		for _, remove := range []func(){func() { s.Drop(key) }, func() { s.Sweep(start.Add(time.Hour)) }} {
			require.NoError(t, s.Append(key, 1, [][]byte{[]byte("a")}, start))
			remove()
			got, _ := readAll(t, s, 1)
			require.Empty(t, got)
		}
	})
	t.Run("the size of a step's copies is limited", func(t *testing.T) {
		s := openStore(t)
		s.Limit = 100
		err := s.Append(key, 1, [][]byte{make([]byte, 101)}, start)
		var full *store.FullError
		require.True(t, errors.As(err, &full))
	})
}
