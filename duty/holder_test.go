package duty_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/duty"
	"quetzalpier/lease"
	"quetzalpier/meter"
	"quetzalpier/stand"
	"quetzalpier/vault"
)

// newHolder returns a running holder of a node that shares a store with others.
func newHolder(t *testing.T, kv quetzalpier.KV, name string) *duty.Holder {
	t.Helper()
	h := duty.NewHolder(name, 300*time.Millisecond, time.Now())
	h.Board, h.KV, h.Meter, h.Log = board.New(board.Member{ID: name}), kv, meter.New(), zerolog.Nop()
	h.Lease = &lease.Holder{KV: kv, Node: name, Prefix: vault.Owners, TTL: 30 * time.Second}
	h.Board.Update(func(s *board.State) {
		for pool, batch := range map[string]bool{"m": true, "n": true, "b": false} {
			s.Config.Routes = append(s.Config.Routes, quetzalpier.Route{Batch: batch, Targets: []quetzalpier.Target{{Pool: pool}}})
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); h.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return h
}

func take(t *testing.T, h *duty.Holder, pool string) {
	t.Helper()
	taken, err := h.Lease.Take(t.Context(), pool, time.Now())
	require.NoError(t, err)
	require.True(t, taken)
}

// awaitTurn returns the next turn of a holder with a token after the given one.
func awaitTurn(t *testing.T, h *duty.Holder, after uint64) (turn quetzalpier.Turn) {
	t.Helper()
	require.Eventually(t, func() bool {
		var ok bool
		turn, ok = h.Turn(time.Now())
		return ok && turn.Token > after
	}, 5*time.Second, 5*time.Millisecond)
	return turn
}

// TestHolder guards against a node that acts without owning the first batch pool, and
// against a token that is not the revision of the key.
func TestHolder(t *testing.T) {
	kv := stand.NewMemoryKV()
	a, b := newHolder(t, kv, "a"), newHolder(t, kv, "b")
	take(t, b, "n")
	take(t, a, "m")
	first := awaitTurn(t, a, 0)
	entry, err := kv.Get(t.Context(), duty.Key)
	require.NoError(t, err)
	require.Equal(t, quetzalpier.Turn{Holder: "a", Token: entry.Rev}, first)
	require.True(t, a.Valid(first.Token, time.Now()))
	require.False(t, a.Valid(first.Token, time.Now().Add(time.Minute)), "after the end of the lease")
	_, ok := b.Turn(time.Now())
	require.False(t, ok, "owner of another pool")

	t.Run("after too many calls", func(t *testing.T) {
		a.Observe(first, &quetzalpier.RefusedError{RateLimited: true}, time.Now())
		require.False(t, a.Valid(first.Token, time.Now()))
		require.Equal(t, first, awaitTurn(t, a, 0))
	})
	t.Run("a refused token is replaced without a pause if nobody else wrote", func(t *testing.T) {
		a.Observe(first, &quetzalpier.StaleFenceError{}, time.Now())
		require.False(t, a.Valid(first.Token, time.Now()))
		require.Greater(t, awaitTurn(t, a, first.Token).Token, first.Token)
	})
	t.Run("a released pool ends the turn at once, and the next node waits", func(t *testing.T) {
		last := awaitTurn(t, a, 0)
		require.NoError(t, a.Lease.Release(t.Context(), "m"))
		require.False(t, a.Valid(last.Token, time.Now()))
		released := time.Now()
		take(t, b, "m")
		require.Equal(t, "b", awaitTurn(t, b, last.Token).Holder)
		require.GreaterOrEqual(t, time.Since(released), 300*time.Millisecond)
	})
}

// TestMachine guards against a claim that shortens the pause after another process.
func TestMachine(t *testing.T) {
	own := duty.Ownership{Pool: "p", Fence: 5}
	t.Run("a claim without a known outcome keeps the pause", func(t *testing.T) {
		m := &duty.Machine{Node: "b", Process: "b1", Pause: pause}
		m.Next(own, start)
		m.HasRead(own, quetzalpier.Entry{Key: duty.Key, Value: []byte("a a1 p"), Rev: 3})
		step := m.Next(own, start)
		require.Equal(t, duty.Step{Action: duty.Claim, Expect: 3, Value: []byte("b b1 p")}, step)
		m.Failed(start)
		later := start.Add(time.Second)
		require.Equal(t, duty.Read, m.Next(own, later).Action)
		m.HasRead(own, quetzalpier.Entry{Key: duty.Key, Value: step.Value, Rev: 7})
		require.Equal(t, uint64(7), m.Next(own, later).Expect)
		m.Claimed(own, 8, later)
		_, ok := m.Turn(own, start.Add(pause-1))
		require.False(t, ok)
		_, ok = m.Turn(own, start.Add(pause))
		require.True(t, ok)
	})
	t.Run("the owner of another pool is waited out for longer", func(t *testing.T) {
		m := &duty.Machine{Node: "b", Process: "b1", Pause: pause}
		m.HasRead(own, quetzalpier.Entry{Key: duty.Key, Value: []byte("a a1 q"), Rev: 3})
		m.Next(own, start)
		m.Claimed(own, 8, start)
		_, ok := m.Turn(own, start.Add(2*pause-1))
		require.False(t, ok)
	})
	t.Run("a lease won back keeps the token", func(t *testing.T) {
		m := &duty.Machine{Node: "b", Process: "b1", Pause: pause}
		m.HasRead(own, quetzalpier.Entry{Key: duty.Key})
		m.Next(own, start)
		m.Claimed(own, 8, start)
		again := duty.Ownership{Pool: "p", Fence: 20}
		_, ok := m.Turn(again, start)
		require.False(t, ok)
		m.HasRead(own, quetzalpier.Entry{Key: duty.Key, Value: []byte("b b1 p"), Rev: 8})
		require.Equal(t, duty.Read, m.Next(again, start).Action, "a read from before does not count")
		m.HasRead(again, quetzalpier.Entry{Key: duty.Key, Value: []byte("b b1 p"), Rev: 8})
		require.Equal(t, duty.None, m.Next(again, start).Action)
		turn, ok := m.Turn(again, start)
		require.True(t, ok)
		require.Equal(t, uint64(8), turn.Token)
	})
}

// TestPool guards against duties that no node holds once the last batch route is removed.
func TestPool(t *testing.T) {
	pool := func(routes ...quetzalpier.Route) string {
		return duty.Pool(&board.State{Config: quetzalpier.Config{Routes: routes, Pools: map[string]quetzalpier.Pool{
			"app": {Kind: quetzalpier.KindPlain}, "lm": {Kind: quetzalpier.KindEngine}, "chat": {Kind: quetzalpier.KindEngine},
		}}})
	}
	require.Equal(t, "lm", pool(quetzalpier.Route{Batch: true, Targets: []quetzalpier.Target{{Pool: "lm"}}}))
	require.Equal(t, "chat", pool(quetzalpier.Route{Targets: []quetzalpier.Target{{Pool: "app"}}}))
	require.Empty(t, duty.Pool(&board.State{}))
}
