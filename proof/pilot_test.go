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

// serving waits until the engines' own reports show the version.
func (r *rig) serving(version quetzalpier.Version) {
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

// holder is the node that holds the pool's lease.
func (r *rig) holder() int {
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

func requireFencesRise(t *testing.T, r *rig) {
	t.Helper()
	for _, e := range r.engines {
		last := uint64(0)
		for _, order := range e.Report().Obeyed {
			require.GreaterOrEqual(t, order.Fence, last)
			last = order.Fence
		}
	}
}

func TestPilot(t *testing.T) {
	t.Parallel()
	for _, unfenced := range []bool{false, true} {
		name := "engines check the fencing number"
		if unfenced {
			name = "engines ignore the fencing number"
		}
		t.Run(name+": holder frozen beyond its lease, and acts on it", func(t *testing.T) {
			t.Parallel()
			r := newRig(t, rigOptions{engines: 3, swap: 700 * time.Millisecond, unfenced: unfenced})
			r.spawn(1, 2, 3)
			r.publish(2)
			r.serving(2)
			old := r.holder()
			r.publish(3)
			// Frozen in the midst of ordering version 3.
			r.nodes[old].signal(t, syscall.SIGSTOP)
			r.eventually("successor", func() bool { return r.holder() != old })
			others := []string{}
			for i, n := range r.nodes {
				if i != old {
					others = append(others, n.addr)
				}
			}
			client := train.New("t", others)
			require.NoError(t, client.Publish(t.Context(), "m", 4))
			r.serving(4)
			r.nodes[old].signal(t, syscall.SIGCONT)
			time.Sleep(3 * time.Second)
			r.serving(4)
			if !unfenced {
				requireFencesRise(t, r)
			}
		})
	}
	t.Run("swaps that fail and engines that lie end at the target", func(t *testing.T) {
		r := newRig(t, rigOptions{engines: 3, plains: 1})
		r.start(nil, 1, 2)
		r.engines[0].SetFaults(stand.EngineFaults{FailSwaps: 3})
		r.engines[1].SetFaults(stand.EngineFaults{Lie: true})
		tr := r.traffic(6)
		r.publish(2)
		r.eventually("two engines to serve", func() bool {
			return r.engines[0].Report().Version == 2 && r.engines[2].Report().Version == 2
		})
		r.engines[1].SetFaults(stand.EngineFaults{})
		r.serving(2)
		tr.stop(t)
	})
}

func TestPoison(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{engines: 6, plains: 1})
	r.start(nil, 1, 2, 3)
	tr := r.traffic(6)
	var last answer
	for i := range 12 {
		last = post(r.nodes[1+i%3].addr, "POST", "/v1/completions", `{"model":"m","prompt":"`+stand.CrashMark+`","max_tokens":64}`, "Quetzalpier-Caller", "app")
		require.NoError(t, last.err)
		require.NotEqual(t, http.StatusOK, last.status)
	}
	t.Run("two upstreams at most are lost", func(t *testing.T) {
		crashes := 0
		for _, e := range r.engines {
			crashes += e.Report().Crashes
		}
		require.LessOrEqual(t, crashes, 2)
	})
	t.Run("it is refused at once at every node", func(t *testing.T) {
		require.Equal(t, "poison", last.refusal.Type)
		require.Equal(t, quetzalpier.RanNo, last.refusal.Ran)
		require.NotEmpty(t, last.after)
	})
	t.Run("no innocent request is harmed", func(t *testing.T) {
		tr.cancel()
		tr.wait.Wait()
		for _, broken := range tr.broken {
			require.False(t, strings.Contains(broken, "poison"), broken)
		}
		require.Positive(t, tr.done)
	})
}
