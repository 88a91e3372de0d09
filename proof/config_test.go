package proof_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/setup"
	"quetzalpier/stand"
)

func (r *rig) patch(i int, number uint64, id, body string) response {
	return sendOnce(r.nodes[i].addr, "PATCH", "/v1/config", body, "If-Match", fmt.Sprintf("%q", fmt.Sprint(number)), "Quetzalpier-Patch", id)
}

// waitConfig waits until the nodes use configuration number or a later one.
func (r *rig) waitConfig(number uint64, nodes ...int) {
	r.t.Helper()
	for _, i := range nodes {
		r.eventually(fmt.Sprintf("configuration %d at node %d", number, i), func() bool {
			s, ok := r.status(i)
			return ok && s.Number >= number
		})
	}
}

func TestConfiguration(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{plains: 1})
	r.start(nil, 1, 2, 3, 4, 5)
	t.Run("an accepted patch takes effect on all nodes", func(t *testing.T) {
		a := r.patch(1, 1, "one", `{"callers":{"x":{"class":"internal"}}}`)
		require.Equal(t, http.StatusOK, a.status, a.body)
		r.waitConfig(2, 1, 2, 3, 4, 5)
	})
	t.Run("a patch with an outdated number is refused with the current number", func(t *testing.T) {
		a := r.patch(2, 1, "stale", `{"callers":{"y":{"class":"internal"}}}`)
		require.Equal(t, http.StatusPreconditionFailed, a.status)
		require.Equal(t, uint64(2), a.refusal.Number)
		require.Equal(t, quetzalpier.RanNo, a.refusal.Ran)
	})
	t.Run("a repeated patch is accepted but not applied twice", func(t *testing.T) {
		a := r.patch(3, 1, "one", `{"callers":{"x":{"class":"internal"}}}`)
		require.Equal(t, http.StatusOK, a.status)
		s, _ := r.status(3)
		require.Equal(t, uint64(2), s.Number)
	})
	t.Run("one of several concurrent patches wins", func(t *testing.T) {
		responses := make([]response, 8)
		var all conc.WaitGroup
		for i := range responses {
			all.Go(func() { responses[i] = r.patch(1+i%5, 2, fmt.Sprint("race", i), `{}`) })
		}
		all.Wait()
		won := 0
		for _, a := range responses {
			if a.status == http.StatusOK {
				won++
			}
		}
		require.Equal(t, 1, won)
	})
	t.Run("a patch succeeds although the response to the write is lost", func(t *testing.T) {
		r.kv.SetFaults(stand.KVFaults{LoseAnswers: 1})
		a := r.patch(4, 3, "lost", `{}`)
		require.Equal(t, http.StatusOK, a.status, a.body)
		r.waitConfig(4, 1, 2, 3, 4, 5)
	})
	t.Run("key-value service unavailable: patches are refused as not run, the last configuration stays in use, requests are served", func(t *testing.T) {
		r.kv.SetFaults(stand.KVFaults{Unavailable: true})
		defer r.kv.SetFaults(stand.KVFaults{})
		a := r.patch(1, 4, "out", `{}`)
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.Equal(t, quetzalpier.RanNo, a.refusal.Ran)
		time.Sleep(13 * time.Second)
		for i := range 5 {
			r.eventually("node to serve during the outage", func() bool { return r.getStatusCode(1+i, "/svc/svc/x") == http.StatusOK })
			s, _ := r.status(1 + i)
			require.Equal(t, uint64(4), s.Number)
		}
	})
	t.Run("key-value service available again: patches are accepted", func(*testing.T) {
		r.eventually("patch to be accepted", func() bool { return r.patch(2, 4, "back", `{}`).status == http.StatusOK })
		r.waitConfig(5, 1, 2, 3, 4, 5)
	})
	t.Run("watching nodes stopped: the others still get updates", func(t *testing.T) {
		for _, i := range []int{1, 2} {
			r.nodes[i].drain()
			delete(r.nodes, i)
		}
		require.Equal(t, http.StatusOK, r.patch(3, 5, "after", `{}`).status)
		r.waitConfig(6, 3, 4, 5)
	})
}

// TestFrozenNode pauses a node for longer than a configuration may stay
// unconfirmed, while another node accepts a patch. When resumed, the node must
// not serve requests with its old configuration.
func TestFrozenNode(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{plains: 1})
	r.startProcesses(1, 2, 3)
	r.nodes[3].signal(t, syscall.SIGSTOP)
	require.Equal(t, http.StatusOK, r.patch(1, 1, "p", `{"pools":{"svc":null}}`).status)
	r.waitConfig(2, 1, 2)
	time.Sleep(14 * time.Second)
	r.nodes[3].signal(t, syscall.SIGCONT)
	// The old configuration has the pool and would give a 200.
	for range 50 {
		a := sendOnce(r.nodes[3].addr, "GET", "/svc/svc/x", "")
		require.NotEqual(t, http.StatusOK, a.status, a.body)
		time.Sleep(20 * time.Millisecond)
	}
	r.waitConfig(2, 3)
}

// TestCutOffNodes makes the platform unreachable for some of the nodes only.
func TestCutOffNodes(t *testing.T) {
	t.Parallel()
	t.Run("a node cut off from the platform but not from its peers stays up to date", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigOptions{plains: 1})
		r.start(nil, 1, 2)
		r.start(func(s *setup.Node) { s.Platform.KV = r.subnet + ".250:1" }, 3)
		require.Equal(t, http.StatusOK, r.patch(1, 1, "p", `{}`).status)
		r.waitConfig(2, 3)
		time.Sleep(14 * time.Second)
		require.Equal(t, http.StatusOK, r.getStatusCode(3, "/readyz"))
	})
	t.Run("a node whose peers stopped as planned serves alone without the platform", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigOptions{plains: 1})
		r.start(nil, 1, 2, 3)
		for _, i := range []int{1, 2} {
			r.nodes[i].kill()
		}
		r.kv.SetFaults(stand.KVFaults{Unavailable: true})
		// Nodes that stopped as planned do not count as lost, so the remaining node
		// serves. A node whose peers were lost without notice must not.
		r.eventually("the only remaining node to serve", func() bool { return r.getStatusCode(3, "/svc/svc/x") == http.StatusOK })
	})
	t.Run("a minority of the nodes refuses requests", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigOptions{plains: 1})
		r.startProcesses(1, 2, 3)
		r.kv.SetFaults(stand.KVFaults{Unavailable: true})
		r.nodes[1].kill()
		r.nodes[2].kill()
		addrs := ""
		r.eventually("node to refuse", func() bool {
			addrs = sendOnce(r.nodes[3].addr, "GET", "/v1/nodes", "").body
			a := sendOnce(r.nodes[3].addr, "GET", "/svc/svc/x", "")
			return a.refusal.Type == "stale" && a.refusal.Ran == quetzalpier.RanNo
		})
		require.True(t, strings.HasPrefix(addrs, `{"nodes":[`), addrs)
	})
}
