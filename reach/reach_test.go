package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/reach"
)

var start = time.Unix(1_000_000, 0)

// newState returns the state of a node that knows other nodes and upstreams of one pool,
// all reached at start.
func newState(nodes, upstreams int) *board.State {
	var s *board.State
	board.New(board.Member{ID: "n0"}).Do(func(state *board.State) { s = state })
	for i := range nodes {
		id := fmt.Sprintf("n%d", i)
		s.Members[id] = board.Member{ID: id, Peer: id}
	}
	for i := range upstreams {
		id := fmt.Sprintf("u%d", i)
		s.Upstreams[id] = &board.Upstream{VM: quetzalpier.VM{ID: id, Pool: "p"}, Path: board.Path{ReachedAt: start}}
	}
	return s
}

func choose(s *board.State, now time.Time) reach.Plan {
	return reach.Choose(s, "u0", now, rand.New(rand.NewPCG(1, 1)))
}

func ids(members []board.Member) (list []string) {
	for _, m := range members {
		list = append(list, m.ID)
	}
	return list
}

func TestChoose(t *testing.T) {
	later := start.Add(time.Second)
	t.Run("the own path has a lead while nothing is lost", func(t *testing.T) {
		plan := choose(newState(4, 3), later)
		require.True(t, plan.Own)
		require.Equal(t, reach.OwnLead, plan.Lead)
		require.ElementsMatch(t, []string{"n1", "n2", "n3"}, ids(plan.Helpers))
	})
	t.Run("a lost path is not tried by requests", func(t *testing.T) {
		s := newState(4, 3)
		require.True(t, reach.RecordLost(s, "u0", later))
		plan := choose(s, later)
		require.False(t, plan.Own)
		require.Zero(t, plan.Lead)
		require.Len(t, plan.Helpers, 3)
	})
	t.Run("the own path has no lead after another one was lost, until one works", func(t *testing.T) {
		s := newState(4, 3)
		reach.RecordLost(s, "u1", later)
		require.Zero(t, choose(s, later.Add(time.Second)).Lead)
		reach.RecordReached(s, "u2", later.Add(2*time.Second))
		require.Equal(t, reach.OwnLead, choose(s, later.Add(3*time.Second)).Lead)
	})
	t.Run("without other nodes the own path is tried, lost or not", func(t *testing.T) {
		s := newState(1, 3)
		reach.RecordLost(s, "u0", later)
		plan := choose(s, later)
		require.True(t, plan.Own)
		require.Empty(t, plan.Helpers)
	})
	t.Run("no node is asked for a while after all failed", func(t *testing.T) {
		s := newState(4, 3)
		reach.RecordLost(s, "u0", later)
		reach.RecordNoDetour(s, "u0", later)
		require.Empty(t, choose(s, later).Helpers)
		require.Len(t, choose(s, later.Add(time.Second)).Helpers, 3)
	})
	t.Run("the node used last is first, owners of pools are last, and neither lost nor avoided ones are asked", func(t *testing.T) {
		s := newState(7, 3)
		s.Owners["p"] = board.Owner{Node: "n1"}
		s.Unreachable["n2"] = start
		draining := s.Members["n3"]
		draining.State = board.Draining
		s.Members["n3"] = draining
		reach.RecordHelper(s, "n4", later)
		reach.AvoidHelper(s, "n5", later)
		require.Equal(t, []string{"n4", "n6", "n1"}, ids(choose(s, later).Helpers))
		require.Contains(t, ids(choose(s, later.Add(time.Second)).Helpers), "n5")
	})
	t.Run("nodes that ask spread over the others", func(t *testing.T) {
		first := map[string]int{}
		for seed := range uint64(200) {
			plan := reach.Choose(newState(9, 3), "u0", later, rand.New(rand.NewPCG(seed, seed)))
			first[plan.Helpers[0].ID]++
		}
		require.Len(t, first, 8)
		for id, count := range first {
			require.Less(t, count, 50, id)
		}
	})
}

func TestWitnesses(t *testing.T) {
	s := newState(7, 1)
	s.Self.Domain = "d0"
	for i := range 7 {
		id := fmt.Sprintf("n%d", i)
		m := s.Members[id]
		m.Domain = fmt.Sprintf("d%d", i/2)
		s.Members[id] = m
	}
	domains := map[string]int{}
	for _, m := range reach.Witnesses(s, start, rand.New(rand.NewPCG(1, 1))) {
		domains[m.Domain]++
	}
	require.Equal(t, map[string]int{"d1": 1, "d2": 1, "d3": 1}, domains)
}

func TestRecord(t *testing.T) {
	t.Run("the pause between two tries grows, and all paths may be used again when one is back", func(t *testing.T) {
		s := newState(3, 2)
		now := start
		for _, pause := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 2 * time.Second} {
			reach.RecordLost(s, "u0", now)
			require.Empty(t, reach.Due(s, now.Add(pause-1)))
			require.Len(t, reach.Due(s, now.Add(pause)), 1)
			now = now.Add(pause)
		}
		reach.RecordLost(s, "u1", now)
		require.True(t, reach.RecordReached(s, "u1", now))
		require.Empty(t, reach.Due(s, now.Add(time.Hour)))
		require.True(t, choose(s, now).Own)
		require.False(t, reach.RecordReached(s, "u1", now))
	})
	t.Run("a node is partitioned if it reaches no upstream that stays", func(t *testing.T) {
		s := newState(3, 3)
		require.False(t, reach.Partitioned(s, "p"))
		reach.RecordLost(s, "u0", start)
		reach.RecordLost(s, "u1", start)
		require.False(t, reach.Partitioned(s, "p"))
		s.Upstreams["u2"].SaidLeaving = true
		require.True(t, reach.Partitioned(s, "p"))
		require.False(t, reach.Partitioned(s, "other"))
	})
}

func TestNext(t *testing.T) {
	lostAt := start.Add(time.Second)
	t.Run("one path is checked after the first loss, all after the second", func(t *testing.T) {
		s := newState(3, 6)
		reach.RecordLost(s, "u3", lostAt)
		require.Len(t, reach.Next(s, "u3"), 1)
		reach.RecordLost(s, "u0", lostAt)
		require.Len(t, reach.Next(s, "u0"), 4)
	})
	t.Run("none is checked if one has worked since, or of another pool", func(t *testing.T) {
		s := newState(3, 3)
		s.Upstreams["u2"].VM.Pool = "other"
		reach.RecordLost(s, "u0", lostAt)
		require.Len(t, reach.Next(s, "u0"), 1)
		reach.RecordReached(s, "u1", lostAt.Add(time.Millisecond))
		require.Empty(t, reach.Next(s, "u0"))
	})
}
