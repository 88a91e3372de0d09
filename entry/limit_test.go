package entry_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier"
)

// Load pattern: a burst of requests for upstreams that all accept one request a second.
func TestLimitedBurst(t *testing.T) {
	r := newTestEntry(t)
	r.setConfig()
	w := r.startWorker(t, "u")
	w.SetLimit(quetzalpier.Limit{Named: true, PerSecond: 1})
	r.setUpstreams(w.VM())
	requireStatus(t, r, "/safe/first", http.StatusOK)
	const burst = 12
	type outcome struct {
		status int
		after  time.Duration
		took   time.Duration
	}
	outcomes := make(chan outcome, burst)
	var clients conc.WaitGroup
	for range burst {
		clients.Go(func() {
			start := time.Now()
			resp, _, err := r.send(t, http.MethodPost, "/safe/burst", "body", nil)
			if err != nil {
				outcomes <- outcome{}
				return
			}
			after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			outcomes <- outcome{resp.StatusCode, time.Duration(after * float64(time.Second)), time.Since(start)}
		})
	}
	clients.Wait()
	close(outcomes)
	served, refused := 0, 0
	for o := range outcomes {
		switch o.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
			require.Less(t, o.took, time.Second, "refused at once")
			require.GreaterOrEqual(t, o.after, time.Second, "told when to come back")
		default:
			require.Fail(t, "unexpected status", "%d", o.status)
		}
	}
	require.Positive(t, served)
	require.GreaterOrEqual(t, refused, burst-4)
	require.Len(t, w.Runs(), 1+served, "a refused request has not run")
}
