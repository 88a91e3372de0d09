package proof_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/stand"
	"quetzalpier/train"
)

func (r *rig) publish(version quetzalpier.Version) {
	r.t.Helper()
	client := train.New("t", r.addrs())
	require.NoError(r.t, client.Publish(r.t.Context(), "m", version))
}

// waitServing waits until all engines report the version.
func (r *rig) waitServing(version quetzalpier.Version) {
	r.t.Helper()
	r.eventually(fmt.Sprintf("version %d on all engines", version), func() bool {
		for _, e := range r.engines {
			if e.Report().Version != version {
				return false
			}
		}
		return true
	})
}

// leaseHolder returns the number of the node that holds the lease of the pool.
func (r *rig) leaseHolder() int {
	number := 0
	r.eventually("lease to be held", func() bool {
		entry, err := r.kv.Get(r.t.Context(), "lease/pilot/m/0")
		if err != nil || entry.Rev == 0 {
			return false
		}
		_, err = fmt.Sscanf(string(entry.Value), "n%d", &number)
		return err == nil
	})
	return number
}

func requireFencesNeverDecrease(t *testing.T, r *rig) {
	t.Helper()
	for _, e := range r.engines {
		previous := uint64(0)
		for _, order := range e.Report().AcceptedOrders {
			require.GreaterOrEqual(t, order.Fence, previous)
			previous = order.Fence
		}
	}
}

func TestPilot(t *testing.T) {
	t.Parallel()
	for _, unfenced := range []bool{false, true} {
		name := "engines check the fencing token"
		if unfenced {
			name = "engines ignore the fencing token"
		}
		t.Run(name+": holder paused until its lease expires, then resumed", func(t *testing.T) {
			t.Parallel()
			r := newRig(t, rigOptions{engines: 3, swapTime: 700 * time.Millisecond, unfenced: unfenced})
			r.startProcesses(1, 2, 3)
			r.publish(2)
			r.waitServing(2)
			oldHolder := r.leaseHolder()
			r.publish(3)
			// The holder is paused while it orders version 3.
			r.nodes[oldHolder].signal(t, syscall.SIGSTOP)
			r.eventually("another node to hold the lease", func() bool { return r.leaseHolder() != oldHolder })
			others := []string{}
			for i, n := range r.nodes {
				if i != oldHolder {
					others = append(others, n.addr)
				}
			}
			client := train.New("t", others)
			require.NoError(t, client.Publish(t.Context(), "m", 4))
			r.waitServing(4)
			r.nodes[oldHolder].signal(t, syscall.SIGCONT)
			time.Sleep(3 * time.Second)
			r.waitServing(4)
			if !unfenced {
				requireFencesNeverDecrease(t, r)
			}
		})
	}
	t.Run("engines whose swaps fail or are only reported end at the target version", func(t *testing.T) {
		r := newRig(t, rigOptions{engines: 3, plains: 1})
		r.start(nil, 1, 2)
		r.engines[0].SetFaults(stand.EngineFaults{FailSwaps: 3})
		r.engines[1].SetFaults(stand.EngineFaults{FalseSuccess: true})
		tr := r.startTraffic(6)
		r.publish(2)
		r.eventually("two engines to serve version 2", func() bool {
			return r.engines[0].Report().Version == 2 && r.engines[2].Report().Version == 2
		})
		r.engines[1].SetFaults(stand.EngineFaults{})
		r.waitServing(2)
		tr.stopAndCheck(t)
	})
}

func TestPoison(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{engines: 6, plains: 1})
	r.start(nil, 1, 2, 3)
	tr := r.startTraffic(6)
	var last response
	for i := range 12 {
		last = sendOnce(r.nodes[1+i%3].addr, "POST", "/v1/completions", `{"model":"m","prompt":"`+stand.CrashMarker+`","max_tokens":64}`, "Quetzalpier-Caller", "app")
		require.NoError(t, last.err)
		require.NotEqual(t, http.StatusOK, last.status)
	}
	t.Run("at most two engines crash", func(t *testing.T) {
		crashes := 0
		for _, e := range r.engines {
			crashes += e.Report().Crashes
		}
		require.LessOrEqual(t, crashes, 2)
	})
	t.Run("the request is refused at once", func(t *testing.T) {
		require.Equal(t, "poison", last.refusal.Type)
		require.Equal(t, quetzalpier.RanNo, last.refusal.Ran)
		require.NotEmpty(t, last.retryAfter)
	})
	t.Run("no other request is refused as poison", func(t *testing.T) {
		tr.cancel()
		tr.wait.Wait()
		for _, failure := range tr.failures {
			require.False(t, strings.Contains(failure, "poison"), failure)
		}
		require.Positive(t, tr.succeeded)
	})
}
