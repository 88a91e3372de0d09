package peer_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"quetzalpier/board"
	"quetzalpier/peer"
)

// A fixed seed makes rapid draw the same cases in every run.
func init() { _ = flag.Set("rapid.seed", "20261203") }

var start = time.Unix(1_000_000, 0)

func member(id string, incarnation uint64, state board.MemberState) board.Member {
	return board.Member{ID: id, Incarnation: incarnation, State: state}
}

func newState(self string, others ...string) (s *board.State) {
	board.New(member(self, 1, board.Alive)).Do(func(state *board.State) { s = state })
	for _, id := range others {
		peer.Merge(s, member(id, 1, board.Alive), start)
	}
	return s
}

func TestMerge(t *testing.T) {
	cases := []struct {
		name            string
		known, received board.Member
		changed         bool
	}{
		{"a higher incarnation wins", member("a", 1, board.Suspect), member("a", 2, board.Alive), true},
		{"an older incarnation is ignored", member("a", 3, board.Alive), member("a", 2, board.Failed), false},
		{"at the same incarnation the worse state wins", member("a", 1, board.Alive), member("a", 1, board.Suspect), true},
		{"a better state at the same incarnation is ignored", member("a", 1, board.Failed), member("a", 1, board.Alive), false},
		{"draining is worse than alive", member("a", 1, board.Alive), member("a", 1, board.Draining), true},
		{"left overrides failed", member("a", 1, board.Failed), member("a", 1, board.Left), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newState("n")
			s.Members["a"] = c.known
			require.Equal(t, c.changed, peer.Merge(s, c.received, start))
		})
	}
	t.Run("an unknown member that failed is not added", func(t *testing.T) {
		require.False(t, peer.Merge(newState("n"), member("a", 1, board.Failed), start))
	})
	t.Run("a suspicion of this node is refuted", func(t *testing.T) {
		s := newState("n")
		require.True(t, peer.Merge(s, member("n", 1, board.Suspect), start))
		require.Equal(t, uint64(2), s.Self.Incarnation)
		require.False(t, peer.Merge(s, member("n", 1, board.Failed), start))
	})
	t.Run("the result does not depend on the order of merges", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			draw := rapid.Custom(func(t *rapid.T) board.Member {
				return member("a", uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), board.MemberState(rapid.IntRange(0, 4).Draw(t, "state")))
			})
			updates := rapid.SliceOfN(draw, 1, 8).Draw(t, "updates")
			forward, backward := newState("n", "a"), newState("n", "a")
			for i := range updates {
				peer.Merge(forward, updates[i], start)
				peer.Merge(backward, updates[len(updates)-1-i], start)
			}
			require.Equal(t, forward.Members, backward.Members)
		})
	})
}

func TestSweep(t *testing.T) {
	s := newState("n", "a", "b")
	require.True(t, peer.Suspect(s, "a", start))
	require.False(t, peer.Suspect(s, "a", start))
	require.Empty(t, peer.Sweep(s, start.Add(3*time.Second)))
	require.Equal(t, []string{"a"}, peer.Sweep(s, start.Add(5*time.Second)))
	require.Equal(t, []string{"b"}, peer.Reachable(s))
	t.Run("a failed member is kept during the outage of a region", func(t *testing.T) {
		peer.Sweep(s, start.Add(time.Hour))
		require.Contains(t, s.Members, "a")
		peer.Sweep(s, start.Add(4*time.Hour))
		require.NotContains(t, s.Members, "a")
	})
}

func TestNeighbours(t *testing.T) {
	for _, size := range []int{2, 3, 7, 60, 390} {
		t.Run(fmt.Sprintf("%d nodes: each node has as many neighbours as nodes it is a neighbour of", size), func(t *testing.T) {
			var ids []string
			for i := range size {
				ids = append(ids, fmt.Sprintf("n%d", i))
			}
			inDegrees := map[string]int{}
			outDegree := 0
			for i, id := range ids {
				others := append(append([]string(nil), ids[:i]...), ids[i+1:]...)
				neighbours := peer.Neighbours(newState(id, others...))
				outDegree = len(neighbours)
				for _, n := range neighbours {
					inDegrees[n]++
				}
			}
			for _, id := range ids {
				require.Equal(t, outDegree, inDegrees[id])
			}
			require.LessOrEqual(t, outDegree, 9)
		})
	}
}

func BenchmarkNeighbours(b *testing.B) {
	var others []string
	for i := range 389 {
		others = append(others, fmt.Sprintf("n%d", i))
	}
	s := newState("self", others...)
	for range b.N {
		peer.Neighbours(s)
	}
}
