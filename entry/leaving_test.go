package entry_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLeavingUpstream guards against requests that are sent to an upstream after it said
// in an answer that it is leaving, while the list, as in an outage, says nothing of it.
func TestLeavingUpstream(t *testing.T) {
	r := newTestEntry(t)
	r.setConfig()
	leaving, staying := r.startWorker(t, "a"), r.startWorker(t, "b")
	r.setUpstreams(leaving.VM(), staying.VM())
	leaving.SayLeaving()
	staying.SayLeaving()
	t.Run("each gets one request at most, then all are refused at once as not run", func(t *testing.T) {
		for range 10 {
			resp, _, err := r.send(t, http.MethodPost, "/safe/x", "body", nil)
			require.NoError(t, err)
			require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, resp.StatusCode)
		}
		require.Len(t, leaving.Runs(), 1)
		require.Len(t, staying.Runs(), 1)
		resp := requireStatus(t, r, "/safe/x", http.StatusServiceUnavailable)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	})
	t.Run("another upstream gets the requests", func(t *testing.T) {
		next := r.startWorker(t, "c")
		r.setUpstreams(leaving.VM(), staying.VM(), next.VM())
		for range 5 {
			requireStatus(t, r, "/safe/x", http.StatusOK)
		}
		require.Len(t, next.Runs(), 5)
	})
}
