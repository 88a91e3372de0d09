package entry_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/stand"
	"quetzalpier/vault"
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
			ended <- end.GetPending()
		}
		return &wire.Reply{}, nil
	}
	r.kv.SetFaults(stand.KVFaults{Unavailable: true})
	require.GreaterOrEqual(t, r.endJob(t), http.StatusInternalServerError)
	r.entry.Close(t.Context())
	r.kv.SetFaults(stand.KVFaults{})
	time.Sleep(2 * time.Second)
	stored, err := platform.NewKV(r.kv.Addr).Range(t.Context(), "in/end/", false)
	require.NoError(t, err)
	require.True(t, len(stored.Entries) > 0 || len(ended) > 0, "the end is neither stored nor known to the pool's owner")
}

// storeJob stores the job j1 of a customer.
func (r *testEntry) storeJob(t *testing.T, customer string) {
	t.Helper()
	_, err := (&vault.Vault{KV: platform.NewKV(r.kv.Addr)}).Put(t.Context(), &quetzalpier.Job{
		ID: "j1", Host: host, Pool: "p", Model: "m", WantGroups: 1, MaxAttempts: 1, Customer: customer, Tasks: []quetzalpier.Task{{ID: "t", Group: "g", Path: "/t"}},
	})
	require.NoError(t, err)
}

// hasEnd reports whether one end is stored.
func (r *testEntry) hasEnd(t *testing.T) bool {
	t.Helper()
	found, err := platform.NewKV(r.kv.Addr).Range(t.Context(), "in/end/", false)
	return err == nil && len(found.Entries) == 1
}

// Guards against ends that a node accepts from another one and then forgets, or applies to
// the job of another customer.
func TestAcceptedEnd(t *testing.T) {
	accept := func(t *testing.T, customer string) *testEntry {
		t.Helper()
		r := newTestEntry(t)
		r.setCustomers()
		r.storeJob(t, "alpha")
		r.kv.SetFaults(stand.KVFaults{Unavailable: true})
		stopped := make(chan string, 16)
		r.entry.StopJob = func(job, customer string, _, _ time.Time) { stopped <- job + " " + customer }
		require.True(t, r.entry.AcceptEnd("j1", customer, time.Now(), time.Now()))
		require.Equal(t, "j1 "+customer, <-stopped, "the tasks run until the end is stored")
		time.Sleep(300 * time.Millisecond)
		r.kv.SetFaults(stand.KVFaults{})
		return r
	}
	t.Run("it is stored once that is possible", func(t *testing.T) {
		r := accept(t, "alpha")
		require.Eventually(t, func() bool { return r.hasEnd(t) }, testTimeout, 20*time.Millisecond)
	})
	for _, customer := range []string{"beta", ""} {
		t.Run("that of another customer's job is not stored, customer "+customer, func(t *testing.T) {
			r := accept(t, customer)
			require.Never(t, func() bool { return r.hasEnd(t) }, 2*time.Second, 100*time.Millisecond)
			require.InDelta(t, 0, testutil.ToFloat64(r.entry.Meter.UnstoredEnds), 0)
		})
	}
	t.Run("it is dropped once another node has stored it", func(t *testing.T) {
		r := newTestEntry(t)
		r.kv.SetFaults(stand.KVFaults{Unavailable: true})
		require.True(t, r.entry.AcceptEnd("j1", "", time.Now(), time.Now()))
		require.InDelta(t, 1, testutil.ToFloat64(r.entry.Meter.UnstoredEnds), 0)
		r.entry.EndStored("j1")
		require.InDelta(t, 0, testutil.ToFloat64(r.entry.Meter.UnstoredEnds), 0)
	})
	t.Run("a planned stop hands it over", func(t *testing.T) {
		r := newTestEntry(t)
		r.setConfig()
		r.board.Update(func(s *board.State) {
			s.Owners["p"] = board.Owner{Node: "o"}
			s.Members["o"] = board.Member{ID: "o", Peer: "o:1"}
		})
		var log lockedBuffer
		r.entry.Log = zerolog.New(&log)
		var calls atomic.Int32
		handedOver := make(chan *wire.Ended, 16)
		r.entry.Call = func(_ context.Context, _ string, call *wire.Call) (*wire.Reply, error) {
			if call.GetEnded() == nil || calls.Add(1) == 1 {
				return nil, errors.New("no answer")
			}
			handedOver <- call.GetEnded()
			return &wire.Reply{Kind: &wire.Reply_Kept{Kept: &wire.Kept{Present: true}}}, nil
		}
		r.kv.SetFaults(stand.KVFaults{Unavailable: true})
		require.True(t, r.entry.AcceptEnd("j1", "alpha", time.Now(), time.Now()))
		r.entry.Close(t.Context())
		require.Len(t, handedOver, 1)
		end := <-handedOver
		require.Equal(t, []string{"j1", "alpha", ""}, []string{end.GetPending(), end.GetCustomer(), end.GetJob()}, "earlier builds end the job of any customer")
		require.NotContains(t, log.String(), "node stops without having stored")
	})
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

// Guards against ends that a node forgets, or stores for anyone, because it can't check the
// client's API key yet.
func TestEndBeforeKeyIsChecked(t *testing.T) {
	for _, test := range []struct {
		name   string
		config func(r *testEntry)
	}{{"without a configuration", func(*testEntry) {}}, {"with an old configuration", func(r *testEntry) {
		r.setCustomers()
		r.board.Update(func(s *board.State) {
			config := s.Config
			config.Number, config.Customers = config.Number+1, config.Customers[1:]
			s.SetConfig(config)
		})
		r.configAge.Store(int64(time.Hour))
	}}} {
		for header, stores := range map[string]bool{"ka": true, "kb": false, "wrong": false, "": false} {
			t.Run(test.name+", key "+header, func(t *testing.T) {
				t.Parallel()
				r := newTestEntry(t)
				r.storeJob(t, "alpha")
				test.config(r)
				var key map[string]string
				if header != "" {
					key = withKey(header)
				}
				resp, _, err := r.send(t, http.MethodDelete, platform.PathJobs+"j1", "", key)
				require.NoError(t, err)
				require.GreaterOrEqual(t, resp.StatusCode, http.StatusUnauthorized)
				r.setCustomers()
				r.configAge.Store(0)
				if stores {
					require.Eventually(t, func() bool { return r.hasEnd(t) }, testTimeout, 20*time.Millisecond, "the end was forgotten")
				} else {
					require.Never(t, func() bool { return r.hasEnd(t) }, 1500*time.Millisecond, 50*time.Millisecond)
				}
			})
		}
	}
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
	require.Equal(t, http.StatusOK, r.endJob(t))
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
