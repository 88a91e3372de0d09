package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier/platform"
)

// TestNextRequestAfterRefusedStream guards against requests on a kept connection that were read
// by the watch of the request before.
func TestNextRequestAfterRefusedStream(t *testing.T) {
	const clients, requests = 30, 8
	cases := []struct {
		name      string
		method    string
		pipelined bool
	}{
		{"after the response", http.MethodPost, false},
		{"after a response without a body", http.MethodHead, false},
		{"pipelined", http.MethodPost, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestEntry(t)
			r.setConfig()
			vm := r.startServer(t, "u", func(ctx *fasthttp.RequestCtx) {
				time.Sleep(110 * time.Millisecond)
				signAnswer(ctx)
				if !ctx.IsHead() {
					ctx.SetStatusCode(http.StatusNotFound)
				}
			})
			vm.Slots = clients
			r.setUpstreams(vm)
			request := fmt.Sprintf("%s /unresumable/x HTTP/1.1\r\nHost: %s\r\n%s: a\r\nContent-Length: 0\r\n\r\n", c.method, host, platform.HeaderAttempt)
			running := pool.New().WithErrors()
			for range clients {
				running.Go(func() error {
					conn, err := net.Dial("tcp", r.addr)
					if err != nil {
						return err
					}
					defer func() { _ = conn.Close() }()
					reader := bufio.NewReader(conn)
					for i := range requests {
						send := request
						switch {
						case c.pipelined && i == 0:
							send = strings.Repeat(request, 2)
						case c.pipelined && i == requests-1:
							send = ""
						}
						if _, err := io.WriteString(conn, send); err != nil {
							return err
						}
						_ = conn.SetReadDeadline(time.Now().Add(testTimeout / 2))
						resp := fasthttp.Response{SkipBody: c.method == http.MethodHead}
						if err := resp.Read(reader); err != nil {
							return fmt.Errorf("request %d: %w", i, err)
						}
					}
					return nil
				})
			}
			require.NoError(t, running.Wait())
			require.Eventually(t, func() bool { return r.entry.InFlight() == 0 }, testTimeout, time.Millisecond)
		})
	}
}
