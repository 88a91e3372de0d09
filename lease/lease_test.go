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

func tryTake(t *testing.T, h *lease.Holder, name string) bool {
	t.Helper()
	ok, err := h.Take(t.Context(), name, time.Now())
	require.NoError(t, err)
	return ok
}

func currentFence(h *lease.Holder, name string) uint64 {
	fence, ok := h.Fence(name, time.Now())
	if !ok {
		return 0
	}
	return fence
}

func TestLease(t *testing.T) {
	run := func(name string, body func(t *testing.T, memory *stand.MemoryKV, a, b *lease.Holder)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := stand.NewMemoryKV()
				body(t, memory, &lease.Holder{KV: memory, Node: "a"}, &lease.Holder{KV: memory, Node: "b"})
			})
		})
	}
	run("a name has one holder at a time", func(t *testing.T, _ *stand.MemoryKV, a, b *lease.Holder) {
		require.True(t, tryTake(t, a, "p"))
		require.False(t, tryTake(t, b, "p"))
		require.Positive(t, currentFence(a, "p"))
		require.Zero(t, currentFence(b, "p"))
	})
	run("a renewed lease stays valid", func(t *testing.T, _ *stand.MemoryKV, a, b *lease.Holder) {
		require.True(t, tryTake(t, a, "p"))
		for range 30 {
			time.Sleep(time.Second)
			require.NoError(t, a.RenewIfDue(t.Context(), time.Now()))
			require.Positive(t, currentFence(a, "p"))
		}
		require.False(t, tryTake(t, b, "p"))
	})
	run("the lease of a paused holder expires and the next holder has a higher fencing token", func(t *testing.T, _ *stand.MemoryKV, a, b *lease.Holder) {
		require.True(t, tryTake(t, a, "p"))
		old := currentFence(a, "p")
		time.Sleep(lease.DefaultTTL + time.Second)
		require.Zero(t, currentFence(a, "p"))
		require.True(t, tryTake(t, b, "p"))
		require.Greater(t, currentFence(b, "p"), old)
		require.Error(t, a.RenewIfDue(t.Context(), time.Now()))
		require.False(t, tryTake(t, a, "p"))
	})
	run("the holder's lease becomes invalid before the service expires it", func(t *testing.T, _ *stand.MemoryKV, a, b *lease.Holder) {
		require.True(t, tryTake(t, a, "p"))
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if tryTake(t, b, "p") {
				require.Zero(t, currentFence(a, "p"))
				return
			}
		}
		require.Fail(t, "lease never expired")
	})
	run("a released name can be acquired at once", func(t *testing.T, _ *stand.MemoryKV, a, b *lease.Holder) {
		require.True(t, tryTake(t, a, "p"))
		require.NoError(t, a.Release(t.Context(), "p"))
		require.True(t, tryTake(t, b, "p"))
	})
	run("the outcome of a take with a lost reply is read back", func(t *testing.T, memory *stand.MemoryKV, _, _ *lease.Holder) {
		kv := stand.NewFlakyKV(memory, 1)
		h := &lease.Holder{KV: kv, Node: "c"}
		require.True(t, tryTake(t, h, "warm"))
		kv.LostAnswerRate = 1
		_, err := h.Take(t.Context(), "p", time.Now())
		require.Error(t, err)
		kv.LostAnswerRate = 0
		require.True(t, tryTake(t, h, "p"))
		require.Positive(t, currentFence(h, "p"))
	})
	run("all names share one lease", func(t *testing.T, memory *stand.MemoryKV, a, _ *lease.Holder) {
		for i := range 20 {
			require.True(t, tryTake(t, a, fmt.Sprint("p", i)))
		}
		before := memory.Counts().Writes
		time.Sleep(3 * time.Second)
		require.NoError(t, a.RenewIfDue(t.Context(), time.Now()))
		require.Equal(t, before+1, memory.Counts().Writes)
	})
	run("a lease without names is renewed less often than one with names", func(t *testing.T, memory *stand.MemoryKV, a, b *lease.Holder) {
		a.IdleTTL, a.IdleRenewInterval, a.RenewInterval, a.TTL, a.Margin = 20*time.Second, 10*time.Second, 500*time.Millisecond, 2*time.Second, time.Second
		calls := func(during time.Duration) uint64 {
			before := memory.Counts().Writes
			for start := time.Now(); time.Since(start) < during; time.Sleep(100 * time.Millisecond) {
				require.NoError(t, a.RenewIfDue(t.Context(), time.Now()))
				_, err := a.GrantIdle(t.Context(), time.Now())
				require.NoError(t, err)
			}
			return memory.Counts().Writes - before
		}
		require.LessOrEqual(t, calls(20*time.Second), uint64(3))
		require.True(t, tryTake(t, a, "p"))
		require.GreaterOrEqual(t, calls(10*time.Second), uint64(19))
		require.Positive(t, currentFence(a, "p"))
		time.Sleep(2 * time.Second)
		require.True(t, tryTake(t, b, "p"), "a lease with names must expire soon")
		require.Error(t, a.RenewIfDue(t.Context(), time.Now()))
		calls(5 * time.Second)
		require.LessOrEqual(t, calls(20*time.Second), uint64(3), "a lease without names must be renewed seldom again")
	})
	run("a name is kept when its lease replaces an idle one", func(t *testing.T, _ *stand.MemoryKV, a, _ *lease.Holder) {
		a.IdleTTL, a.IdleRenewInterval, a.RenewInterval, a.TTL, a.Margin = 20*time.Second, 10*time.Second, 500*time.Millisecond, 2*time.Second, time.Second
		idleLease, err := a.GrantIdle(t.Context(), time.Now())
		require.NoError(t, err)
		require.True(t, tryTake(t, a, "p"))
		held, ok := a.Lease(time.Now())
		require.True(t, ok)
		require.NotEqual(t, idleLease, held)
		again, err := a.GrantIdle(t.Context(), time.Now())
		require.NoError(t, err)
		require.Equal(t, held, again)
	})
}
