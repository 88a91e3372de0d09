package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/board"
	"quetzalpier/mirror"
)

func TestEvictable(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	t.Run("the entry of a member that has not come back is removed at once", func(t *testing.T) {
		require.True(t, evictable(&board.State{}, board.Member{Since: start}, start))
	})
	t.Run("the entry of an owner stays until its lease expires", func(t *testing.T) {
		s := &board.State{Owners: map[string]board.Owner{"pool": {Node: "a"}}}
		require.False(t, evictable(s, board.Member{ID: "a", Since: start}, start))
		require.True(t, evictable(s, board.Member{ID: "b", Since: start}, start))
	})
	t.Run("the pause doubles with each removal of a running member's entry", func(t *testing.T) {
		for evictions, pause := range map[int]time.Duration{1: minEvictionPause, 2: 2 * minEvictionPause, 4: 8 * minEvictionPause, 100: maxEvictionPause} {
			m := board.Member{Since: start, Evictions: evictions}
			require.False(t, evictable(&board.State{}, m, start.Add(pause-time.Millisecond)), "%d evictions", evictions)
			require.True(t, evictable(&board.State{}, m, start.Add(pause)), "%d evictions", evictions)
		}
	})
}

func TestRemovedRegistration(t *testing.T) {
	written := registration{rev: 7}
	require.True(t, written.removed(false, mirror.State{Rev: 8}), "the list covers the write and lacks the entry")
	require.False(t, written.removed(true, mirror.State{Rev: 8}), "the entry is listed")
	require.False(t, written.removed(false, mirror.State{Rev: 6}), "the list is older than the write")
	require.False(t, written.removed(false, mirror.State{Rev: 8, Failing: true}), "the list is not up to date")
	require.False(t, registration{}.removed(false, mirror.State{Rev: 8}), "nothing was written yet")
}
