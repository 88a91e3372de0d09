package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/stand"
	"quetzalpier/wire"
)

// A front that stopped before it could store an end whose client it had refused was the only
// node that knew of it (incident UNASKED).
func TestForgottenEnd(t *testing.T) {
	r := newTestEntry(t)
	r.setConfig()
	r.board.Update(func(s *board.State) {
		s.Owners["p"] = board.Owner{Node: "o"}
		s.Members["o"] = board.Member{ID: "o", Peer: "o:1"}
	})
	ended := make(chan string, 16)
	r.entry.Call = func(_ context.Context, _ string, call *wire.Call) (*wire.Reply, error) {
		if end := call.GetEnded(); end != nil {
			ended <- end.GetJob()
		}
		return &wire.Reply{}, nil
	}
	r.kv.SetFaults(stand.KVFaults{Unavailable: true})
	resp, _, err := r.send(t, http.MethodDelete, platform.PathJobs+"j1", "", nil)
	require.NoError(t, err)
	require.GreaterOrEqual(t, resp.StatusCode, http.StatusInternalServerError)
	r.entry.Close(t.Context())
	r.kv.SetFaults(stand.KVFaults{})
	time.Sleep(2 * time.Second)
	stored, err := platform.NewKV(r.kv.Addr).Range(t.Context(), "in/end/", false)
	require.NoError(t, err)
	require.True(t, len(stored.Entries) > 0 || len(ended) > 0, "the end is neither stored nor known to the pool's owner")
}

// A front that had no configuration yet refused an end and forgot it, although its client
// may not repeat it (incident UNASKED).
func TestEndBeforeConfiguration(t *testing.T) {
	r := newTestEntry(t)
	resp, _, err := r.send(t, http.MethodDelete, platform.PathJobs+"j1", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	r.setConfig()
	require.Eventually(t, func() bool {
		stored, err := platform.NewKV(r.kv.Addr).Range(t.Context(), "in/end/", false)
		return err == nil && len(stored.Entries) == 1
	}, 5*time.Second, 50*time.Millisecond, "the end was forgotten")
}

// An end that was stored while no owner of the pool was known was sent to none that came
// after, who may have it from nowhere else for as long as it can't read the ends.
func TestEndStoredBetweenTwoOwners(t *testing.T) {
	r := newTestEntry(t)
	r.setConfig()
	notified := make(chan string, 1)
	r.entry.Call = func(_ context.Context, peer string, call *wire.Call) (*wire.Reply, error) {
		if end := call.GetEnded(); end != nil {
			notified <- peer + " " + end.GetJob()
		}
		return &wire.Reply{}, nil
	}
	resp, _, err := r.send(t, http.MethodDelete, platform.PathJobs+"j1", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	time.Sleep(50 * time.Millisecond)
	r.board.Update(func(s *board.State) {
		s.Owners["p"] = board.Owner{Node: "o"}
		s.Members["o"] = board.Member{ID: "o", Peer: "o:1"}
	})
	select {
	case got := <-notified:
		require.Equal(t, "o:1 j1", got)
	case <-time.After(3 * time.Second):
		require.Fail(t, "the new owner was not notified")
	}
}
