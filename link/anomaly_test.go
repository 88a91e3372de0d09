package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier/link"
)

// isForeign reports whether a response names another request.
func isForeign(header *fasthttp.ResponseHeader) bool { return len(header.Peek("Id")) > 0 }

// Guards against connections that mix the bytes of two requests or responses unseen.
func TestAnomalies(t *testing.T) {
	foreign := strings.Replace(fullResponse, "OK\r\n", "OK\r\nId: other\r\n", 1)
	respond := func(responses ...string) connHandler {
		return func(conn net.Conn) bool {
			ran := readRequest(conn)
			for i, response := range responses {
				if i > 0 {
					time.Sleep(50 * time.Millisecond)
				}
				_, _ = io.WriteString(conn, response)
			}
			stall(conn)
			return ran
		}
	}
	for _, c := range []struct {
		name   string
		handle connHandler
		// body is the size of the request, and calls the number of calls.
		body, calls int
		want        []link.Anomaly
	}{
		{"none", respond(fullResponse), 8, 1, nil},
		{"a connection that the upstream closes", func(conn net.Conn) bool {
			ran := readRequest(conn)
			_, _ = io.WriteString(conn, fullResponse)
			return ran
		}, 8, 2, nil},
		{"a foreign response", respond(foreign + fullResponse), 8, 1, []link.Anomaly{link.AnomalyForeign}},
		{"a second response at once", respond(fullResponse + fullResponse), 8, 1, []link.Anomaly{link.AnomalyUnread}},
		{"a second response on the idle connection", respond(fullResponse, fullResponse), 8, 2, []link.Anomaly{link.AnomalyIdle}},
		{"an answer before the body", func(conn net.Conn) bool {
			_, _ = bufio.NewReaderSize(conn, 16).ReadString('\n')
			_, _ = io.WriteString(conn, fullResponse)
			time.Sleep(100 * time.Millisecond)
			stall(conn)
			return true
		}, 32 << 20, 1, []link.Anomaly{link.AnomalyEarly}},
		{"a request that can't be written", func(conn net.Conn) bool {
			_, _ = conn.Read(make([]byte, 1))
			reset(conn)
			return false
		}, 32 << 20, 1, []link.Anomaly{link.AnomalyCut}},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, c.handle)
			links := link.New()
			defer links.Close()
			var mu sync.Mutex
			var seen []link.Anomaly
			links.OnAnomaly = func(s link.Sighting) {
				mu.Lock()
				defer mu.Unlock()
				require.Equal(t, "r1", s.Request)
				seen = append(seen, s.Anomaly)
			}
			for i := range c.calls {
				call := newCall(u.addr())
				call.Fresh, call.ID = false, "r1"
				call.HeaderTimeout = 5 * time.Second
				call.Request.SetBody(make([]byte, c.body))
				call.Foreign = isForeign
				_, err := attempt(context.Background(), links, call)
				require.True(t, err == nil || len(c.want) > 0, err)
				if i < c.calls-1 {
					time.Sleep(200 * time.Millisecond)
				}
			}
			require.Equal(t, c.want, seen)
		})
	}
}
