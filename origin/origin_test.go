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
				s.Members[other] = board.Member{ID: other, Peer: other}
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

func requireOrigin(t *testing.T, s *origin.Store, attempt string, want origin.Origin) {
	t.Helper()
	require.Eventually(t, func() bool {
		found, known := s.Find(t.Context(), attempt, "p", time.Now())
		return known && found == want
	}, 5*time.Second, time.Millisecond)
}

func requireUnknown(t *testing.T, s *origin.Store, attempt string, now time.Time) {
	t.Helper()
	_, known := s.Find(t.Context(), attempt, "p", now)
	require.False(t, known)
}

func TestStore(t *testing.T) {
	stores, lost := newStores(t)
	now := time.Now()
	stores["n0"].Record("a", v1, now)
	for id, s := range stores {
		t.Run("the origin is found at "+id, func(t *testing.T) { requireOrigin(t, s, "a", v1) })
	}
	t.Run("it is found when the node that recorded it is lost", func(t *testing.T) {
		lost.Store("n0", true)
		for i := 1; i < nodes; i++ {
			requireOrigin(t, stores[fmt.Sprint("n", i)], "a", v1)
		}
	})
	t.Run("an unknown attempt has none", func(t *testing.T) {
		requireUnknown(t, stores["n1"], "other", now)
		requireUnknown(t, stores["n1"], "", now)
	})
	t.Run("an unknown software version is not recorded", func(t *testing.T) {
		stores["n1"].Record("b", origin.Origin{Pool: "p"}, now)
		requireUnknown(t, stores["n1"], "b", now)
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
	list(start, "v1", "v1")
	t.Run("a node that knows the list only since a while can't tell", func(t *testing.T) {
		requireUnknown(t, s, "a", start.Add(origin.Retention/2))
	})
	t.Run("there was one version for as long as origins are kept", func(t *testing.T) {
		found, known := s.Find(t.Context(), "a", "p", start.Add(2*origin.Retention))
		require.True(t, known)
		require.Equal(t, v1, found)
	})
	t.Run("there are two", func(t *testing.T) {
		list(start.Add(2*origin.Retention), "v1", "v2")
		requireUnknown(t, s, "a", start.Add(2*origin.Retention))
	})
	t.Run("there were two", func(t *testing.T) {
		list(start.Add(3*origin.Retention), "v2", "v2")
		requireUnknown(t, s, "a", start.Add(3*origin.Retention+time.Second))
		_, known := s.Find(t.Context(), "a", "p", start.Add(4*origin.Retention+time.Second))
		require.True(t, known, "long ago")
	})
	t.Run("one is unknown", func(t *testing.T) {
		list(start.Add(5*origin.Retention), "")
		requireUnknown(t, s, "a", start.Add(9*origin.Retention))
	})
}
