package origin_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/origin"
	"quetzalpier/wire"
)

const nodes = 7

var v1 = origin.Origin{Pool: "p", Software: "v1"}

// roleOf returns the role of a node: the last three are no fronts.
func roleOf(i int) string {
	if i >= nodes-3 {
		return "store"
	}
	return "front"
}

var toPool = []quetzalpier.Target{{Pool: "p", Weight: 1}}

// newStores returns the Stores of nodes that call each other, and the set of those that
// don't answer.
func newStores(t *testing.T) (map[string]*origin.Store, *sync.Map) {
	t.Helper()
	stores, lost := map[string]*origin.Store{}, &sync.Map{}
	for i := range nodes {
		id := fmt.Sprint("n", i)
		b := board.New(board.Member{ID: id, Peer: id})
		b.Update(func(s *board.State) {
			for j := range nodes {
				other := fmt.Sprint("n", j)
				s.Members[other] = board.Member{ID: other, Peer: other, Roles: []string{roleOf(j)}}
			}
		})
		s := origin.New(b, zerolog.Nop())
		s.Call = func(_ context.Context, addr string, call *wire.Call) (*wire.Reply, error) {
			if _, isLost := lost.Load(addr); isLost {
				return nil, errors.New("no answer")
			}
			return &wire.Reply{Kind: &wire.Reply_Began{Began: stores[addr].Serve(call.GetOrigin(), time.Now())}}, nil
		}
		stores[id] = s
	}
	return stores, lost
}

func requireOrigin(t *testing.T, s *origin.Store, stream origin.Stream, want origin.Origin) {
	t.Helper()
	require.Eventually(t, func() bool {
		found, known := s.Find(t.Context(), stream, toPool, time.Now())
		return known && found == want
	}, 5*time.Second, time.Millisecond)
}

func requireUnknown(t *testing.T, s *origin.Store, stream origin.Stream, now time.Time) {
	t.Helper()
	_, known := s.Find(t.Context(), stream, toPool, now)
	require.False(t, known)
}

func TestStore(t *testing.T) {
	stores, lost := newStores(t)
	now := time.Now()
	named, unnamed := origin.Stream{Attempt: "a"}, origin.Stream{Request: 7}
	<-stores["n0"].Record(origin.Stream{Attempt: "a", Request: 7}, v1, now)
	for id, s := range stores {
		t.Run("the origin is found at "+id, func(t *testing.T) {
			requireOrigin(t, s, unnamed, v1)
			requireOrigin(t, s, origin.Stream{Attempt: "a", Request: 7}, v1)
		})
	}
	t.Run("it is found when all fronts are lost", func(t *testing.T) {
		for i := range nodes - 3 {
			lost.Store(fmt.Sprint("n", i), true)
		}
		defer lost.Clear()
		for i := nodes - 3; i < nodes; i++ {
			requireOrigin(t, stores[fmt.Sprint("n", i)], unnamed, v1)
		}
	})
	t.Run("the first event waits until another node knows it", func(t *testing.T) {
		stream := origin.Stream{Attempt: "c", Request: 9}
		<-stores["n0"].Record(stream, v1, now)
		requireOrigin(t, stores["n1"], origin.Stream{Request: 9}, v1)
	})
	t.Run("the same request began streams of two versions", func(t *testing.T) {
		<-stores["n1"].Record(origin.Stream{Attempt: "b", Request: 7}, origin.Origin{Pool: "p", Software: "v2"}, now)
		for _, s := range stores {
			require.Eventually(t, func() bool {
				_, known := s.Find(t.Context(), unnamed, toPool, now)
				return !known
			}, 5*time.Second, time.Millisecond)
		}
		requireOrigin(t, stores["n0"], named, v1)
	})
	t.Run("an unknown stream has none", func(t *testing.T) {
		requireUnknown(t, stores["n1"], origin.Stream{Attempt: "other"}, now)
		requireUnknown(t, stores["n1"], origin.Stream{}, now)
		requireUnknown(t, stores["n1"], origin.Stream{Request: 8}, now)
	})
	t.Run("an unknown software version is not recorded", func(t *testing.T) {
		<-stores["n1"].Record(origin.Stream{Attempt: "b2"}, origin.Origin{Pool: "p"}, now)
		requireUnknown(t, stores["n1"], origin.Stream{Attempt: "b2"}, now)
	})
}

// TestFindOutOfStep guards against a front to which no other node answers, and which takes the
// origin of another stream of the same request for that of the stream that a client takes up.
func TestFindOutOfStep(t *testing.T) {
	v2 := origin.Origin{Pool: "p", Software: "v2"}
	const request = 7
	open := func(t *testing.T) (front *origin.Store, lose, restore func()) {
		t.Helper()
		stores, lost := newStores(t)
		now := time.Now()
		<-stores["n0"].Record(origin.Stream{Attempt: "old", Request: request}, v1, now)
		// The front is told nothing, also if it is one of the nodes that are to be.
		lost.Store("n0", true)
		<-stores["n1"].Record(origin.Stream{Attempt: "new", Request: request}, v2, now)
		lose = func() {
			for i := 1; i < nodes; i++ {
				lost.Store(fmt.Sprint("n", i), true)
			}
		}
		return stores["n0"], lose, lost.Clear
	}
	named, unnamed := origin.Stream{Attempt: "new", Request: request}, origin.Stream{Request: request}
	t.Run("it waits until a node answers that knows the attempt", func(t *testing.T) {
		front, lose, restore := open(t)
		lose()
		time.AfterFunc(300*time.Millisecond, restore)
		found, known := front.Find(t.Context(), named, toPool, time.Now())
		require.True(t, known)
		require.Equal(t, v2, found)
	})
	for name, stream := range map[string]origin.Stream{"named": named, "not named": unnamed} {
		t.Run("no node answers, the attempt is "+name, func(t *testing.T) {
			front, lose, _ := open(t)
			lose()
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			_, known := front.Find(ctx, stream, toPool, time.Now())
			require.False(t, known)
		})
	}
	t.Run("the front's own attempts need no other node", func(t *testing.T) {
		front, lose, _ := open(t)
		lose()
		requireOrigin(t, front, origin.Stream{Attempt: "old", Request: request}, v1)
	})
	t.Run("no node knows the attempt that the client names", func(t *testing.T) {
		front, _, _ := open(t)
		requireUnknown(t, front, origin.Stream{Attempt: "other", Request: request}, time.Now())
	})
	t.Run("the front finds all others unreachable", func(t *testing.T) {
		front, lose, _ := open(t)
		lose()
		front.Board.Update(func(s *board.State) {
			for i := 1; i < nodes; i++ {
				s.Unreachable[fmt.Sprint("n", i)] = time.Now()
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, known := front.Find(ctx, unnamed, toPool, time.Now())
		require.False(t, known)
	})
	t.Run("what no other node knew when a stream began is told once they answer", func(t *testing.T) {
		stores, lost := newStores(t)
		for i := 1; i < nodes; i++ {
			lost.Store(fmt.Sprint("n", i), true)
		}
		stores["n0"].Record(origin.Stream{Attempt: "a", Request: 9}, v1, time.Now())
		time.AfterFunc(300*time.Millisecond, lost.Clear)
		require.Eventually(t, func() bool {
			found, known := stores["n1"].Find(t.Context(), origin.Stream{Attempt: "a", Request: 9}, toPool, time.Now())
			return known && found == v1
		}, 5*time.Second, 20*time.Millisecond)
	})
}

// Load pattern: a client takes up a stream of which no node knows the origin, for instance
// since the nodes that knew it are gone.
func TestSoleVersion(t *testing.T) {
	b := board.New(board.Member{ID: "n"})
	s := origin.New(b, zerolog.Nop())
	list := func(at time.Time, software ...string) {
		b.Update(func(st *board.State) {
			var vms []quetzalpier.VM
			for i, version := range software {
				vms = append(vms, quetzalpier.VM{ID: fmt.Sprint(version, i), Pool: "p", Software: version, State: quetzalpier.VMLive})
			}
			st.SetListed(vms, at)
		})
	}
	start := time.Unix(1000, 0)
	b.Update(func(st *board.State) { st.RoutesChangedAt = start })
	list(start, "v1", "v1")
	t.Run("a node that knows the list only since a while can't tell", func(t *testing.T) {
		requireUnknown(t, s, origin.Stream{Attempt: "a"}, start.Add(origin.Retention/2))
	})
	t.Run("there was one version for as long as origins are kept", func(t *testing.T) {
		found, known := s.Find(t.Context(), origin.Stream{Attempt: "a"}, toPool, start.Add(2*origin.Retention))
		require.True(t, known)
		require.Equal(t, v1, found)
	})
	t.Run("the route leads to two pools", func(t *testing.T) {
		_, known := s.Find(t.Context(), origin.Stream{}, append(toPool, quetzalpier.Target{Pool: "q", Weight: 1}), start.Add(2*origin.Retention))
		require.False(t, known)
	})
	t.Run("the route led elsewhere a while ago", func(t *testing.T) {
		b.Update(func(st *board.State) { st.RoutesChangedAt = start.Add(origin.Retention + 1) })
		requireUnknown(t, s, origin.Stream{}, start.Add(2*origin.Retention))
		b.Update(func(st *board.State) { st.RoutesChangedAt = start })
	})
	t.Run("the list is not known to be current", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		s.ListedUntil = func() time.Time { return start.Add(2 * origin.Retention) }
		defer func() { s.ListedUntil = nil }()
		_, known := s.Find(ctx, origin.Stream{}, toPool, start.Add(2*origin.Retention))
		require.False(t, known)
	})
	t.Run("there are two", func(t *testing.T) {
		list(start.Add(2*origin.Retention), "v1", "v2")
		requireUnknown(t, s, origin.Stream{Attempt: "a"}, start.Add(2*origin.Retention))
	})
	t.Run("there were two", func(t *testing.T) {
		list(start.Add(3*origin.Retention), "v2", "v2")
		requireUnknown(t, s, origin.Stream{Attempt: "a"}, start.Add(3*origin.Retention+time.Second))
		_, known := s.Find(t.Context(), origin.Stream{Attempt: "a"}, toPool, start.Add(4*origin.Retention+time.Second))
		require.True(t, known, "long ago")
	})
	t.Run("one is unknown", func(t *testing.T) {
		list(start.Add(5*origin.Retention), "")
		requireUnknown(t, s, origin.Stream{Attempt: "a"}, start.Add(9*origin.Retention))
	})
}
