package entry_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/platform"
	"quetzalpier/runner"
	"quetzalpier/stand"
	"quetzalpier/wire"
)

// setStoreNodes makes nodes with disks known, whose addresses are their IDs with a port.
func (r *testEntry) setStoreNodes(ids ...string) {
	r.board.Update(func(s *board.State) {
		for _, id := range ids {
			s.Members[id] = board.Member{ID: id, Peer: id + ":1", State: board.Alive, Roles: []string{runner.ClassStore}}
		}
	})
}

// endJob ends the job j1 as a client without a key and returns the status.
func (r *testEntry) endJob(t *testing.T) int {
	t.Helper()
	resp, _, err := r.send(t, http.MethodDelete, platform.PathJobs+"j1", "", nil)
	require.NoError(t, err)
	return resp.StatusCode
}

// keepPending answers a request to store an end, and names the node in asked.
func keepPending(asked chan<- string, peer string, call *wire.Call) (*wire.Reply, error) {
	if call.GetEnded().GetPending() == "" {
		return nil, errors.New("no answer")
	}
	asked <- peer
	return &wire.Reply{Kind: &wire.Reply_Kept{Kept: &wire.Kept{Present: true}}}, nil
}

// A front that stopped handed an end over to no other node since one had accepted it before
// and was lost before it could store it.
func TestEndKeptByLostNode(t *testing.T) {
	r := newTestEntry(t)
	r.setConfig()
	r.setStoreNodes("a")
	r.board.Update(func(s *board.State) { s.Owners["p"] = board.Owner{Node: "a"} })
	asked := make(chan string, 64)
	r.entry.Call = func(_ context.Context, peer string, call *wire.Call) (*wire.Reply, error) {
		return keepPending(asked, peer, call)
	}
	r.kv.SetFaults(stand.KVFaults{Unavailable: true})
	require.GreaterOrEqual(t, r.endJob(t), http.StatusInternalServerError)
	require.Equal(t, "a:1", <-asked)
	r.board.Update(func(s *board.State) {
		delete(s.Members, "a")
		delete(s.Owners, "p")
	})
	r.setStoreNodes("b")
	r.entry.Close(t.Context())
	require.Len(t, asked, 1, "no node that is alive was asked to store the end")
}

// An end that was stored while its pool had no owner was not sent to the former owner, which
// goes on running the tasks until another node takes over.
func TestFormerOwnerNotNotified(t *testing.T) {
	r := newTestEntry(t)
	r.setConfig()
	nodes := []string{"a", "b", "c"}
	r.setStoreNodes(nodes...)
	former := hash.Owners("p", nodes, len(nodes))[2]
	r.board.Update(func(s *board.State) { s.Owners["p"] = board.Owner{Node: former} })
	requireStatus(t, r, "/none", http.StatusNotFound)
	r.board.Update(func(s *board.State) { delete(s.Owners, "p") })
	notified := make(chan string, 64)
	r.entry.Call = func(_ context.Context, peer string, _ *wire.Call) (*wire.Reply, error) {
		notified <- peer
		return &wire.Reply{}, nil
	}
	require.Equal(t, http.StatusOK, r.endJob(t))
	for deadline := time.After(3 * time.Second); ; {
		select {
		case peer := <-notified:
			if peer == former+":1" {
				return
			}
		case <-deadline:
			require.Fail(t, "the former owner was not notified")
		}
	}
}

// A front that stopped before it could check the key of an end's client forgot the end and
// said so nowhere.
func TestUncheckedEndForgottenAtStop(t *testing.T) {
	r := newTestEntry(t)
	r.storeJob(t, "alpha")
	r.setCustomers()
	r.board.Update(func(s *board.State) { s.Owners["p"] = board.Owner{Node: "a"} })
	r.setStoreNodes("a")
	r.configAge.Store(int64(time.Hour))
	var log lockedBuffer
	r.entry.Log = zerolog.New(&log)
	handedOver := make(chan string, 64)
	r.entry.Call = func(_ context.Context, peer string, call *wire.Call) (*wire.Reply, error) {
		if call.GetEnded() != nil {
			handedOver <- peer
		}
		return &wire.Reply{Kind: &wire.Reply_Kept{Kept: &wire.Kept{Present: true}}}, nil
	}
	resp, _, err := r.send(t, http.MethodDelete, platform.PathJobs+"j1", "", withKey("unknown"))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	r.entry.Close(t.Context())
	if len(handedOver) == 0 {
		require.Contains(t, log.String(), "node stops without having stored", "the end is known to no node, and no line says so")
	}
}

// A front read the answers to its notices while calls to other nodes added theirs: such an
// access to a map may end the process.
func TestNoticesAnsweredAtOnce(t *testing.T) {
	r := newTestEntry(t)
	r.setConfig()
	nodes := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	r.setStoreNodes(nodes...)
	r.board.Update(func(s *board.State) {
		for _, id := range nodes {
			s.Owners[id] = board.Owner{Node: id}
		}
	})
	notified := make(chan string, len(nodes))
	r.entry.Call = func(_ context.Context, peer string, _ *wire.Call) (*wire.Reply, error) {
		notified <- peer
		return &wire.Reply{}, nil
	}
	require.Equal(t, http.StatusOK, r.endJob(t))
	for range nodes {
		select {
		case <-notified:
		case <-time.After(testTimeout):
			require.Fail(t, "a node was not notified")
		}
	}
}

// A front stopped asking nodes to store an end once one of them did, and counted a node that
// had forgotten the end at its restart.
func TestEndKeptByOneNode(t *testing.T) {
	r := newTestEntry(t)
	r.setConfig()
	r.setStoreNodes("a", "b", "c")
	r.board.Update(func(s *board.State) { s.Owners["p"] = board.Owner{Node: "a"} })
	var unreachable atomic.Bool
	unreachable.Store(true)
	kept := make(chan string, 64)
	r.entry.Call = func(_ context.Context, peer string, call *wire.Call) (*wire.Reply, error) {
		if peer != "a:1" && unreachable.Load() {
			return nil, errors.New("no answer")
		}
		return keepPending(kept, peer, call)
	}
	r.kv.SetFaults(stand.KVFaults{Unavailable: true})
	require.GreaterOrEqual(t, r.endJob(t), http.StatusInternalServerError)
	time.Sleep(2 * time.Second)
	unreachable.Store(false)
	r.board.Update(func(s *board.State) {
		a := s.Members["a"]
		a.Rev++
		s.Members["a"] = a
	})
	var peers []string
	for range 4 {
		select {
		case peer := <-kept:
			peers = append(peers, peer)
		case <-time.After(testTimeout):
			require.Fail(t, "nodes that may store the end were not asked again", "asked: %v", peers)
		}
	}
	require.ElementsMatch(t, []string{"a:1", "a:1", "b:1", "c:1"}, peers)
}
