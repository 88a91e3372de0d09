package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier/platform"
)

// Load pattern: a node stops as planned while clients go on to use their kept connections,
// several requests written at once on some of them.
func TestStopUnderLoad(t *testing.T) {
	r := newTestEntry(t)
	var mu sync.Mutex
	ran := map[string]bool{}
	r.setUpstreams(r.startServer(t, "u", func(c *fasthttp.RequestCtx) {
		mu.Lock()
		ran[string(c.Request.Header.Peek(platform.HeaderAttempt))] = true
		mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		signAnswer(c)
		c.SetBodyString("answer")
	}))
	answered := map[string]bool{}
	// client sends requests on one connection after the other, pipelined ones at once,
	// until the node accepts no more.
	client := func(number, pipelined int) {
		for round := 0; ; round++ {
			conn, err := net.Dial("tcp", r.addr)
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			for kept := 0; err == nil; kept++ {
				var ids []string
				text := ""
				for i := range pipelined {
					id := fmt.Sprint(number, "-", round, "-", kept, "-", i)
					ids = append(ids, id)
					text += fmt.Sprintf("POST /safe/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", host, platform.HeaderAttempt, id)
				}
				if _, err = conn.Write([]byte(text)); err != nil {
					break
				}
				for _, id := range ids {
					resp := &fasthttp.Response{}
					if err = resp.Read(reader); err != nil {
						break
					}
					mu.Lock()
					answered[id] = true
					mu.Unlock()
					if resp.ConnectionClose() {
						err = net.ErrClosed
						break
					}
				}
			}
			_ = conn.Close()
		}
	}
	var clients conc.WaitGroup
	for i := range 24 {
		clients.Go(func() { client(i, 1+i%3) })
	}
	time.Sleep(150 * time.Millisecond)
	r.entry.Drain()
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r.entry.Close(ctx)
	clients.Wait()
	require.Greater(t, len(answered), 100)
	for id := range ran {
		require.True(t, answered[id], "request %s ran and was cut off", id)
	}
}
