package limit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/limit"
)

var start = time.Unix(1000, 0)

func upstream(perSecond float64) *board.Upstream {
	return &board.Upstream{VM: quetzalpier.VM{ID: "u", Pool: "p"}, Limit: board.Limit{Limit: quetzalpier.Limit{Named: true, PerSecond: perSecond}}}
}

// requireWithin requires that no four seconds hold more grants than one and a half times
// the limit and five.
func requireWithin(t *testing.T, perSecond float64, grants []time.Time) {
	t.Helper()
	for i, from := range grants {
		count := 0
		for _, at := range grants[i:] {
			if at.Before(from.Add(4 * time.Second)) {
				count++
			}
		}
		require.LessOrEqual(t, count, int(1.5*4*perSecond)+5)
	}
}

// Load pattern: many nodes have more requests for an upstream than it accepts from all
// of them together, and ask again as soon as they may.
func TestTake(t *testing.T) {
	for _, perSecond := range []float64{0, 0.3, 1, 2.4, 20, 60} {
		for _, nodes := range []int{1, 10, 300} {
			t.Run(fmt.Sprintf("%g a second, %d nodes", perSecond, nodes), func(t *testing.T) {
				u := upstream(perSecond)
				retryAt := make([]time.Time, nodes)
				var grants []time.Time
				questions := 0
				for tick := range 2000 {
					now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
					for node := range nodes {
						if now.Before(retryAt[node]) {
							continue
						}
						questions++
						spread := math.Mod(float64(node)*0.618+float64(tick)*0.3819, 1)
						granted, after := limit.Take(u, fmt.Sprint(node), true, spread, now)
						if granted {
							grants = append(grants, now)
						}
						retryAt[node] = now.Add(after)
					}
				}
				requireWithin(t, perSecond, grants)
				require.GreaterOrEqual(t, len(grants), int(0.7*perSecond*20)-1, "the limit is used")
				require.LessOrEqual(t, questions, 2000+4*nodes+8*len(grants), "questions grow with the permits and not with the nodes")
			})
		}
	}
	t.Run("nodes that grant one after the other allow no burst each", func(t *testing.T) {
		var grants []time.Time
		for second := range 8 {
			u := upstream(5)
			for tick := range 100 {
				now := start.Add(time.Duration(second)*time.Second + time.Duration(tick)*10*time.Millisecond)
				if granted, _ := limit.Take(u, "n", true, 0, now); granted {
					grants = append(grants, now)
				}
			}
		}
		requireWithin(t, 5, grants)
	})
	t.Run("requests that a client waits for go first", func(t *testing.T) {
		u := upstream(1)
		for second := range 10 {
			now := start.Add(time.Duration(second) * 500 * time.Millisecond)
			urgent, _ := limit.Take(u, "front", true, 0.9, now)
			other, _ := limit.Take(u, "owner", false, 0.9, now.Add(time.Millisecond))
			require.False(t, other)
			require.Equal(t, second%2 == 0 && second > 0, urgent)
		}
		granted, _ := limit.Take(u, "owner", false, 0.1, start.Add(6*time.Second))
		require.True(t, granted, "the others get a small share")
	})
}

func TestObserve(t *testing.T) {
	one, two := quetzalpier.Limit{Named: true, PerSecond: 1}, quetzalpier.Limit{Named: true, PerSecond: 2}
	u := &board.Upstream{}
	require.True(t, limit.Observe(u, one, start, start.Add(time.Second)))
	t.Run("an answer to an earlier request doesn't end the limit", func(t *testing.T) {
		require.False(t, limit.Observe(u, quetzalpier.Limit{}, start.Add(500*time.Millisecond), start.Add(2*time.Second)))
		require.Equal(t, one, u.Limit.Limit)
	})
	t.Run("older news from another node doesn't change it", func(t *testing.T) {
		require.False(t, limit.Merge(u, two, start))
	})
	t.Run("it changes, and ends with an answer to a later request", func(t *testing.T) {
		require.True(t, limit.Observe(u, two, start.Add(2*time.Second), start.Add(3*time.Second)))
		require.True(t, limit.Observe(u, quetzalpier.Limit{}, start.Add(4*time.Second), start.Add(5*time.Second)))
		require.Equal(t, math.MaxInt, limit.Room(u, start.Add(5*time.Second)))
	})
}

func TestGrantor(t *testing.T) {
	member := func(id string) board.Member { return board.Member{ID: id} }
	state := &board.State{
		Self: member("a"), Members: map[string]board.Member{"a": member("a"), "b": member("b"), "c": member("c")},
		Owners: map[string]board.Owner{"p": {Node: "b"}}, Unreachable: map[string]time.Time{},
	}
	u := upstream(1)
	require.Equal(t, "b", limit.Grantor(state, u).ID, "the owner of the pool")
	state.Unreachable["b"] = start
	chosen := limit.Grantor(state, u).ID
	require.NotEqual(t, "b", chosen, "the owner doesn't answer")
	state.Self = member("c")
	require.Equal(t, chosen, limit.Grantor(state, u).ID, "all nodes choose alike")
	require.Equal(t, "x", limit.Grantor(&board.State{Self: member("x")}, u).ID, "no other node is known")
}

func TestEstimate(t *testing.T) {
	state := &board.State{Upstreams: map[string]*board.Upstream{"u": upstream(2), "v": upstream(2)}}
	requireWait := func(t *testing.T, want time.Duration) {
		t.Helper()
		estimate, limited := limit.NewEstimate(state, "p", start)
		require.True(t, limited)
		require.Equal(t, want, estimate.Wait(20))
	}
	requireWait(t, 5*time.Second)
	t.Run("the nodes share the limits", func(t *testing.T) {
		state.Upstreams["u"].Limit.Nodes = 4
		state.Upstreams["v"].Limit.Nodes = 4
		requireWait(t, 20*time.Second)
	})
	t.Run("the first permit comes after a refusal's wait", func(t *testing.T) {
		state.Upstreams["u"].Limit.RetryAt = start.Add(3 * time.Second)
		state.Upstreams["v"].Limit.RetryAt = start.Add(time.Second)
		requireWait(t, 21*time.Second)
	})
	t.Run("one upstream names no limit", func(t *testing.T) {
		state.Upstreams["w"] = &board.Upstream{VM: quetzalpier.VM{Pool: "p"}}
		_, limited := limit.NewEstimate(state, "p", start)
		require.False(t, limited)
	})
	t.Run("a pool without upstreams", func(t *testing.T) {
		_, limited := limit.NewEstimate(state, "other", start)
		require.False(t, limited)
	})
}

func TestWasPaused(t *testing.T) {
	now := time.Now()
	require.False(t, limit.WasPaused(now, now.Add(700*time.Millisecond)))
	require.True(t, limit.WasPaused(now, now.Add(3*time.Second)))
	require.True(t, limit.WasPaused(now, now.Round(0).Add(3*time.Second)), "the monotonic clock stood still")
}
