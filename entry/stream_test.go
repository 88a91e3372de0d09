package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/platform"
)

// scriptedStream serves the attempts of one stream at several upstreams: each attempt runs the
// next handler.
type scriptedStream struct {
	mu       sync.Mutex
	handlers []fasthttp.RequestHandler
	// after and upstreams are the Last-Event-Id and the upstream of each attempt.
	after     []string
	upstreams []string
}

// startStream starts upstreams of which each attempt of a stream gets the next handler.
func startStream(t *testing.T, handlers ...fasthttp.RequestHandler) (*testEntry, *scriptedStream) {
	t.Helper()
	r, s := newTestEntry(t), &scriptedStream{handlers: handlers}
	r.setConfig()
	var vms []quetzalpier.VM
	for i := range handlers {
		vm := r.startServer(t, strconv.Itoa(i), s.handle)
		vm.Software = "v1"
		vms = append(vms, vm)
	}
	r.setUpstreams(vms...)
	return r, s
}

func (s *scriptedStream) handle(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	handler := s.handlers[min(len(s.after), len(s.handlers)-1)]
	s.after = append(s.after, string(c.Request.Header.Peek(platform.HeaderLastEventID)))
	s.upstreams = append(s.upstreams, string(c.Request.Header.Peek(platform.HeaderExpectWorker)))
	s.mu.Unlock()
	signAnswer(c)
	handler(c)
}

func (s *scriptedStream) attempts() (after, upstreams []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.after...), append([]string(nil), s.upstreams...)
}

func eventsBetween(from, to int) string {
	var text strings.Builder
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: a1-%d\n\n", i, i)
	}
	return text.String()
}

// replyEvents answers with events, and breaks off after them if whole is not set.
func replyEvents(text string, whole bool) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		c.SetContentType("text/event-stream")
		c.Response.ImmediateHeaderFlush = true
		body := io.Reader(strings.NewReader(text))
		if !whole {
			body = io.MultiReader(body, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		c.SetBodyStream(body, -1)
	}
}

// errorText is the body of an error, which could pass for an event.
const errorText = "id: 9\ndata: error\n\n"

func replyStatus(status int, declines bool) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		c.SetStatusCode(status)
		c.Response.Header.Set(platform.HeaderStamp, "error")
		if declines {
			c.Response.Header.Set(platform.HeaderNotRun, "1")
		}
		c.SetBodyString(errorText)
	}
}

// TestStreamNoSecondAnswer guards against streams that end as if complete, or go on with an
// error's text, if a later attempt is answered with an error.
func TestStreamNoSecondAnswer(t *testing.T) {
	const length = 6
	run := func(t *testing.T, path string, sent int, second fasthttp.RequestHandler) (*scriptedStream, *testEntry, *http.Response, string, error) {
		t.Helper()
		r, s := startStream(t, replyEvents(eventsBetween(1, sent), false), second, replyEvents(eventsBetween(sent+1, length), true))
		resp, text, err := r.send(t, http.MethodPost, path, "", nil)
		require.NotNil(t, resp, "%v", err)
		return s, r, resp, text, err
	}
	cases := []struct {
		status   int
		declines bool
		goesOn   bool
	}{
		{status: http.StatusNoContent},
		{status: http.StatusMovedPermanently},
		{status: http.StatusBadRequest},
		{status: http.StatusNotFound},
		{status: http.StatusConflict},
		{status: http.StatusUnprocessableEntity},
		{status: http.StatusRequestTimeout, goesOn: true},
		{status: http.StatusMisdirectedRequest, goesOn: true},
		{status: http.StatusTooManyRequests, goesOn: true},
		{status: http.StatusInternalServerError, goesOn: true},
		{status: http.StatusBadGateway, goesOn: true},
		{status: http.StatusServiceUnavailable, goesOn: true},
		{status: http.StatusServiceUnavailable, declines: true, goesOn: true},
		{status: http.StatusBadRequest, declines: true, goesOn: true},
	}
	for _, c := range cases {
		for _, sent := range []int{1, 5} {
			t.Run(fmt.Sprintf("status %d, declined %t, after %d events", c.status, c.declines, sent), func(t *testing.T) {
				s, r, resp, text, err := run(t, "/stream/x", sent, replyStatus(c.status, c.declines))
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.Equal(t, "stamp", resp.Header.Get(platform.HeaderStamp))
				after, upstreams := s.attempts()
				if c.goesOn {
					require.NoError(t, err)
					require.Equal(t, eventsBetween(1, length), text)
					require.Equal(t, []string{"", strconv.Itoa(sent), strconv.Itoa(sent)}, after)
				} else {
					require.Error(t, err, "the stream ended as if complete: %q", text)
					require.Equal(t, eventsBetween(1, sent), text)
					require.Len(t, after, 2)
				}
				r.board.Do(func(s *board.State) {
					require.Zero(t, s.Upstreams[upstreams[1]].UnitTime, "the failed attempt is recorded as a success")
				})
			})
		}
	}
	for _, sent := range []int{1, 5} {
		t.Run(fmt.Sprintf("not resumable, after %d events", sent), func(t *testing.T) {
			s, _, _, text, err := run(t, "/unresumable/x", sent, replyStatus(http.StatusBadRequest, false))
			require.Error(t, err, "the stream ended as if complete: %q", text)
			require.Equal(t, eventsBetween(1, sent), text)
			after, _ := s.attempts()
			require.Len(t, after, 1)
		})
	}
	t.Run("an error after no event is the client's answer", func(t *testing.T) {
		_, _, resp, text, err := run(t, "/stream/x", 0, replyStatus(http.StatusNotFound, false))
		require.NoError(t, err)
		require.Equal(t, http.StatusNotFound, resp.StatusCode)
		require.Equal(t, "error", resp.Header.Get(platform.HeaderStamp))
		require.Equal(t, errorText, text)
	})
	t.Run("a stream begins with the head of its first event's upstream", func(t *testing.T) {
		_, _, resp, text, err := run(t, "/stream/x", 0, func(c *fasthttp.RequestCtx) {
			c.Response.Header.Set(platform.HeaderStamp, "second")
			replyEvents(eventsBetween(1, length), true)(c)
		})
		require.NoError(t, err)
		require.Equal(t, "second", resp.Header.Get(platform.HeaderStamp))
		require.Equal(t, eventsBetween(1, length), text)
	})
	t.Run("one that breaks off before its first event and can't be resumed fails", func(t *testing.T) {
		_, _, resp, _, err := run(t, "/unresumable/x", 0, replyStatus(http.StatusNotFound, false))
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	})
	t.Run("a complete stream without events is the client's answer", func(t *testing.T) {
		r, _ := startStream(t, replyEvents("", true))
		resp, text, err := r.send(t, http.MethodPost, "/stream/x", "", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Empty(t, text)
	})
}

// TestStreamNumbered guards against streams in which events are missing or stand twice, if an
// upstream does not go on after the event that it was told.
func TestStreamNumbered(t *testing.T) {
	const length, sent = 6, 3
	cases := []struct {
		name   string
		second string
	}{
		{"begins again", eventsBetween(1, length)},
		{"repeats the last event", eventsBetween(sent, length)},
		{"leaves out an event", eventsBetween(sent+2, length)},
		{"leaves out an event later", eventsBetween(sent+1, sent+1) + eventsBetween(sent+3, length)},
		{"repeats an event later", eventsBetween(sent+1, sent+2) + eventsBetween(sent+2, length)},
		{"sends an event without an ID", "data: joined\n\n" + eventsBetween(sent+1, length)},
	}
	for _, c := range cases {
		t.Run(c.name+", and another goes on", func(t *testing.T) {
			goOn := func(c *fasthttp.RequestCtx) {
				last, _ := strconv.Atoi(string(c.Request.Header.Peek(platform.HeaderLastEventID)))
				replyEvents(eventsBetween(last+1, length), true)(c)
			}
			r, _ := startStream(t, replyEvents(eventsBetween(1, sent), false), replyEvents(c.second, true), goOn)
			_, text, err := r.send(t, http.MethodPost, "/stream/x", "", nil)
			require.NoError(t, err)
			require.Equal(t, eventsBetween(1, length), text)
		})
		t.Run(c.name+", as do all", func(t *testing.T) {
			r, _ := startStream(t, replyEvents(eventsBetween(1, sent), false), replyEvents(c.second, true))
			_, text, err := r.send(t, http.MethodPost, "/stream/x", "", nil)
			require.Error(t, err, "the stream ended as if complete: %q", text)
			require.True(t, strings.HasPrefix(eventsBetween(1, length), text), text)
		})
	}
	t.Run("a stream that a client takes up goes on after its event", func(t *testing.T) {
		r, _ := startStream(t, replyEvents(eventsBetween(1, length), true), replyEvents(eventsBetween(1, length), true), replyEvents(eventsBetween(sent+1, length), true))
		_, _, err := r.send(t, http.MethodPost, "/stream/x", "", nil)
		require.NoError(t, err)
		resp, text := r.takeUp(t, "/stream/x", "a1", strconv.Itoa(sent))
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, eventsBetween(sent+1, length), text)
	})
	t.Run("a client that takes up a stream after no number is refused", func(t *testing.T) {
		r, s := startStream(t, replyEvents(eventsBetween(1, length), true))
		for _, last := range []string{"x", "-1", "1.5"} {
			resp, text := r.takeUp(t, "/stream/x", "a1", last)
			require.Equal(t, http.StatusBadRequest, resp.StatusCode, text)
		}
		after, _ := s.attempts()
		require.Empty(t, after)
	})
	t.Run("a stream that can't be resumed is forwarded as it is", func(t *testing.T) {
		text := "data: no id\n\n" + eventsBetween(7, 7) + eventsBetween(9, 9)
		r, _ := startStream(t, replyEvents(text, true))
		_, got, err := r.send(t, http.MethodPost, "/unresumable/x", "", nil)
		require.NoError(t, err)
		require.Equal(t, text, got)
	})
}

// TestStreamOfNoEvents guards against complete streams without events that stand for another
// kind of answer.
func TestStreamOfNoEvents(t *testing.T) {
	const page = "<html>\nBad gateway\n\n</html>\n"
	t.Run("at first", func(t *testing.T) {
		r, _ := startStream(t, replyEvents(page, true))
		resp, text, err := r.send(t, http.MethodPost, "/unresumable/x", "", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode, text)
	})
	t.Run("after events", func(t *testing.T) {
		r, _ := startStream(t, replyEvents(eventsBetween(1, 3), false), func(c *fasthttp.RequestCtx) { c.SetBodyString(page) }, replyEvents(eventsBetween(4, 6), true))
		_, text, err := r.send(t, http.MethodPost, "/stream/x", "", nil)
		require.NoError(t, err)
		require.Equal(t, eventsBetween(1, 6), text)
	})
}

// TestStreamCutBetweenEvents guards against streams that end as if complete, since the upstream
// broke off after a whole event.
func TestStreamCutBetweenEvents(t *testing.T) {
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	cases := []struct {
		name  string
		head  string
		body  string
		reset bool
	}{
		{name: "before the last chunk", head: "Transfer-Encoding: chunked", body: chunk(eventsBetween(1, 3))},
		{name: "in the size of a chunk", head: "Transfer-Encoding: chunked", body: chunk(eventsBetween(1, 3)) + "1"},
		{name: "in the size of the last chunk", head: "Transfer-Encoding: chunked", body: chunk(eventsBetween(1, 3)) + "0"},
		{name: "before the end of the trailer", head: "Transfer-Encoding: chunked", body: chunk(eventsBetween(1, 3)) + "0\r\n"},
		{name: "before its length", head: "Content-Length: 1000", body: eventsBetween(1, 3)},
		{name: "by a reset, without a length", head: "Connection: close", body: eventsBetween(1, 3), reset: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestEntry(t)
			r.setConfig()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			var serving conc.WaitGroup
			serving.Go(func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				var req fasthttp.Request
				if req.Read(bufio.NewReader(conn)) != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: a1\r\n%s: stamp\r\n%s\r\n\r\n%s", platform.HeaderAttempt, platform.HeaderStamp, c.head, c.body)
				if c.reset {
					time.Sleep(50 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			t.Cleanup(func() { _ = listener.Close(); serving.Wait() })
			r.setUpstreams(quetzalpier.VM{ID: "u", Addr: listener.Addr().String(), Pool: "p", Kind: quetzalpier.KindPlain, State: quetzalpier.VMLive, Slots: 6})
			_, text, err := r.send(t, http.MethodPost, "/unresumable/x", "", nil)
			require.Error(t, err, "the stream ended as if complete: %q", text)
			require.Equal(t, eventsBetween(1, 3), text)
		})
	}
}
