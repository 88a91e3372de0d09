package probe

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier/board"
)

var start = time.Unix(1_000_000, 0)

func all(string) bool { return true }

func TestTargets(t *testing.T) {
	ids := func(n int) []string {
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprint("n", i))
		}
		return ids
	}
	t.Run("in the smallest fleets each node probes all others", func(t *testing.T) {
		for _, self := range ids(targetCount) {
			require.Len(t, Targets(self, ids(targetCount), all, targetCount), targetCount-1)
			require.NotContains(t, Targets(self, ids(targetCount), all, targetCount), self)
		}
	})
	t.Run("in larger ones each node probes, and is probed by, as many others", func(t *testing.T) {
		probers := map[string]int{}
		for _, self := range ids(390) {
			targets := Targets(self, ids(390), all, targetCount)
			require.Len(t, targets, targetCount)
			for _, id := range targets {
				probers[id]++
			}
		}
		for _, id := range ids(390) {
			require.Equal(t, targetCount, probers[id])
		}
	})
	t.Run("the first prober of each node has rank 0, the next one 1", func(t *testing.T) {
		ranks := map[int]int{}
		for _, self := range ids(30) {
			for _, id := range Targets(self, ids(30), all, targetCount) {
				ranks[Rank(self, id, ids(30), all)]++
			}
		}
		for rank := range targetCount {
			require.Equal(t, 30, ranks[rank])
		}
	})
	t.Run("nine tenths of the nodes are lost at once, and found in a few rounds", func(t *testing.T) {
		const nodes, alive = 100, 10
		unreachable := map[string]bool{}
		rounds := 0
		for ; countTrue(unreachable) < nodes-alive; rounds++ {
			require.Less(t, rounds, 12)
			var found []string
			for _, self := range ids(alive) {
				for _, id := range Targets(self, ids(nodes), func(id string) bool { return !unreachable[id] }, targetCount) {
					found = append(found, id)
				}
			}
			for _, id := range found {
				unreachable[id] = !slices.Contains(ids(alive), id)
			}
		}
	})
	t.Run("a node that is not on the list probes nothing", func(t *testing.T) {
		require.Empty(t, Targets("other", ids(5), all, targetCount))
	})
}

func countTrue(set map[string]bool) (n int) {
	for _, in := range set {
		if in {
			n++
		}
	}
	return n
}

// network is a set of nodes, some of which don't answer.
type network struct {
	mu       sync.Mutex
	failures map[string]error
	// answers are those of helpers; a helper without one does not answer.
	answers map[string]bool
	asked   int
	// told holds the nodes that were told that a node is unreachable.
	told map[string][]string
}

func (n *network) ping(_ context.Context, addr string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failures[addr]
}

func (n *network) ask(_ context.Context, helper, addr string, unreachable bool) (bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if unreachable {
		n.told[addr] = append(n.told[addr], helper)
		return false, nil
	}
	n.asked++
	reached, answered := n.answers[helper]
	if !answered {
		return false, errors.New("no answer")
	}
	return reached, nil
}

// testProber is the Prober of node a, beside the nodes b, c and d.
type testProber struct {
	*Prober
	network *network
	// reported are the members passed to OnUnreachable.
	reported []string
}

func newTestProber() *testProber {
	p := &testProber{network: &network{failures: map[string]error{}, answers: map[string]bool{}, told: map[string][]string{}}}
	b := board.New(board.Member{ID: "a", Peer: "a:1"})
	b.Do(func(s *board.State) {
		for _, id := range []string{"a", "b", "c", "d"} {
			s.Members[id] = board.Member{ID: id, Peer: id + ":1", Domain: "zone-" + id}
		}
	})
	p.Prober = &Prober{
		Board: b, Ping: p.network.ping, Ask: p.network.ask, Log: zerolog.Nop(),
		OnUnreachable: func(_ context.Context, m board.Member) { p.reported = append(p.reported, m.ID) },
	}
	return p
}

// round probes all targets at the given time and returns the unreachable members.
func (p *testProber) round(now time.Time) []string {
	targets, told := p.startRound(now)
	for _, target := range targets {
		p.probe(context.Background(), target)
		p.endProbe(target.ID)
	}
	for _, target := range told {
		p.probeTold(context.Background(), target)
		p.endProbe(target.ID)
	}
	var unreachable []string
	p.Board.Do(func(s *board.State) {
		for _, id := range []string{"b", "c", "d"} {
			if !s.Reachable(id) {
				unreachable = append(unreachable, id)
			}
		}
	})
	return unreachable
}

// requireResponsive checks whether clients may be sent to a member.
func (p *testProber) requireResponsive(t *testing.T, id string, want bool) {
	t.Helper()
	p.Board.Do(func(s *board.State) { require.Equal(t, want, s.Responsive(id)) })
}

func (p *testProber) setListed(id string, state board.MemberState, listed bool) {
	p.Board.Do(func(s *board.State) {
		delete(s.Members, id)
		if listed {
			s.Members[id] = board.Member{ID: id, Peer: id + ":1", State: state}
		}
	})
}

func TestProber(t *testing.T) {
	timeout := errors.New("timeout")
	t.Run("a silent member is unreachable once another member confirms it", func(t *testing.T) {
		p := newTestProber()
		p.network.failures["b:1"] = timeout
		p.network.answers["c:1"] = false
		require.Equal(t, []string{"b"}, p.round(start))
		require.Equal(t, []string{"b"}, p.reported)
		require.ElementsMatch(t, []string{"c:1", "d:1"}, p.network.told["b:1"], "the others are told once")
		p.round(start.Add(time.Second))
		require.Len(t, p.network.told["b:1"], 2)
	})
	t.Run("a node that is told of an unreachable member checks it", func(t *testing.T) {
		p := newTestProber()
		p.round(start)
		require.True(t, p.Check(t.Context(), "b:1"))
		p.Told(t.Context(), "b:1", start)
		p.Board.Do(func(s *board.State) { require.True(t, s.Reachable("b"), "it answers this node") })
		p.network.failures["b:1"] = timeout
		require.False(t, p.Check(t.Context(), "b:1"))
		p.Board.Do(func(s *board.State) { require.True(t, s.Reachable("b"), "only one node has not reached it") })
		p.Told(t.Context(), "b:1", start)
		p.Board.Do(func(s *board.State) { require.False(t, s.Reachable("b")) })
		p.network.failures["unknown:1"] = timeout
		p.Told(t.Context(), "unknown:1", start)
	})
	t.Run("a node is told of a member that was listed between two rounds", func(t *testing.T) {
		p := newTestProber()
		p.round(start)
		p.setListed("e", board.Alive, true)
		p.Refresh(start.Add(time.Millisecond))
		p.setListed("e", board.Alive, false)
		p.Refresh(start.Add(2 * time.Millisecond))
		p.network.failures["e:1"] = timeout
		p.Told(t.Context(), "e:1", start)
		p.Board.Do(func(s *board.State) { require.False(t, s.Reachable("e")) })
	})
	t.Run("a member that another one reaches again is reachable", func(t *testing.T) {
		p := newTestProber()
		p.network.failures["b:1"] = timeout
		p.network.answers["c:1"] = false
		require.Equal(t, []string{"b"}, p.round(start))
		p.network.answers["c:1"] = true
		require.Empty(t, p.round(start.Add(time.Second)))
	})
	t.Run("a silent member that another member reaches is not", func(t *testing.T) {
		p := newTestProber()
		p.network.failures["b:1"] = timeout
		p.network.answers["c:1"], p.network.answers["d:1"] = false, true
		require.Empty(t, p.round(start))
		require.Empty(t, p.reported)
	})
	t.Run("no member is unreachable to a node that is cut off itself", func(t *testing.T) {
		p := newTestProber()
		for _, id := range []string{"b", "c", "d"} {
			p.network.failures[id+":1"] = timeout
		}
		require.Empty(t, p.round(start))
	})
	t.Run("a node that only the key-value service answers keeps clients from the silent members", func(t *testing.T) {
		p := newTestProber()
		for _, id := range []string{"b", "c", "d"} {
			p.network.failures[id+":1"] = timeout
		}
		p.InContact = func(context.Context) bool { return true }
		require.Empty(t, p.round(start), "no other node is told, and no entry removed")
		require.Empty(t, p.reported)
		require.Empty(t, p.network.told)
		p.requireResponsive(t, "b", false)
		p.network.answers["c:1"] = true
		p.round(start.Add(time.Second))
		p.requireResponsive(t, "b", true)
		delete(p.network.failures, "d:1")
		p.round(start.Add(2 * time.Second))
		p.requireResponsive(t, "d", true)
	})
	t.Run("a node that the key-value service does not answer either concludes nothing", func(t *testing.T) {
		p := newTestProber()
		p.network.failures["b:1"] = timeout
		p.InContact = func(context.Context) bool { return false }
		require.Empty(t, p.round(start))
		p.requireResponsive(t, "b", true)
	})
	t.Run("the members beyond one that missed a ping are probed before the verdict on it", func(t *testing.T) {
		p := newTestProber()
		for i := range 2 * targetCount {
			p.setListed(fmt.Sprint("x", i), board.Alive, true)
		}
		targets, _ := p.startRound(start)
		require.Len(t, targets, targetCount)
		p.suspect(targets[0].ID)
		p.suspect(targets[1].ID)
		further, _ := p.startRound(start)
		require.Len(t, further, 2)
		for _, target := range append(targets, further...) {
			p.endProbe(target.ID)
		}
		again, _ := p.startRound(start)
		require.Equal(t, targets, again)
	})
	t.Run("a member that refuses connections starts one round, not one after the other", func(t *testing.T) {
		p := newTestProber()
		p.network.failures["b:1"] = syscall.ECONNREFUSED
		p.wake = make(chan struct{}, 1)
		require.Equal(t, []string{"b"}, p.round(start))
		require.Len(t, p.wake, 1)
		<-p.wake
		p.round(start.Add(time.Millisecond))
		require.Empty(t, p.wake)
	})
	t.Run("a refused connection needs no confirmation", func(t *testing.T) {
		p := newTestProber()
		p.network.failures["b:1"] = errors.Wrap(syscall.ECONNREFUSED, "dial peer")
		require.Equal(t, []string{"b"}, p.round(start))
		require.Zero(t, p.network.asked)
	})
	t.Run("a member that answers again is reachable", func(t *testing.T) {
		p := newTestProber()
		p.network.failures["b:1"] = syscall.ECONNREFUSED
		require.Equal(t, []string{"b"}, p.round(start))
		delete(p.network.failures, "b:1")
		require.Empty(t, p.round(start.Add(time.Second)))
	})
	t.Run("a member that answers again is told of those that don't, also if their entries are gone", func(t *testing.T) {
		p := newTestProber()
		p.network.failures["b:1"] = timeout
		p.network.answers["d:1"] = false
		require.Equal(t, []string{"b"}, p.round(start))
		p.network.failures["c:1"] = timeout
		require.Equal(t, []string{"b", "c"}, p.round(start.Add(time.Second)))
		require.Equal(t, []string{"d:1"}, p.network.told["c:1"])
		p.setListed("c", board.Alive, false)
		delete(p.network.failures, "b:1")
		require.Equal(t, []string{"c"}, p.round(start.Add(2*time.Second)))
		require.Equal(t, []string{"d:1", "b:1"}, p.network.told["c:1"])
	})
	t.Run("an unreachable member is reported while it is listed", func(t *testing.T) {
		p := newTestProber()
		p.network.failures["b:1"] = syscall.ECONNREFUSED
		p.round(start)
		p.round(start.Add(time.Second))
		p.setListed("b", board.Alive, false)
		require.Equal(t, []string{"b"}, p.round(start.Add(2*time.Second)))
		require.Equal(t, []string{"b", "b"}, p.reported)
	})
	t.Run("the others are told of a lost member whose entry is gone, which they may still name", func(t *testing.T) {
		p := newTestProber()
		p.round(start)
		p.setListed("b", board.Alive, false)
		p.network.failures["b:1"] = timeout
		p.network.answers["c:1"] = false
		for i := range 3 {
			require.Equal(t, []string{"b"}, p.round(start.Add(time.Duration(i+1)*tellInterval)))
		}
		require.ElementsMatch(t, []string{"c:1", "d:1"}, p.network.told["b:1"], "once")
		require.Empty(t, p.reported, "there is no entry to remove")
	})
	t.Run("all members that answer are told soon, also if two fifths of a large fleet do not", func(t *testing.T) {
		const members, lost = 270, 108
		p := newTestProber()
		isLost := map[string]bool{}
		for i := range members {
			id := fmt.Sprint("x", i)
			p.setListed(id, board.Alive, true)
			isLost[id+":1"] = i < lost
		}
		p.Refresh(start)
		ask := p.network.ask
		p.Ask = func(ctx context.Context, helper, addr string, unreachable bool) (bool, error) {
			if isLost[helper] {
				<-ctx.Done()
				return false, ctx.Err()
			}
			return ask(ctx, helper, addr, unreachable)
		}
		began := time.Now()
		p.tell(t.Context(), board.Member{ID: "x0", Peer: "x0:1"})
		require.Less(t, time.Since(began), time.Second)
		require.Len(t, p.network.told["x0:1"], members-lost+3)
	})
	t.Run("a node that is not listed probes all members", func(t *testing.T) {
		p := newTestProber()
		for i := range 2 * targetCount {
			p.setListed(fmt.Sprint("x", i), board.Alive, true)
		}
		targets, _ := p.startRound(start)
		require.Len(t, targets, targetCount)
		p.probing = map[string]bool{}
		p.setListed("a", board.Alive, false)
		targets, _ = p.startRound(start)
		require.Len(t, targets, 2*targetCount+3)
	})
	t.Run("a member whose entry is gone is probed for a while", func(t *testing.T) {
		p := newTestProber()
		p.round(start)
		p.setListed("b", board.Alive, false)
		p.network.failures["b:1"] = syscall.ECONNREFUSED
		require.Equal(t, []string{"b"}, p.round(start.Add(forgetAfter)))
		require.Empty(t, p.round(start.Add(forgetAfter+time.Second)))
	})
	t.Run("a draining member whose entry is gone has stopped", func(t *testing.T) {
		p := newTestProber()
		p.setListed("b", board.Draining, true)
		p.round(start)
		p.setListed("b", board.Draining, false)
		p.network.failures["b:1"] = syscall.ECONNREFUSED
		require.Empty(t, p.round(start.Add(time.Second)))
	})
}

func TestChooseHelpers(t *testing.T) {
	candidate := func(id, domain string, answeredAt time.Time) member {
		return member{Member: board.Member{ID: id, Domain: domain}, answeredAt: answeredAt}
	}
	members := []member{
		candidate("old", "x", start), candidate("near-old", "y", start), candidate("new", "x", start.Add(time.Minute)),
		candidate("near-new", "y", start.Add(time.Minute)), candidate("newer", "x", start.Add(2*time.Minute)),
	}
	var ids []string
	for _, m := range chooseHelpers(members, "y") {
		ids = append(ids, m.ID)
	}
	require.Equal(t, []string{"near-new", "newer", "new", "old"}, ids)
	require.Empty(t, chooseHelpers(nil, "y"))
}
