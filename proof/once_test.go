package proof_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/stand"
)

// sendPayout sends a payout with the given idempotency key.
func sendPayout(addr, key string) response {
	return sendOnce(addr, "POST", "/svc/svc/pay", "amount for "+key, "Idempotency-Key", key, "Quetzalpier-Caller", "app", "Quetzalpier-Timeout", "5s")
}

// payoutRuns returns how often the upstreams ran the payout with the key.
func (r *rig) payoutRuns(key string) int {
	total := 0
	for _, p := range r.plains {
		total += p.Runs(key)
	}
	return total
}

// requireRanMatches requires that the payout ran at most once and that the
// responses agree with the run counts of the upstreams.
func requireRanMatches(t *testing.T, r *rig, key string, responses ...response) {
	t.Helper()
	require.LessOrEqual(t, r.payoutRuns(key), 1)
	for _, a := range responses {
		if a.err != nil {
			continue
		}
		if a.status == http.StatusOK {
			require.Equal(t, 1, r.payoutRuns(key))
			require.Contains(t, a.body, strconv.Quote(key))
			continue
		}
		require.Contains(t, []quetzalpier.Ran{quetzalpier.RanNo, quetzalpier.RanYes, quetzalpier.RanUnknown}, a.refusal.Ran, a.body)
		if a.refusal.Ran == quetzalpier.RanNo {
			require.Zero(t, r.payoutRuns(key))
		}
	}
}

func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{plains: 2})
	r.start(nil, 1, 2, 3)
	t.Run("a resend to another node gets the stored response", func(t *testing.T) {
		first, second := sendPayout(r.nodes[1].addr, "kept"), sendPayout(r.nodes[2].addr, "kept")
		require.Equal(t, http.StatusOK, first.status, first.body)
		require.Equal(t, first.body, second.body)
		requireRanMatches(t, r, "kept", first, second)
	})
	t.Run("a reused key with another body is refused", func(t *testing.T) {
		sendPayout(r.nodes[1].addr, "body")
		a := sendOnce(r.nodes[2].addr, "POST", "/svc/svc/pay", "other", "Idempotency-Key", "body", "Quetzalpier-Caller", "app")
		require.Equal(t, http.StatusConflict, a.status)
		require.Equal(t, 1, r.payoutRuns("body"))
	})
	t.Run("a payout whose response the upstream lost is not sent again", func(t *testing.T) {
		for _, p := range r.plains {
			p.SetFaults(0, 1)
		}
		first := sendPayout(r.nodes[1].addr, "dropped")
		require.Equal(t, quetzalpier.RanUnknown, first.refusal.Ran)
		second := sendPayout(r.nodes[2].addr, "dropped")
		require.Equal(t, quetzalpier.RanUnknown, second.refusal.Ran)
		require.Equal(t, 1, r.payoutRuns("dropped"))
		for _, p := range r.plains {
			p.SetFaults(0, 0)
		}
	})
	t.Run("concurrent copies at all nodes run once", func(t *testing.T) {
		for round := range 10 {
			key := fmt.Sprintf("at-once-%d", round)
			responses := make([]response, 6)
			var all conc.WaitGroup
			for i := range responses {
				all.Go(func() { responses[i] = sendPayout(r.nodes[1+i%3].addr, key) })
			}
			all.Wait()
			requireRanMatches(t, r, key, responses...)
			require.Equal(t, 1, r.payoutRuns(key))
		}
	})
	t.Run("the key-value service loses responses after the write", func(t *testing.T) {
		for round := range 6 {
			key := fmt.Sprintf("lost-%d", round)
			r.kv.SetFaults(stand.KVFaults{LoseAnswers: 1 + round%3})
			first, second := sendPayout(r.nodes[1].addr, key), sendPayout(r.nodes[2].addr, key)
			requireRanMatches(t, r, key, first, second)
		}
		r.kv.SetFaults(stand.KVFaults{})
	})
	t.Run("a payout without a key is sent once and needs no key-value service", func(t *testing.T) {
		r.kv.SetFaults(stand.KVFaults{Unavailable: true})
		defer r.kv.SetFaults(stand.KVFaults{})
		for _, p := range r.plains {
			p.SetFaults(0, 1)
		}
		a := sendOnce(r.nodes[1].addr, "POST", "/svc/svc/pay", "no key")
		require.Equal(t, quetzalpier.RanUnknown, a.refusal.Ran)
		total := 0
		for _, p := range r.plains {
			total += p.Runs("POST /pay no key")
			p.SetFaults(0, 0)
		}
		require.Equal(t, 1, total)
	})
	t.Run("key-value service unavailable: refused at once and not sent", func(t *testing.T) {
		r.kv.SetFaults(stand.KVFaults{Unavailable: true})
		defer r.kv.SetFaults(stand.KVFaults{})
		a := sendPayout(r.nodes[1].addr, "out")
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.NotEmpty(t, a.retryAfter)
		require.Zero(t, r.payoutRuns("out"))
	})
	t.Run("after the outage the key works", func(t *testing.T) {
		r.eventually("payout to succeed", func() bool { return sendPayout(r.nodes[2].addr, "out").status == http.StatusOK })
		require.Equal(t, 1, r.payoutRuns("out"))
	})
}

// TestHolderLost kills or pauses the node that holds the claim of a payout while
// the payout runs. Other nodes must report that it is unknown whether it ran and
// not send it again.
func TestHolderLost(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		fault func(r *rig)
	}{
		{"killed", func(r *rig) { r.nodes[1].kill() }},
		{"paused and resumed", func(r *rig) {
			r.nodes[1].signal(r.t, syscall.SIGSTOP)
			time.AfterFunc(5*time.Second, func() { _ = r.nodes[1].cmd.Process.Signal(syscall.SIGCONT) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, rigOptions{plains: 1})
			r.startProcesses(1, 2, 3)
			r.plains[0].SetFaults(2*time.Second, 0)
			var first response
			var wait conc.WaitGroup
			wait.Go(func() { first = sendPayout(r.nodes[1].addr, "k") })
			r.eventually("payout to run", func() bool { return r.payoutRuns("k") == 1 })
			c.fault(r)
			second, third := sendPayout(r.nodes[2].addr, "k"), sendPayout(r.nodes[3].addr, "k")
			require.Equal(t, quetzalpier.RanUnknown, second.refusal.Ran, second.body)
			wait.Wait()
			requireRanMatches(t, r, "k", first, second, third)
		})
	}
}

// TestNotRun makes requests fail at several points before dispatch and checks that
// those reported as not run did not run.
func TestNotRun(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{plains: 1})
	r.start(nil, 1)
	t.Run("the upstream refuses connections", func(t *testing.T) {
		r.plains[0].Close()
		a := sendPayout(r.nodes[1].addr, "closed")
		require.Equal(t, quetzalpier.RanNo, a.refusal.Ran, a.body)
		requireRanMatches(t, r, "closed", a)
	})
	t.Run("the pool has no upstream", func(t *testing.T) {
		r := newRig(t, rigOptions{})
		r.start(nil, 1)
		// If the node queued the request until its deadline of 10 minutes, sendOnce
		// would time out.
		a := sendOnce(r.nodes[1].addr, "POST", "/svc/svc/pay", "empty", "Idempotency-Key", "empty", "Quetzalpier-Timeout", "10m")
		require.NoError(t, a.err)
		require.Equal(t, quetzalpier.RanNo, a.refusal.Ran, a.body)
		require.NotEmpty(t, a.retryAfter)
	})
	t.Run("no slot becomes free before the deadline", func(t *testing.T) {
		r := newRig(t, rigOptions{plains: 1})
		r.start(nil, 1)
		r.plains[0].SetFaults(10*time.Second, 0)
		var busy conc.WaitGroup
		var ended atomic.Int32
		for i := range 64 {
			busy.Go(func() {
				sendOnce(r.nodes[1].addr, "POST", "/svc/svc/pay", "busy", "Idempotency-Key", fmt.Sprintf("busy-%d", i), "Quetzalpier-Caller", "app")
				ended.Add(1)
			})
		}
		r.eventually("slots to fill", func() bool {
			total := 0
			for i := range 64 {
				total += r.payoutRuns(fmt.Sprintf("busy-%d", i))
			}
			return total == 64
		})
		a := sendOnce(r.nodes[1].addr, "POST", "/svc/svc/pay", "late", "Idempotency-Key", "late", "Quetzalpier-Caller", "app", "Quetzalpier-Timeout", "500ms")
		require.Equal(t, quetzalpier.RanNo, a.refusal.Ran, a.body)
		require.NotEmpty(t, a.retryAfter)
		require.Zero(t, ended.Load(), "a request ended before the refusal; the slots were not all in use")
		busy.Wait()
		requireRanMatches(t, r, "late", a)
	})
}
