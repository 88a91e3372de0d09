package lease_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/lease"
	"quetzalpier/stand"
)

func take(t *testing.T, h *lease.Holder, name string) bool {
	t.Helper()
	ok, err := h.Take(t.Context(), name, time.Now())
	require.NoError(t, err)
	return ok
}

func fence(h *lease.Holder, name string) uint64 {
	fence, ok := h.Fence(name, time.Now())
	if !ok {
		return 0
	}
	return fence
}

func TestLease(t *testing.T) {
	run := func(name string, body func(t *testing.T, memory *stand.Memory, a, b *lease.Holder)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := stand.NewMemory()
				body(t, memory, &lease.Holder{KV: memory, Node: "a"}, &lease.Holder{KV: memory, Node: "b"})
			})
		})
	}
	run("one holder at a time", func(t *testing.T, _ *stand.Memory, a, b *lease.Holder) {
		require.True(t, take(t, a, "p"))
		require.False(t, take(t, b, "p"))
		require.Positive(t, fence(a, "p"))
		require.Zero(t, fence(b, "p"))
	})
	run("renewals keep it", func(t *testing.T, _ *stand.Memory, a, b *lease.Holder) {
		require.True(t, take(t, a, "p"))
		for range 30 {
			time.Sleep(time.Second)
			require.NoError(t, a.Keep(t.Context(), time.Now()))
			require.Positive(t, fence(a, "p"))
		}
		require.False(t, take(t, b, "p"))
	})
	run("a paused holder finds its lease over and its successor has a higher fence", func(t *testing.T, _ *stand.Memory, a, b *lease.Holder) {
		require.True(t, take(t, a, "p"))
		old := fence(a, "p")
		time.Sleep(lease.TTL + time.Second)
		require.Zero(t, fence(a, "p"))
		require.True(t, take(t, b, "p"))
		require.Greater(t, fence(b, "p"), old)
		require.Error(t, a.Keep(t.Context(), time.Now()))
		require.False(t, take(t, a, "p"))
	})
	run("the holder stops before the service ends its lease", func(t *testing.T, _ *stand.Memory, a, b *lease.Holder) {
		require.True(t, take(t, a, "p"))
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if take(t, b, "p") {
				require.Zero(t, fence(a, "p"))
				return
			}
		}
		require.Fail(t, "lease never ended")
	})
	run("released names are free at once", func(t *testing.T, _ *stand.Memory, a, b *lease.Holder) {
		require.True(t, take(t, a, "p"))
		require.NoError(t, a.Release(t.Context(), "p"))
		require.True(t, take(t, b, "p"))
	})
	run("a lost answer is settled by reading back", func(t *testing.T, memory *stand.Memory, _, _ *lease.Holder) {
		kv := stand.NewFlaky(memory, 1)
		h := &lease.Holder{KV: kv, Node: "c"}
		require.True(t, take(t, h, "warm"))
		kv.Lose = 1
		_, err := h.Take(t.Context(), "p", time.Now())
		require.Error(t, err)
		kv.Lose = 0
		require.True(t, take(t, h, "p"))
		require.Positive(t, fence(h, "p"))
	})
	run("all names share one lease", func(t *testing.T, memory *stand.Memory, a, _ *lease.Holder) {
		for i := range 20 {
			require.True(t, take(t, a, fmt.Sprint("p", i)))
		}
		before := memory.Counts().Writes
		time.Sleep(3 * time.Second)
		require.NoError(t, a.Keep(t.Context(), time.Now()))
		require.Equal(t, before+1, memory.Counts().Writes)
	})
	run("a lease without names is renewed seldom, one with names often", func(t *testing.T, memory *stand.Memory, a, b *lease.Holder) {
		a.RestLife, a.RestEvery, a.Every, a.Life, a.Margin = 20*time.Second, 10*time.Second, 500*time.Millisecond, 2*time.Second, time.Second
		calls := func(during time.Duration) uint64 {
			before := memory.Counts().Writes
			for start := time.Now(); time.Since(start) < during; time.Sleep(100 * time.Millisecond) {
				require.NoError(t, a.Keep(t.Context(), time.Now()))
				_, err := a.Rest(t.Context(), time.Now())
				require.NoError(t, err)
			}
			return memory.Counts().Writes - before
		}
		require.LessOrEqual(t, calls(20*time.Second), uint64(3))
		require.True(t, take(t, a, "p"))
		require.GreaterOrEqual(t, calls(10*time.Second), uint64(19))
		require.Positive(t, fence(a, "p"))
		time.Sleep(2 * time.Second)
		require.True(t, take(t, b, "p"), "the lease of a name ends soon")
		require.Error(t, a.Keep(t.Context(), time.Now()))
		calls(5 * time.Second)
		require.LessOrEqual(t, calls(20*time.Second), uint64(3), "at rest again")
	})
	run("a taken name is not lost when the lease comes from rest", func(t *testing.T, _ *stand.Memory, a, _ *lease.Holder) {
		a.RestLife, a.RestEvery, a.Every, a.Life, a.Margin = 20*time.Second, 10*time.Second, 500*time.Millisecond, 2*time.Second, time.Second
		rest, err := a.Rest(t.Context(), time.Now())
		require.NoError(t, err)
		require.True(t, take(t, a, "p"))
		held, ok := a.Lease(time.Now())
		require.True(t, ok)
		require.NotEqual(t, rest, held)
		again, err := a.Rest(t.Context(), time.Now())
		require.NoError(t, err)
		require.Equal(t, held, again)
	})
}
