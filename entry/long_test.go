package entry_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestLongAnswers guards against answers that are cut once the time that a client has for its
// request is over.
func TestLongAnswers(t *testing.T) {
	const events = 8
	newEntry := func(t *testing.T, handler fasthttp.RequestHandler) *testEntry {
		t.Helper()
		r := newTestEntry(t)
		r.setConfig()
		r.entry.ReadTimeout = 300 * time.Millisecond
		r.addr = freeAddr(t)
		require.NoError(t, r.entry.ServeFront(r.addr))
		r.setUpstreams(r.startServer(t, "u", handler))
		return r
	}
	t.Run("stream", func(t *testing.T) {
		r := newEntry(t, func(c *fasthttp.RequestCtx) {
			signAnswer(c)
			c.SetContentType("text/event-stream")
			c.SetBodyStreamWriter(func(w *bufio.Writer) {
				for i := range events {
					time.Sleep(100 * time.Millisecond)
					_, _ = io.WriteString(w, eventsBetween(i+1, i+1))
					if w.Flush() != nil {
						return
					}
				}
			})
		})
		_, text, err := r.send(t, http.MethodPost, "/unresumable/x", "", nil)
		require.NoError(t, err)
		require.Equal(t, eventsBetween(1, events), text)
	})
	t.Run("response", func(t *testing.T) {
		r := newEntry(t, func(c *fasthttp.RequestCtx) { time.Sleep(600 * time.Millisecond); signAnswer(c) })
		requireStatus(t, r, "/once/x", http.StatusOK)
	})
}
