package client_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier/client"
	"quetzalpier/stand"
)

const plainText = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npaid"

// startServer starts a server that gives an answer to each call of a path, and an empty one to
// others.
func startServer(t *testing.T, path string, answer stand.ScriptedAnswer) *stand.Scripted {
	t.Helper()
	server, err := stand.NewScripted(func(req *fasthttp.Request) stand.ScriptedAnswer {
		if string(req.Header.RequestURI()) == path {
			return answer
		}
		return stand.ScriptedAnswer{Parts: []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}}
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

// get makes a call and closes its body after it has read up to limit bytes.
func get(caller *fasthttp.Client, method, url string, limit int64) (body string, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	if err := caller.DoTimeout(req, resp, 200*time.Millisecond); err != nil {
		return "", err
	}
	if resp.BodyStream() == nil {
		return string(resp.Body()), nil
	}
	text, err := io.ReadAll(io.LimitReader(resp.BodyStream(), limit))
	_ = resp.CloseBodyStream()
	return string(text), err
}

func TestCalls(t *testing.T) {
	const large = 1 << 20
	for _, c := range []struct {
		name, method string
		answer       stand.ScriptedAnswer
		stream       bool
		// limit is how much of a stream is read, or the largest body otherwise.
		limit int
		want  string
		// wantErr is the error of a call that fails.
		wantErr error
		// kept is set if the connection carries the next call.
		kept bool
	}{
		{name: "whole", answer: stand.ScriptedAnswer{Parts: []string{plainText}}, want: "paid", kept: true},
		{name: "to HEAD", method: fasthttp.MethodHead, answer: stand.ScriptedAnswer{Parts: []string{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"}}, kept: true},
		{name: "with more behind it", answer: stand.ScriptedAnswer{Parts: []string{plainText + "more"}}, want: "paid"},
		{name: "that closes", answer: stand.ScriptedAnswer{Parts: []string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\npaid"}}, want: "paid"},
		{name: "without a length", answer: stand.ScriptedAnswer{Parts: []string{"HTTP/1.1 200 OK\r\n\r\npaid"}, Ending: stand.CloseConn}, want: "paid"},
		{name: "as large as allowed", limit: 4, answer: stand.ScriptedAnswer{Parts: []string{plainText}}, want: "paid", kept: true},
		{name: "larger than allowed", limit: 3, answer: stand.ScriptedAnswer{Parts: []string{plainText}}, wantErr: fasthttp.ErrBodyTooLarge},
		{name: "larger than allowed, in chunks", limit: 3, answer: stand.ScriptedAnswer{Parts: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npaid\r\n0\r\n\r\n"}}, wantErr: fasthttp.ErrBodyTooLarge},
		{name: "larger than a first read", answer: stand.ScriptedAnswer{Parts: []string{"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + strings.Repeat("x", large)}}, want: strings.Repeat("x", large), kept: true},
		{name: "that stalls in the header", answer: stand.ScriptedAnswer{Parts: []string{"HTTP/1.1 200 OK\r\n"}, Ending: stand.StallConn}, wantErr: fasthttp.ErrTimeout},
		{name: "that stalls in the body", answer: stand.ScriptedAnswer{Parts: []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npaid"}, Ending: stand.StallConn}, wantErr: fasthttp.ErrTimeout},
		{name: "that never comes", answer: stand.ScriptedAnswer{Ending: stand.CloseConn}, wantErr: fasthttp.ErrConnectionClosed},
		{name: "streamed", stream: true, limit: 9, answer: stand.ScriptedAnswer{Parts: []string{plainText}}, want: "paid", kept: true},
		{name: "streamed and not read to its end", stream: true, limit: 2, answer: stand.ScriptedAnswer{Parts: []string{plainText}}, want: "pa"},
		{name: "streamed and cut", stream: true, limit: 9, answer: stand.ScriptedAnswer{Parts: []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npaid"}, Ending: stand.CloseConn}, want: "paid", wantErr: io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if c.method == "" {
				c.method = fasthttp.MethodGet
			}
			server := startServer(t, "/odd", c.answer)
			caller := client.NewSingleAttempt()
			caller.StreamResponseBody = c.stream
			if !c.stream {
				caller.MaxResponseBodySize = c.limit
			}
			body, err := get(caller, c.method, "http://"+server.Addr+"/odd", int64(c.limit))
			require.Equal(t, c.wantErr, err)
			require.Equal(t, c.want, body)
			_, err = get(caller, fasthttp.MethodGet, "http://"+server.Addr+"/", large)
			require.NoError(t, err)
			require.Equal(t, c.kept, server.Conns.Load() == 1)
			caller.CloseIdleConnections()
		})
	}
}
