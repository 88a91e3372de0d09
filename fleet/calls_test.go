package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/lease"
	"quetzalpier/runner"
	"quetzalpier/setup"
	"quetzalpier/stand"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

func TestUnreachablePeers(t *testing.T) {
	front := func(id string) board.Member {
		return board.Member{ID: id, Peer: id + ":1", HTTP: id + ":2", Domain: "d"}
	}
	store := func(id string) board.Member {
		return board.Member{ID: id, Peer: id + ":1", Domain: "e", Roles: []string{runner.ClassStore}}
	}
	newNode := func(unreachable ...string) *Node {
		n := &Node{Board: board.New(front("a"))}
		n.Board.Do(func(s *board.State) {
			for _, m := range []board.Member{front("a"), front("b"), front("c"), store("d"), store("e")} {
				s.Members[m.ID] = m
			}
			for _, id := range unreachable {
				s.Unreachable[id] = time.Unix(1, 0)
			}
		})
		return n
	}
	t.Run("calls go to reachable nodes", func(t *testing.T) {
		require.ElementsMatch(t, []string{"b:1", "c:1", "d:1", "e:1"}, newNode().peerAddrs())
		require.ElementsMatch(t, []string{"c:1", "d:1"}, newNode("b", "e").peerAddrs())
	})
	t.Run("calls go to all nodes if none is reachable", func(t *testing.T) {
		require.Len(t, newNode("b", "c", "d", "e").peerAddrs(), 4)
	})
	t.Run("jobs are copied to reachable disks", func(t *testing.T) {
		require.ElementsMatch(t, []string{"d:1", "e:1"}, newNode().diskPeers())
		require.Equal(t, []string{"e:1"}, newNode("d").diskPeers())
	})
	t.Run("an unreachable node leads no failure domain", func(t *testing.T) {
		leader := hash.Owner("watch/d", []string{"a", "b", "c"})
		next := hash.Owner("watch/d", remaining([]string{"a", "b", "c"}, leader))
		first := func(addrs []string) string { return append(addrs, "a:1")[0] }
		require.Equal(t, leader+":1", first(newNode().feedLeaders()))
		require.Equal(t, next+":1", first(newNode(leader).feedLeaders()))
	})
}

// Guards against an end that another node could not store and that this one accepts only.
func TestPendingEnd(t *testing.T) {
	n, kv, _ := openTestNode(t, "store")
	kv.SetFaults(stand.KVFaults{Unavailable: true})
	reply := n.handleCall(t.Context(), &wire.Call{Kind: &wire.Call_Ended{Ended: wire.PackPendingEnd("j", "", time.Now())}})
	require.True(t, reply.GetKept().GetPresent())
	kv.SetFaults(stand.KVFaults{})
	require.Eventually(t, func() bool {
		stored, err := n.kv.Get(t.Context(), vault.Ends+"j")
		return err == nil && stored.Rev > 0
	}, 5*time.Second, 10*time.Millisecond)
}

func remaining(ids []string, removed string) (kept []string) {
	for _, id := range ids {
		if id != removed {
			kept = append(kept, id)
		}
	}
	return kept
}

// Load pattern: the key-value service is silent for the owner of a pool and for a third of
// the nodes of a large fleet, most of which don't know it.
func TestRelayAddrs(t *testing.T) {
	n := &Node{Board: board.New(board.Member{ID: "store-0", Peer: "store-0:1", Domain: "d0", Roles: []string{runner.ClassStore}})}
	n.Board.Do(func(s *board.State) {
		for i := range 3 * minConfigNodes {
			id := fmt.Sprint("front-", i)
			s.Members[id] = board.Member{ID: id, Peer: id + ":1", HTTP: id + ":2", Domain: fmt.Sprint("d", i%3)}
		}
		for i := range 3 {
			id := fmt.Sprint("store-", i)
			s.Members[id] = board.Member{ID: id, Peer: id + ":1", Domain: "d0", Roles: []string{runner.ClassStore}}
		}
	})
	addrs := n.relayAddrs()
	require.Len(t, addrs, 3*maxLeaders+2, "the leaders of three failure domains and the other store VMs")
	require.Subset(t, addrs, []string{"store-1:1", "store-2:1"})
	t.Run("in small failure domains all nodes are in contact", func(t *testing.T) {
		n := &Node{Board: board.New(board.Member{ID: "a", Peer: "a:1", Domain: "d"})}
		n.Board.Do(func(s *board.State) {
			for _, id := range []string{"a", "b", "c"} {
				s.Members[id] = board.Member{ID: id, Peer: id + ":1", HTTP: id + ":2", Domain: "d"}
			}
		})
		require.ElementsMatch(t, []string{"b:1", "c:1"}, n.relayAddrs())
	})
}

// Load pattern: wrong keys and rare changes of the configuration at all fronts. The age of
// the configuration must stay known without a call to the store from each of them.
func TestWatchesOfKeyedFronts(t *testing.T) {
	newNode := func(self board.Member, customers ...quetzalpier.Customer) *Node {
		n := &Node{Board: board.New(self), Settings: setup.Serve{Front: self.HTTP}, lease: &lease.Holder{}}
		n.Board.Do(func(s *board.State) {
			for _, id := range []string{"a", "b", "c"} {
				s.Members[id] = board.Member{ID: id, Peer: id + ":1", HTTP: id + ":2", Domain: "d"}
			}
			s.SetConfig(quetzalpier.Config{Number: 1, Customers: customers})
		})
		return n
	}
	front := func(id string) board.Member { return board.Member{ID: id, HTTP: id + ":2", Domain: "d"} }
	customer := quetzalpier.Customer{Name: "alpha"}
	t.Run("one front of a small failure domain reads for the others", func(t *testing.T) {
		direct := 0
		for _, id := range []string{"a", "b", "c"} {
			n := newNode(front(id), customer)
			require.Equal(t, leaderConfigWatch, n.maxKeyedWatch())
			require.Equal(t, leaderConfigWatch, n.maxConfigWatch())
			if len(n.configLeaders()) == 0 {
				direct++
			}
		}
		require.Equal(t, 1, direct)
	})
	t.Run("without customers, and on other nodes, the watches are long", func(t *testing.T) {
		for _, n := range []*Node{newNode(front("a")), newNode(board.Member{ID: "s", Domain: "d"}, customer)} {
			require.Empty(t, n.configLeaders())
			require.Equal(t, maxWatchTimeout, n.maxConfigWatch())
			require.Equal(t, maxWatchTimeout, n.maxKeyedWatch())
		}
	})
}
