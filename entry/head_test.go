package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/stand"
)

const (
	okLine    = "HTTP/1.1 200 OK\r\n"
	ownID     = platform.HeaderAttempt + ": a1\r\n"
	signed    = ownID + platform.HeaderStamp + ": s\r\n"
	head      = okLine + signed
	length    = "Content-Length: 4\r\n"
	chunked   = "Transfer-Encoding: chunked\r\n"
	chunks    = "2;a=b\r\npa\r\n2\r\nid\r\n0\r\nX-Sum: 1\r\n\r\n"
	body      = "\r\npaid"
	lastChunk = "0\r\n\r\n"
	wholeText = head + length + body
	// foreignText is the answer to an earlier request.
	foreignText = okLine + platform.HeaderAttempt + ": b2\r\n" + platform.HeaderStamp + ": s\r\n" + length + body

	oneEvent = "id: 1\ndata: x\n\n"

	kind = "Content-Type: text/plain; charset=utf-8\r\n"
	// clientText is what a client gets of wholeText, and streamHead the head of a stream.
	clientText = okLine + kind + length + signed + body
	streamHead = okLine + kind + signed + chunked + "\r\n"
)

// eventChunk is a chunk of a stream.
func eventChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// scripted is an entry before a worker that gives a scripted answer to each path that ends in
// "odd", and a whole one to others.
type scripted struct {
	*testEntry
	worker *stand.Scripted
	conn   net.Conn
	reader *bufio.Reader
	raw    *bytes.Buffer
}

func newScripted(t *testing.T, odd stand.ScriptedAnswer) *scripted {
	t.Helper()
	s := &scripted{testEntry: newTestEntry(t)}
	s.setConfig()
	s.replaceWorker(t, odd)
	s.connect(t)
	return s
}

// replaceWorker starts a worker in place of the one before.
func (s *scripted) replaceWorker(t *testing.T, odd stand.ScriptedAnswer) {
	t.Helper()
	s.replaceWorkerBy(t, func(req *fasthttp.Request) stand.ScriptedAnswer {
		if strings.HasSuffix(string(req.Header.RequestURI()), "odd") {
			return odd
		}
		return stand.ScriptedAnswer{Parts: []string{wholeText}}
	})
}

func (s *scripted) replaceWorkerBy(t *testing.T, answer func(*fasthttp.Request) stand.ScriptedAnswer) {
	t.Helper()
	w, err := stand.NewScripted(answer)
	require.NoError(t, err)
	t.Cleanup(w.Close)
	s.worker = w
	s.setUpstreams(quetzalpier.VM{ID: w.Addr, Addr: w.Addr, Pool: "p", Kind: quetzalpier.KindPlain, State: quetzalpier.VMLive, Slots: 6, Software: "v1"})
}

// connect opens a new connection of the client.
func (s *scripted) connect(t *testing.T) {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	s.conn, s.raw = conn, &bytes.Buffer{}
	s.reader = bufio.NewReader(io.TeeReader(conn, s.raw))
}

// request sends a request on the client's connection, and returns the response with all that
// came up to its end.
func (s *scripted) request(t *testing.T, method, path string) (resp *http.Response, raw string, err error) {
	t.Helper()
	require.Zero(t, s.reader.Buffered(), "bytes after a response")
	s.raw.Reset()
	_, err = fmt.Fprintf(s.conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s%s: 800\r\nContent-Length: 0\r\n\r\n", method, path, host, ownID, platform.HeaderDeadline)
	require.NoError(t, err)
	resp, err = http.ReadResponse(s.reader, &http.Request{Method: method})
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return resp, s.raw.String(), err
}

// requireWhole requires that the worker's whole answers reach the client on its connection.
func (s *scripted) requireWhole(t *testing.T) {
	t.Helper()
	_, raw, err := s.request(t, http.MethodPost, "/safe/x")
	require.NoError(t, err, raw)
	require.Equal(t, clientText, raw)
}

// requireFailed requires that the client gets an error of the node's own, framed as whole and
// without bytes of the worker.
func (s *scripted) requireFailed(t *testing.T, method, path string) {
	t.Helper()
	resp, raw, err := s.request(t, method, path)
	require.NoError(t, err, raw)
	require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, resp.StatusCode, raw)
	require.False(t, resp.Close, raw)
	if _, text, _ := strings.Cut(raw, "\r\n\r\n"); method != http.MethodHead {
		require.Contains(t, raw, fmt.Sprintf("\r\nContent-Length: %d\r\n", len(text)))
	}
	for _, part := range []string{"paid", "200 OK", platform.HeaderStamp} {
		require.NotContains(t, raw, part)
	}
}

// TestCutAnswer guards against answers of workers that stopped in the middle and reached the
// client as whole ones.
func TestCutAnswer(t *testing.T) {
	chunkedText := head + chunked + "\r\n" + chunks
	interim := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for _, c := range []struct {
		name, answer, path string
		ending             stand.Ending
	}{
		{"with a length, closed", wholeText, "/once/odd", stand.CloseConn},
		{"with a length, reset", wholeText, "/once/odd", stand.ResetConn},
		{"in chunks, closed", chunkedText, "/once/odd", stand.CloseConn},
		{"in chunks, reset", chunkedText, "/once/odd", stand.ResetConn},
		{"after interim ones", interim + wholeText, "/once/odd", stand.CloseConn},
		{"after a foreign one", foreignText + wholeText, "/once/odd", stand.CloseConn},
		{"a stream with a length", wholeText, "/unresumable/odd", stand.CloseConn},
		{"a stream, closed", chunkedText, "/unresumable/odd", stand.CloseConn},
		{"a stream, reset", chunkedText, "/unresumable/odd", stand.ResetConn},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScripted(t, stand.ScriptedAnswer{})
			for cut := range len(c.answer) {
				s.replaceWorker(t, stand.ScriptedAnswer{Parts: []string{c.answer[:cut]}, Ending: c.ending})
				resp, raw, err := s.request(t, http.MethodPost, c.path)
				if err == nil {
					require.GreaterOrEqual(t, resp.StatusCode, http.StatusInternalServerError, "cut after %q: %q", c.answer[:cut], raw)
				}
				s.connect(t)
			}
		})
	}
}

// TestOddAnswer guards against answers that are no valid ones, or end too soon, and reach the
// client as whole ones.
func TestOddAnswer(t *testing.T) {
	cases := []struct {
		name   string
		ending stand.Ending
		parts  []string
		// want is what the client gets; empty for an error.
		want string
		// kept is set if the connection to the worker may be used again.
		kept   bool
		method string
	}{
		{name: "whole", parts: []string{wholeText}, want: clientText, kept: true},
		{name: "in several packets", parts: []string{okLine, signed + "Conte", "nt-Length: 4\r\n\r", "\n", "pa", "id"}, want: clientText, kept: true},
		{name: "a head that stalls", ending: stand.StallConn, parts: []string{head, length}},
		{name: "a head that stalls before its last byte", ending: stand.StallConn, parts: []string{head + length + "\r"}},
		{name: "a body that stalls", ending: stand.StallConn, parts: []string{head + length + "\r\n", "pai"}},
		{name: "no length, closed", ending: stand.CloseConn, parts: []string{head + body}, want: clientText},
		{name: "no length, reset", ending: stand.ResetConn, parts: []string{head + body}},
		{name: "no length or body, reset", ending: stand.ResetConn, parts: []string{head + "\r\n"}},
		{name: "no length, stalls", ending: stand.StallConn, parts: []string{head + body}},
		{name: "two lengths", parts: []string{head + length + "Content-Length: 2\r\n" + body}},
		{name: "a length twice", parts: []string{head + length + length + body}},
		{name: "a negative length", ending: stand.CloseConn, parts: []string{head + "Content-Length: -4\r\n" + body}},
		{name: "an empty length", ending: stand.CloseConn, parts: []string{head + "Content-Length:\r\n" + body}},
		{name: "a list of lengths", ending: stand.CloseConn, parts: []string{head + "Content-Length: 4, 4\r\n" + body}},
		{name: "a length beyond 64 bits", ending: stand.CloseConn, parts: []string{head + "Content-Length: 18446744073709551620\r\n" + body}},
		{name: "the largest length", ending: stand.CloseConn, parts: []string{head + "Content-Length: 9223372036854775807\r\n" + body}},
		{name: "a length beyond the body", ending: stand.CloseConn, parts: []string{head + "Content-Length: 5\r\n" + body}},
		{name: "bytes after the body", parts: []string{wholeText + "HTTP"}, want: clientText},
		{name: "an answer after the body", parts: []string{wholeText + foreignText}, want: clientText},
		{name: "a late answer after the body", parts: []string{wholeText, foreignText}, want: clientText, kept: true},
		{name: "two transfer codings", parts: []string{head + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks}},
		{name: "an unknown transfer coding", ending: stand.CloseConn, parts: []string{head + "Transfer-Encoding: identity\r\n" + body}},
		{name: "chunks and a trailer", parts: []string{head + chunked + "\r\n" + chunks}, want: clientText, kept: true},
		{name: "a chunk without a size", parts: []string{head + chunked + "\r\n\r\npaid\r\n0\r\n\r\n"}},
		{name: "a negative chunk", parts: []string{head + chunked + "\r\n-4\r\npaid\r\n0\r\n\r\n"}},
		{name: "a chunk beyond 64 bits", parts: []string{head + chunked + "\r\n10000000000000004\r\npaid\r\n0\r\n\r\n"}},
		{name: "a chunk longer than its size", parts: []string{head + chunked + "\r\n3\r\npaid\r\n0\r\n\r\n"}},
		{name: "chunks of an HTTP/1.0 answer", ending: stand.CloseConn, parts: []string{"HTTP/1.0 200 OK\r\n" + signed + chunked + "\r\n" + chunks}},
		{name: "a status of one digit", ending: stand.CloseConn, parts: []string{"HTTP/1.1 2\r\n" + signed + length + body}},
		{name: "a status below 100", parts: []string{"HTTP/1.1 099 OK\r\n" + signed + length + body}},
		{name: "a status from 600 on", parts: []string{"HTTP/1.1 999 OK\r\n" + signed + length + body}},
		{name: "another protocol", parts: []string{"HTTP/1.1 101 Switching Protocols\r\n" + signed + "\r\n"}},
		{name: "interim answers", parts: []string{"HTTP/1.1 100 Continue\r\n\r\n", strings.Repeat("HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n", 3) + wholeText}, want: clientText, kept: true},
		{name: "an interim answer only", ending: stand.CloseConn, parts: []string{"HTTP/1.1 103 Early Hints\r\n" + signed + "\r\n"}},
		{name: "no colon in a line", parts: []string{head + "Content-Length 4\r\n" + body}},
		{name: "a line that is cut", ending: stand.CloseConn, parts: []string{head + "Content-Le\r\n" + body}},
		{name: "bare line feeds", ending: stand.CloseConn, parts: []string{strings.ReplaceAll(wholeText, "\r\n", "\n")}},
		{name: "a NUL in a line", parts: []string{head + "X: \x00\r\n" + length + body}},
		{name: "no HTTP", parts: []string{"paid\r\n\r\n"}},
		{name: "no content", parts: []string{"HTTP/1.1 204 No Content\r\n" + signed + "\r\n"}, want: "HTTP/1.1 204 No Content\r\n" + kind + signed + "\r\n", kept: true},
		{name: "no content, and a body", parts: []string{"HTTP/1.1 204 No Content\r\n" + signed + length + body}, want: "HTTP/1.1 204 No Content\r\n" + kind + signed + "\r\n"},
		{name: "not modified", parts: []string{"HTTP/1.1 304 Not Modified\r\n" + signed + length + "\r\n"}, want: "HTTP/1.1 304 Not Modified\r\n" + kind + signed + "\r\n", kept: true},
		{name: "a foreign answer before", parts: []string{foreignText + wholeText}, want: clientText, kept: true},
		{name: "a foreign answer only", ending: stand.CloseConn, parts: []string{foreignText}},
		{name: "a foreign answer and a cut head", ending: stand.CloseConn, parts: []string{foreignText + head}},
		{name: "a foreign answer without a length", ending: stand.CloseConn, parts: []string{strings.Replace(foreignText, length, "", 1) + wholeText}},
		{name: "an interim answer's ID", parts: []string{"HTTP/1.1 103 Early Hints\r\n" + signed + "\r\n" + okLine + length + body}},
		{name: "an error that was not run", parts: []string{"HTTP/1.1 500 Internal Server Error\r\n" + ownID + platform.HeaderNotRun + ": 1\r\n" + length + body}},
		{name: "no ID", parts: []string{okLine + platform.HeaderStamp + ": s\r\n" + length + body}},
		{name: "no signature", parts: []string{okLine + ownID + length + body}},
		{name: "a signature in the trailer", parts: []string{okLine + ownID + chunked + "\r\n4\r\npaid\r\n0\r\n" + platform.HeaderStamp + ": s\r\n\r\n"}},
		{name: "an ID in the trailer", parts: []string{okLine + platform.HeaderStamp + ": s\r\n" + chunked + "\r\n4\r\npaid\r\n0\r\n" + ownID + "\r\n"}},
		{name: "a head request", method: http.MethodHead, parts: []string{head + length + "\r\n"}, want: okLine + kind + signed + "\r\n", kept: true},
		{name: "a head request and a body", method: http.MethodHead, parts: []string{wholeText}, want: okLine + kind + signed + "\r\n"},
		{name: "a head request, cut", method: http.MethodHead, ending: stand.CloseConn, parts: []string{head + length}},
	}
	for _, c := range cases {
		if c.method == "" {
			c.method = http.MethodPost
		}
		for _, path := range []string{"/safe/odd", "/once/odd"} {
			t.Run(c.name+", "+path, func(t *testing.T) {
				t.Parallel()
				s := newScripted(t, stand.ScriptedAnswer{Parts: c.parts, Ending: c.ending})
				s.requireWhole(t)
				if c.want == "" {
					s.requireFailed(t, c.method, path)
				} else {
					_, raw, err := s.request(t, c.method, path)
					require.NoError(t, err, raw)
					require.Equal(t, c.want, raw)
				}
				conns := s.worker.Conns.Load()
				s.requireWhole(t)
				if !c.kept && path == "/safe/odd" {
					require.Greater(t, s.worker.Conns.Load(), conns, "the connection to the worker was used again")
				}
			})
		}
	}
}

// TestOddStream guards against streams that end too soon and reach the client as whole ones.
func TestOddStream(t *testing.T) {
	cases := []struct {
		name   string
		ending stand.Ending
		parts  []string
		// want is what the client gets, which has the last chunk only if the stream is whole;
		// empty for an error.
		want string
	}{
		{name: "whole", parts: []string{head + chunked + "\r\n" + eventChunk(oneEvent) + lastChunk}, want: streamHead + eventChunk(oneEvent) + lastChunk},
		{name: "whole, with a length", parts: []string{head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(oneEvent)) + oneEvent}, want: streamHead + eventChunk(oneEvent) + lastChunk},
		{name: "no length, closed", ending: stand.CloseConn, parts: []string{head + "\r\n" + oneEvent}, want: streamHead + eventChunk(oneEvent) + lastChunk},
		{name: "no length, reset", ending: stand.ResetConn, parts: []string{head + "\r\n" + oneEvent}, want: streamHead + eventChunk(oneEvent)},
		{name: "no last chunk", ending: stand.CloseConn, parts: []string{head + chunked + "\r\n" + eventChunk(oneEvent)}, want: streamHead + eventChunk(oneEvent)},
		{name: "no last chunk, reset", ending: stand.ResetConn, parts: []string{head + chunked + "\r\n" + eventChunk(oneEvent)}, want: streamHead + eventChunk(oneEvent)},
		{name: "cut in the last chunk", ending: stand.CloseConn, parts: []string{head + chunked + "\r\n" + eventChunk(oneEvent) + "0\r\n"}, want: streamHead + eventChunk(oneEvent)},
		{name: "cut in a size", ending: stand.CloseConn, parts: []string{head + chunked + "\r\n" + eventChunk(oneEvent) + "f"}, want: streamHead + eventChunk(oneEvent)},
		{name: "cut in an extension", ending: stand.CloseConn, parts: []string{head + chunked + "\r\n" + eventChunk(oneEvent) + "f;a="}, want: streamHead + eventChunk(oneEvent)},
		{name: "cut in an event", ending: stand.CloseConn, parts: []string{head + chunked + "\r\n" + eventChunk(oneEvent+"id: 2\n")}, want: streamHead + eventChunk(oneEvent)},
		{name: "a whole body with half an event", parts: []string{head + chunked + "\r\n" + eventChunk(oneEvent+"id: 2\ndata: y\n") + lastChunk}, want: streamHead + eventChunk(oneEvent)},
		{name: "a whole body that ends in a version", parts: []string{head + chunked + "\r\n" + eventChunk(oneEvent+platform.VersionLine(2)) + lastChunk}, want: streamHead + eventChunk(oneEvent)},
		{name: "cut in the head", ending: stand.CloseConn, parts: []string{head + chunked}},
		{name: "chunks of an HTTP/1.0 answer", ending: stand.CloseConn, parts: []string{"HTTP/1.0 200 OK\r\n" + signed + chunked + "\r\n" + eventChunk(oneEvent)}},
		{name: "no ID", parts: []string{okLine + chunked + "\r\n" + eventChunk(oneEvent) + lastChunk}},
		{name: "an error", parts: []string{"HTTP/1.1 422 Unprocessable Entity\r\n" + ownID + length + body}, want: "HTTP/1.1 422 Unprocessable Entity\r\n" + kind + length + ownID + body},
		{name: "an error that is cut", ending: stand.CloseConn, parts: []string{"HTTP/1.1 422 Unprocessable Entity\r\n" + ownID + "Content-Length: 5\r\n" + body}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScripted(t, stand.ScriptedAnswer{Parts: c.parts, Ending: c.ending})
			if c.want == "" {
				s.requireFailed(t, http.MethodPost, "/unresumable/odd")
				s.requireWhole(t)
				return
			}
			_, raw, err := s.request(t, http.MethodPost, "/unresumable/odd")
			require.Equal(t, c.want, raw)
			if err == nil {
				s.requireWhole(t)
				return
			}
			_, err = s.reader.ReadByte()
			require.ErrorIs(t, err, io.EOF, "the connection must be closed")
		})
	}
}

// TestCutResumedHead guards against a resumed stream in which a head stands that broke off, or
// that ends there as if it were whole.
func TestCutResumedHead(t *testing.T) {
	const begun = head + chunked + "\r\n"
	second := "id: 2\ndata: y\n\n"
	for ending, how := range map[string]stand.Ending{"closed": stand.CloseConn, "reset": stand.ResetConn} {
		// Each cut has a node of its own, since retries are limited in number.
		for cut := 0; cut <= len(begun); cut += 7 {
			t.Run(fmt.Sprintf("%s after %q", ending, begun[:cut]), func(t *testing.T) {
				t.Parallel()
				s := newScripted(t, stand.ScriptedAnswer{})
				var attempts atomic.Int32
				s.replaceWorkerBy(t, func(req *fasthttp.Request) stand.ScriptedAnswer {
					attempt, resumed := attempts.Add(1), string(req.Header.Peek(platform.HeaderLastEventID)) == "1"
					switch {
					case attempt == 1:
						return stand.ScriptedAnswer{Parts: []string{begun + eventChunk(oneEvent)}, Ending: how}
					case attempt == 2 && resumed:
						return stand.ScriptedAnswer{Parts: []string{begun[:cut]}, Ending: how}
					case resumed:
						return stand.ScriptedAnswer{Parts: []string{begun + eventChunk(second) + lastChunk}}
					}
					return stand.ScriptedAnswer{Ending: how}
				})
				_, raw, err := s.request(t, http.MethodPost, "/stream/odd")
				require.NoError(t, err, raw)
				require.Equal(t, streamHead+eventChunk(oneEvent)+eventChunk(second)+lastChunk, raw)
			})
		}
	}
}

// TestSplicedHead guards against an answer to another request behind a head that broke off, which
// the client got as the answer to its own.
func TestSplicedHead(t *testing.T) {
	others := map[string]string{
		"another request's": foreignText,
		"one without an ID": okLine + platform.HeaderStamp + ": s\r\n" + length + body,
		// The request ran, so that it must not be sent again.
		"one that was not run": "HTTP/1.1 503 Service Unavailable\r\n" + platform.HeaderNotRun + ": 1\r\n" + length + body,
	}
	for name, other := range others {
		for _, path := range []string{"/once/odd", "/unresumable/odd"} {
			t.Run(name+", "+path, func(t *testing.T) {
				t.Parallel()
				s := newScripted(t, stand.ScriptedAnswer{})
				for cut := len(okLine); cut < len(head+length); cut++ {
					s.replaceWorker(t, stand.ScriptedAnswer{Parts: []string{(head + length)[:cut] + other}, Ending: stand.CloseConn})
					s.requireFailed(t, http.MethodPost, path)
				}
			})
		}
	}
}
