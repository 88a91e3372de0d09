package usage_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/usage"
)

// Guards against a key of another writer among the reports, whose window is far from now:
// the holder reported no window any more, or looped for ever.
func TestOddWindowDoesNotEndTheReports(t *testing.T) {
	schedule := usage.Schedule{Window: 5 * time.Second, Late: 10 * time.Second}
	now := time.Unix(1_800_000_000, 0)
	current := schedule.At(now)
	for _, odd := range []int64{1 << 62, current + 1000, 1 << 40, math.MaxInt64, math.MaxInt64 / 5000, math.MinInt64, -1} {
		plan := usage.NewPlan(schedule, map[int64][]byte{odd: []byte("x"), current - 2: []byte("y")}, now)
		done := make(chan usage.Step, 1)
		go func() { done <- plan.Next(now.Add(9 * time.Second)) }()
		select {
		case step := <-done:
			require.Equal(t, usage.Close, step.Kind, "window %d", odd)
			require.Equal(t, current-1, step.Window, "window %d", odd)
		case <-time.After(5 * time.Second):
			require.Fail(t, "the plan loops", "window %d", odd)
		}
		require.Zero(t, plan.Lost, "window %d", odd)
	}
}

// FuzzNewPlan checks that a plan goes on after any stored windows, within a few windows of now.
func FuzzNewPlan(f *testing.F) {
	for _, odd := range []int64{0, -1, math.MinInt64, math.MaxInt64, 1 << 62, math.MaxInt64 / 5000, 360_000_000, 360_000_002, 360_000_003} {
		f.Add(odd, int64(359_999_998), int64(9000))
	}
	schedule := usage.Schedule{Window: 5 * time.Second, Late: 10 * time.Second}
	start := time.Unix(1_800_000_000, 0)
	f.Fuzz(func(t *testing.T, a, b, afterMillis int64) {
		now := start.Add(time.Duration(afterMillis%3_600_000) * time.Millisecond)
		plan := usage.NewPlan(schedule, map[int64][]byte{a: nil, b: nil}, now)
		later := now.Add(time.Minute)
		step := plan.Next(later)
		require.Equal(t, usage.Close, step.Kind)
		require.InDelta(t, schedule.At(later), step.Window, 16)
	})
}
