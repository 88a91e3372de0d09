package swap_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/swap"
)

// TestLoadTime replays loads of 0.9 s whose polls are answered late, by engines whose
// reports lag and an owner that is busy.
func TestLoadTime(t *testing.T) {
	const load, pollInterval = 900 * time.Millisecond, 100 * time.Millisecond
	for _, c := range []struct {
		name     string
		slowest  time.Duration
		expected time.Duration
	}{
		{"prompt answers", 10 * time.Millisecond, 1200 * time.Millisecond},
		{"answers take up to 0.2 s", 200 * time.Millisecond, 1400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 2))
			var times swap.LoadTime
			for range 2000 {
				at, poll := times.FirstPoll(), 1
				answer := func() time.Duration { return at + time.Duration(rnd.Int64N(int64(c.slowest))) }
				for answer(); at < load; poll++ {
					at += pollInterval
				}
				times.Observe(answer(), poll)
			}
			require.Greater(t, times.Mean(), load/2)
			require.Less(t, times.Mean(), c.expected)
		})
	}
	t.Run("after a slow phase the mean falls again", func(t *testing.T) {
		var times swap.LoadTime
		times.Observe(5*time.Second, 3)
		for range 60 {
			times.Observe(max(load, times.FirstPoll()), 1)
		}
		require.Less(t, times.Mean(), 1200*time.Millisecond)
	})
}
