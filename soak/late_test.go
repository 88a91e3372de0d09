package soak_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/soak"
	"quetzalpier/stand"
)

// slowWork is how long the upstream of TestLateRequests works on a request.
const slowWork = 3 * time.Second

// slowUpstream is a plain service that records which requests it began to run.
type slowUpstream struct {
	mu  sync.Mutex
	ran map[string]bool
}

func (u *slowUpstream) handle(c *fasthttp.RequestCtx) {
	id := string(c.Request.Header.Peek(platform.HeaderAttempt))
	u.mu.Lock()
	u.ran[id] = true
	u.mu.Unlock()
	if !strings.HasPrefix(string(c.Path()), "/quick/") {
		time.Sleep(slowWork)
	}
	c.Response.Header.Set(platform.HeaderAttempt, id)
	c.Response.Header.Set(platform.HeaderStamp, "stamp")
	c.SetBodyString("answer")
}

func (u *slowUpstream) hasRun(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// addSlowRoutes adds three routes to a slow upstream to the configuration: requests of "/once/"
// must not be repeated, those of "/safe/" may be, and those of "/quick/" have a short timeout.
func addSlowRoutes(t *testing.T, r *soak.Rig) *slowUpstream {
	t.Helper()
	u := &slowUpstream{ran: map[string]bool{}}
	server, err := stand.Serve("127.0.0.1:0", 0, u.handle)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	targets := []quetzalpier.Target{{Pool: "slow", Weight: 1}}
	require.NoError(t, r.AddRoutes(
		quetzalpier.Route{Name: "once", Host: soak.Host, Prefix: "/once/", Timeout: 6 * time.Second, LatencyObjective: 4 * time.Second, MaxAttempts: 1, Targets: targets},
		quetzalpier.Route{Name: "safe", Host: soak.Host, Prefix: "/safe/", Idempotent: true, Timeout: 6 * time.Second, LatencyObjective: 4 * time.Second, MaxAttempts: 2, Targets: targets},
		quetzalpier.Route{Name: "quick", Host: soak.Host, Prefix: "/quick/", Timeout: 1200 * time.Millisecond, LatencyObjective: time.Second, MaxAttempts: 1, Targets: targets},
	))
	require.NoError(t, r.WriteVM(quetzalpier.VM{ID: "slow", Pool: "slow", Addr: server.Addr, Domain: "d", State: quetzalpier.VMLive, Slots: 64, Incarnation: 1}))
	return u
}

// lateRequest is a request that is sent some time after the node was asked to stop, over a
// connection that was opened before.
type lateRequest struct {
	name string
	// head and body are what is sent, body bodyDelay later.
	head, body string
	after      time.Duration
	bodyDelay  time.Duration
	status     int
	err        error
	took       time.Duration
}

func (r *lateRequest) send(conn net.Conn, stoppedAt time.Time) {
	time.Sleep(time.Until(stoppedAt.Add(r.after)))
	start := time.Now()
	defer func() { r.took = time.Since(start) }()
	if _, r.err = conn.Write([]byte(r.head)); r.err != nil {
		return
	}
	if r.bodyDelay > 0 {
		time.Sleep(r.bodyDelay)
	}
	if _, r.err = conn.Write([]byte(r.body)); r.err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp := &fasthttp.Response{}
	r.err = resp.Read(bufio.NewReader(conn))
	r.status = resp.StatusCode()
}

// TestLateRequests guards against requests that are taken late in the grace period of a planned
// stop and cut off without an answer. Each is answered; one that is refused has not run, and is
// refused at once.
func TestLateRequests(t *testing.T) {
	t.Parallel()
	post := func(path, id string, length int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: m0\r\nContent-Length: %d\r\n\r\n", path, soak.Host, platform.HeaderAttempt, id, platform.HeaderModel, length)
	}
	var requests []*lateRequest
	for _, after := range []time.Duration{200, 1500, 2500, 3200, 3600, 3900} {
		for _, route := range []string{"once", "safe", "quick"} {
			id := fmt.Sprint(route, int(after))
			requests = append(requests, &lateRequest{name: id, head: post("/"+route+"/1", id, 4), body: "body", after: after * time.Millisecond})
		}
	}
	requests = append(requests,
		&lateRequest{name: "body", head: post("/once/1", "body", 4), body: "body", after: 3300 * time.Millisecond, bodyDelay: time.Second},
		&lateRequest{name: "stream", head: post("/stream/1", "stream", 10), body: "400 prompt", after: 3500 * time.Millisecond},
	)
	r := openRigWith(t, soak.Options{Fronts: 2, Stores: 3, Engines: 2, Plains: 1, EventInterval: 30 * time.Millisecond})
	require.True(t, r.WaitReady(t.Context(), 15*time.Second))
	u := addSlowRoutes(t, r)
	time.Sleep(2 * time.Second)
	var clients conc.WaitGroup
	stoppedAt := time.Now().Add(time.Second)
	for _, request := range requests {
		conn, err := net.Dial("tcp", r.Fronts[0].Settings.Front)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		// The connection is kept from a request before.
		earlier := &lateRequest{head: "GET /lots/x HTTP/1.1\r\nHost: " + soak.Host + "\r\n\r\n"}
		earlier.send(conn, time.Now())
		require.NoError(t, earlier.err)
		clients.Go(func() { request.send(conn, stoppedAt) })
	}
	time.Sleep(time.Until(stoppedAt))
	require.True(t, r.Fronts[0].Stop())
	clients.Wait()
	for _, request := range requests {
		t.Logf("%s: %d in %s, %v", request.name, request.status, request.took.Round(time.Millisecond), request.err)
	}
	for _, request := range requests {
		require.NoError(t, request.err, request.name)
		switch {
		case request.status == http.StatusServiceUnavailable:
			require.False(t, u.hasRun(request.name), "%s was refused and has run", request.name)
			require.Less(t, request.took-request.bodyDelay, 300*time.Millisecond, "%s can't be served, and is refused at once", request.name)
			require.Greater(t, request.after, 2500*time.Millisecond, "%s can be served", request.name)
		case request.after <= 2500*time.Millisecond || strings.HasPrefix(request.name, "quick"):
			require.Equal(t, http.StatusOK, request.status, request.name)
		}
	}
}
