package limit_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/limit"
	"quetzalpier/wire"
)

var (
	vm     = quetzalpier.VM{ID: "u", Pool: "p", Addr: "127.0.0.1:1", State: quetzalpier.VMLive, Kind: quetzalpier.KindPlain, Incarnation: 1}
	limit5 = quetzalpier.Limit{Named: true, PerSecond: 5}
)

// newKeepers returns the Keepers of nodes that call each other, and of which cut can't
// be reached.
func newKeepers(t *testing.T, cut *atomic.Value, ids ...string) map[string]*limit.Keeper {
	t.Helper()
	keepers := map[string]*limit.Keeper{}
	for _, id := range ids {
		b := board.New(board.Member{ID: id, Peer: id})
		b.Update(func(s *board.State) {
			for _, other := range ids {
				s.Members[other] = board.Member{ID: other, Peer: other}
			}
			s.Owners["p"] = board.Owner{Node: ids[0]}
			s.SetListed([]quetzalpier.VM{vm}, time.Now())
		})
		k := limit.New(b, zerolog.Nop())
		k.Peers = func() (others []string) {
			for _, other := range ids {
				if other != id {
					others = append(others, other)
				}
			}
			return others
		}
		k.Call = func(_ context.Context, addr string, call *wire.Call) (*wire.Reply, error) {
			if addr == cut.Load() {
				return nil, errors.New("unreachable")
			}
			return &wire.Reply{Kind: &wire.Reply_Permit{Permit: keepers[addr].Serve(call.GetLimits(), time.Now())}}, nil
		}
		keepers[id] = k
	}
	return keepers
}

func named(k *limit.Keeper) (limit quetzalpier.Limit) {
	k.Board.Do(func(s *board.State) { limit = s.Upstreams[vm.ID].Limit.Limit })
	return limit
}

func TestKeepers(t *testing.T) {
	var cut atomic.Value
	cut.Store("")
	keepers := newKeepers(t, &cut, "a", "b", "c")
	now := time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	var running conc.WaitGroup
	running.Go(func() { keepers["b"].Run(ctx) })
	defer func() { cancel(); running.Wait() }()
	t.Run("a limit that one node learns is told to the others", func(t *testing.T) {
		require.NoError(t, keepers["b"].Admit(t.Context(), vm, true, now))
		keepers["b"].Observe(vm, quetzalpier.Notice{Limit: limit5}, now, now)
		// The call for a permit tells the grantor only.
		_ = keepers["b"].Admit(t.Context(), vm, true, time.Now())
		for _, k := range keepers {
			require.Eventually(t, func() bool { return named(k) == limit5 }, 10*time.Second, time.Millisecond)
		}
	})
	t.Run("the nodes together keep it", func(t *testing.T) {
		var admitted atomic.Int32
		end := time.Now().Add(2 * time.Second)
		var nodes conc.WaitGroup
		for _, k := range keepers {
			nodes.Go(func() {
				for time.Now().Before(end) {
					var limited *quetzalpier.LimitedError
					if err := k.Admit(t.Context(), vm, true, time.Now()); err == nil {
						admitted.Add(1)
					} else if errors.As(err, &limited) {
						time.Sleep(min(limited.RetryAfter, 50*time.Millisecond))
					}
				}
			})
		}
		nodes.Wait()
		require.LessOrEqual(t, int(admitted.Load()), 2*5+5)
		require.Positive(t, admitted.Load())
	})
	t.Run("a node that can't ask sends nothing", func(t *testing.T) {
		cut.Store("a")
		var limited *quetzalpier.LimitedError
		require.Eventually(t, func() bool {
			return errors.As(keepers["c"].Admit(t.Context(), vm, true, time.Now()), &limited) && limited.RetryAfter > 0
		}, 5*time.Second, time.Millisecond)
		cut.Store("")
	})
	t.Run("a node that starts reads it", func(t *testing.T) {
		restarted := newKeepers(t, &cut, "a", "b", "c")["c"]
		restarted.Call = keepers["c"].Call
		running.Go(func() { restarted.Run(ctx) })
		require.Eventually(t, func() bool { return named(restarted) == limit5 }, 10*time.Second, time.Millisecond)
	})
	t.Run("a node that does not answer is told later", func(t *testing.T) {
		cut.Store("c")
		limit9 := quetzalpier.Limit{Named: true, PerSecond: 9}
		keepers["b"].Observe(vm, quetzalpier.Notice{Limit: limit9}, time.Now(), time.Now())
		require.Eventually(t, func() bool { return named(keepers["a"]) == limit9 }, 10*time.Second, time.Millisecond)
		require.Equal(t, limit5, named(keepers["c"]))
		cut.Store("")
		require.Eventually(t, func() bool { return named(keepers["c"]) == limit9 }, 10*time.Second, time.Millisecond)
	})
	t.Run("its end is told too", func(t *testing.T) {
		later := time.Now().Add(time.Millisecond)
		keepers["b"].Observe(vm, quetzalpier.Notice{}, later, later)
		for _, k := range keepers {
			require.Eventually(t, func() bool { return !named(k).Named }, 10*time.Second, time.Millisecond)
		}
	})
	t.Run("an invalid limit from another node changes nothing", func(t *testing.T) {
		keepers["a"].Serve(&wire.Limits{Limits: []*wire.Limit{{Upstream: vm.ID, Born: 1, Named: true, Rate: -1}}}, time.Now().Add(time.Second))
		require.False(t, named(keepers["a"]).Named)
	})
	t.Run("a limit of an earlier process changes nothing", func(t *testing.T) {
		keepers["a"].Serve(&wire.Limits{Limits: []*wire.Limit{{Upstream: vm.ID, Born: 7, Named: true, Rate: 1}}}, time.Now().Add(time.Second))
		require.False(t, named(keepers["a"]).Named)
	})
}

// TestLeaving guards against requests to an upstream that said that it is leaving.
func TestLeaving(t *testing.T) {
	var cut atomic.Value
	cut.Store("")
	keepers := newKeepers(t, &cut, "a", "b", "c")
	other := vm
	other.ID = "v"
	list := func(b *board.Board, vms ...quetzalpier.VM) {
		b.Update(func(s *board.State) { s.SetListed(vms, time.Now()) })
	}
	for _, k := range keepers {
		list(k.Board, vm, other)
	}
	leaves := func(k *limit.Keeper, id string) (leaving bool) {
		k.Board.Do(func(s *board.State) { leaving = s.Upstreams[id].Leaving() })
		return leaving
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running conc.WaitGroup
	running.Go(func() { keepers["b"].Run(ctx) })
	defer func() { cancel(); running.Wait() }()
	keepers["b"].Observe(vm, quetzalpier.Notice{Leaving: true}, time.Now(), time.Now())
	require.True(t, leaves(keepers["b"], "u"))
	t.Run("the other nodes are told", func(t *testing.T) {
		for _, id := range []string{"a", "c"} {
			require.Eventually(t, func() bool { return leaves(keepers[id], "u") }, 10*time.Second, time.Millisecond)
		}
	})
	t.Run("a list that still names it as live doesn't take it back", func(t *testing.T) {
		list(keepers["a"].Board, vm, other)
		require.True(t, leaves(keepers["a"], "u"))
	})
	t.Run("what another node heard doesn't empty the pool", func(t *testing.T) {
		keepers["a"].Serve(&wire.Limits{Limits: []*wire.Limit{{Upstream: "v", Born: 1, Leaving: true}}}, time.Now())
		require.False(t, leaves(keepers["a"], "v"))
	})
	t.Run("its own answer does", func(t *testing.T) {
		keepers["a"].Observe(other, quetzalpier.Notice{Leaving: true}, time.Now(), time.Now())
		require.True(t, leaves(keepers["a"], "v"))
	})
	t.Run("a later start under its ID ends it", func(t *testing.T) {
		restarted := vm
		restarted.Incarnation = 2
		list(keepers["a"].Board, restarted, other)
		require.False(t, leaves(keepers["a"], "u"))
		keepers["a"].Observe(vm, quetzalpier.Notice{Leaving: true}, time.Now(), time.Now())
		require.False(t, leaves(keepers["a"], "u"), "the answer of the process before")
	})
}

func TestNoticeBeforeListing(t *testing.T) {
	var cut atomic.Value
	// Node b only hears what it is told.
	cut.Store("a")
	keepers := newKeepers(t, &cut, "a", "b")
	ctx, cancel := context.WithCancel(t.Context())
	var running conc.WaitGroup
	running.Go(func() { keepers["b"].Run(ctx) })
	defer func() { cancel(); running.Wait() }()
	restarted, staying := vm, vm
	restarted.Incarnation++
	staying.ID = "staying"
	list := func(id string) {
		keepers[id].Board.Update(func(s *board.State) { s.SetListed([]quetzalpier.VM{restarted, staying}, time.Now()) })
	}
	leaving := func(id string) (leaving bool) {
		keepers[id].Board.Do(func(s *board.State) { leaving = s.Upstreams[vm.ID].SaidLeaving })
		return leaving
	}
	list("a")
	keepers["b"].Board.Update(func(s *board.State) { s.SetListed([]quetzalpier.VM{vm, staying}, time.Now()) })
	keepers["a"].Observe(restarted, quetzalpier.Notice{Leaving: true, Limit: limit5}, time.Now(), time.Now())
	reply := keepers["a"].Serve(&wire.Limits{Full: true}, time.Now())
	keepers["b"].Serve(&wire.Limits{Limits: reply.GetLimits()}, time.Now())
	require.False(t, leaving("b"), "the process that is listed did not say it")
	list("b")
	require.Eventually(t, func() bool { return leaving("b") && named(keepers["b"]) == limit5 }, 5*time.Second, 10*time.Millisecond)
}

// Load pattern: a node starts in an outage of the key-value service, and the others learn
// that an upstream is leaving before they know that node.
func TestNoticeToUnlistedNode(t *testing.T) {
	var cut atomic.Value
	cut.Store("")
	keepers := newKeepers(t, &cut, "a", "b")
	staying := vm
	staying.ID = "staying"
	for _, k := range keepers {
		k.Board.Update(func(s *board.State) { s.SetListed([]quetzalpier.VM{vm, staying}, time.Now()) })
	}
	setListed := func(listed bool) {
		keepers["b"].Board.Update(func(s *board.State) {
			delete(s.Members, "b")
			if listed {
				s.Members["b"] = board.Member{ID: "b", Peer: "b"}
			}
		})
	}
	setListed(false)
	reads := atomic.Int32{}
	call := keepers["b"].Call
	keepers["b"].Call = func(ctx context.Context, addr string, message *wire.Call) (*wire.Reply, error) {
		reads.Add(1)
		return call(ctx, addr, message)
	}
	keepers["b"].Board.Update(func(s *board.State) { s.Members["c"] = board.Member{ID: "c"} })
	ctx, cancel := context.WithCancel(t.Context())
	var running conc.WaitGroup
	running.Go(func() { keepers["b"].Run(ctx) })
	defer func() { cancel(); running.Wait() }()
	require.Eventually(t, func() bool { return reads.Load() > 0 }, 5*time.Second, time.Millisecond)
	keepers["a"].Observe(vm, quetzalpier.Notice{Leaving: true}, time.Now(), time.Now())
	setListed(true)
	leaving := func() (leaving bool) {
		keepers["b"].Board.Do(func(s *board.State) { leaving = s.Upstreams[vm.ID].SaidLeaving })
		return leaving
	}
	require.Eventually(t, leaving, 4*time.Second, 10*time.Millisecond)
}
