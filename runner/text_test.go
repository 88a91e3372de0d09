package runner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTextRoom guards against long texts that fill the memory of an owner, each of which is within
// the bound of one.
func TestTextRoom(t *testing.T) {
	start := func(r *Runner) *run { return &run{parent: &poolRunner{runner: r}} }
	grow := func(r *run, bytes int) bool {
		r.textBytes = bytes
		return r.takeRoom()
	}
	t.Run("a short text needs none", func(t *testing.T) {
		r := &Runner{MaxTextBytes: 1}
		r.textRoom().Add(1)
		require.True(t, grow(start(r), freeTextBytes))
		require.False(t, grow(start(r), freeTextBytes+1))
	})
	t.Run("the longest text has room in a small process", func(t *testing.T) {
		r := &Runner{MaxTextBytes: textCopies * (maxTextBytes + textStep)}
		long := start(r)
		for bytes := 0; bytes <= maxTextBytes; bytes += 1000 {
			require.True(t, grow(long, bytes))
		}
		require.False(t, grow(start(r), maxTextBytes))
	})
	t.Run("a text that has ended leaves its room", func(t *testing.T) {
		r := &Runner{MaxTextBytes: textCopies * (maxTextBytes + textStep)}
		long := start(r)
		require.True(t, grow(long, maxTextBytes))
		r.textRoom().Add(-long.roomBytes)
		require.True(t, grow(start(r), maxTextBytes))
	})
	t.Run("without a limit, all have room", func(t *testing.T) {
		r := &Runner{}
		for range 100 {
			require.True(t, grow(start(r), maxTextBytes))
		}
	})
}
