package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"quetzalpier"
	"quetzalpier/link"
	"quetzalpier/stand"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// connHandler handles one connection of a faulty upstream. It reports whether the
// request has run.
type connHandler func(conn net.Conn) bool

// upstream is a test server that passes each connection to a connHandler and
// counts the connections and the requests that ran.
type upstream struct {
	listener net.Listener
	runs     atomic.Int32
	conns    atomic.Int32
	workers  conc.WaitGroup
}

func startUpstream(t *testing.T, handle connHandler) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &upstream{listener: listener}
	u.workers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			u.workers.Go(func() {
				defer func() { _ = conn.Close() }()
				if handle(conn) {
					u.runs.Add(1)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		u.workers.Wait()
	})
	return u
}

func (u *upstream) addr() string { return u.listener.Addr().String() }

func readRequest(conn net.Conn) bool {
	var req fasthttp.Request
	return req.Read(bufio.NewReader(conn)) == nil
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// stall sends nothing on the connection until the client closes it.
func stall(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

func newCall(addr string) link.Call {
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + addr + "/pay")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString("amount=1")
	return link.Call{Addr: addr, Request: req, Fresh: true, HeaderTimeout: 300 * time.Millisecond, ReadTimeout: 300 * time.Millisecond}
}

func attempt(ctx context.Context, links *link.Links, c link.Call) ([]byte, error) {
	response, err := links.Do(ctx, c)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Close() }()
	return io.ReadAll(response)
}

const fullResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npaid"

func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		handle connHandler
		ran    quetzalpier.Ran
		stage  link.Stage
		silent bool
	}{
		// The reset races with the first write, so the stage and Ran may be either.
		{"closed after connect", func(conn net.Conn) bool { reset(conn); return false }, "", "", false},
		{"closed after the first byte", func(conn net.Conn) bool {
			_, _ = conn.Read(make([]byte, 1))
			reset(conn)
			return false
		}, quetzalpier.RanUnknown, link.StageHeader, false},
		{"closed after the last byte", func(conn net.Conn) bool { return readRequest(conn) }, quetzalpier.RanUnknown, link.StageHeader, false},
		{"silent after the last byte", func(conn net.Conn) bool {
			ran := readRequest(conn)
			stall(conn)
			return ran
		}, quetzalpier.RanUnknown, link.StageHeader, true},
		{"closed in the response header", func(conn net.Conn) bool {
			ran := readRequest(conn)
			_, _ = io.WriteString(conn, fullResponse[:20])
			return ran
		}, quetzalpier.RanUnknown, link.StageHeader, false},
		{"closed in the response body", func(conn net.Conn) bool {
			ran := readRequest(conn)
			_, _ = io.WriteString(conn, fullResponse[:len(fullResponse)-2])
			return ran
		}, quetzalpier.RanUnknown, link.StageBody, false},
		{"silent in the response body", func(conn net.Conn) bool {
			ran := readRequest(conn)
			_, _ = io.WriteString(conn, fullResponse[:len(fullResponse)-2])
			stall(conn)
			return ran
		}, quetzalpier.RanUnknown, link.StageBody, true},
		{"closed in a chunk", func(conn net.Conn) bool {
			ran := readRequest(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npa")
			return ran
		}, quetzalpier.RanUnknown, link.StageBody, false},
		{"closed between chunks", func(conn net.Conn) bool {
			ran := readRequest(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npaid\r\n")
			return ran
		}, quetzalpier.RanUnknown, link.StageBody, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, c.handle)
			links := link.New()
			_, err := attempt(t.Context(), links, newCall(u.addr()))
			linkErr := requireLinkError(t, err)
			if c.ran != "" {
				require.Equal(t, c.ran, linkErr.Ran())
			}
			require.Equal(t, c.silent, linkErr.Silent, linkErr.Error())
			if c.stage != "" {
				require.Equal(t, c.stage, linkErr.Stage)
			}
			if u.runs.Load() > 0 {
				require.NotEqual(t, quetzalpier.RanNo, linkErr.Ran())
				require.Equal(t, quetzalpier.RanNo, link.RanNaive(linkErr), "the naive baseline reports a request that ran as not run")
			}
		})
	}
	t.Run("refused: not run", func(t *testing.T) {
		u := startUpstream(t, func(net.Conn) bool { return false })
		_ = u.listener.Close()
		_, err := attempt(t.Context(), link.New(), newCall(u.addr()))
		linkErr := requireLinkError(t, err)
		require.Equal(t, quetzalpier.RanNo, linkErr.Ran())
		require.Equal(t, link.StageConnect, linkErr.Stage)
	})
}

func requireLinkError(t *testing.T, err error) *link.Error {
	t.Helper()
	var linkErr *link.Error
	require.True(t, errors.As(err, &linkErr), "got %v", err)
	return linkErr
}

func TestConnections(t *testing.T) {
	respondAll := func(conn net.Conn) bool {
		reader := bufio.NewReader(conn)
		ran := false
		for {
			var req fasthttp.Request
			if req.Read(reader) != nil {
				return ran
			}
			ran = true
			_, _ = io.WriteString(conn, fullResponse)
		}
	}
	t.Run("an idle connection is reused, unless a new one is required", func(t *testing.T) {
		u := startUpstream(t, respondAll)
		links := link.New()
		defer links.Close()
		c := newCall(u.addr())
		for range 3 {
			c.Fresh = false
			body, err := attempt(t.Context(), links, c)
			require.NoError(t, err)
			require.Equal(t, "paid", string(body))
		}
		require.Equal(t, int32(1), u.conns.Load())
		c.Fresh = true
		_, err := attempt(t.Context(), links, c)
		require.NoError(t, err)
		require.Equal(t, int32(2), u.conns.Load())
	})
	t.Run("a silent connection closes the idle ones", func(t *testing.T) {
		var silent atomic.Bool
		u := startUpstream(t, func(conn net.Conn) bool {
			reader := bufio.NewReader(conn)
			for {
				var req fasthttp.Request
				if req.Read(reader) != nil {
					return false
				}
				if silent.Load() {
					stall(conn)
					return false
				}
				_, _ = io.WriteString(conn, fullResponse)
			}
		})
		links := link.New()
		defer links.Close()
		c := newCall(u.addr())
		var workers conc.WaitGroup
		for range 2 {
			workers.Go(func() { _, _ = attempt(t.Context(), links, newCall(u.addr())) })
		}
		workers.Wait()
		silent.Store(true)
		c.Fresh = false
		_, err := attempt(t.Context(), links, c)
		require.True(t, requireLinkError(t, err).Silent)
		silent.Store(false)
		before := u.conns.Load()
		_, err = attempt(t.Context(), links, c)
		require.NoError(t, err)
		require.Equal(t, before+1, u.conns.Load())
	})
	t.Run("canceling the context ends an attempt at once", func(t *testing.T) {
		u := startUpstream(t, func(conn net.Conn) bool { stall(conn); return false })
		ctx, cancel := context.WithCancel(t.Context())
		c := newCall(u.addr())
		c.HeaderTimeout = time.Hour
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := attempt(ctx, link.New(), c)
		linkErr := requireLinkError(t, err)
		require.True(t, linkErr.Canceled)
	})
}

func TestCanceledRequest(t *testing.T) {
	t.Run("a request that is canceled while connecting is not sent", func(t *testing.T) {
		u := startUpstream(t, readRequest)
		for range 200 {
			ctx, cancel := context.WithCancel(t.Context())
			links := link.New()
			links.OnDial = func(link.Purpose, link.Cause) { cancel() }
			_, err := attempt(ctx, links, newCall(u.addr()))
			require.True(t, requireLinkError(t, err).Canceled)
		}
		_ = u.listener.Close()
		u.workers.Wait()
		require.Zero(t, u.runs.Load())
	})
	t.Run("a canceled request resets its connection", func(t *testing.T) {
		closed := make(chan error, 1)
		u := startUpstream(t, func(conn net.Conn) bool {
			ran := readRequest(conn)
			_, err := conn.Read(make([]byte, 1))
			closed <- err
			return ran
		})
		ctx, cancel := context.WithCancel(t.Context())
		c := newCall(u.addr())
		c.HeaderTimeout = time.Hour
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := attempt(ctx, link.New(), c)
		require.True(t, requireLinkError(t, err).Canceled)
		require.ErrorIs(t, <-closed, syscall.ECONNRESET)
	})
}

func TestIdleTime(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": 5 * time.Second, "max=5": 5 * time.Second, "timeout=x": 5 * time.Second,
		"timeout=2": 1500 * time.Millisecond, "max=9, timeout=15": 14500 * time.Millisecond, "timeout=3600": time.Minute,
	} {
		require.Equal(t, want, link.IdleTime(header), "%q", header)
	}
}

// TestEndlessHeader guards against upstreams whose header never ends.
func TestEndlessHeader(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for name, send := range map[string]func(conn net.Conn) error{
		"byte by byte": func(conn net.Conn) error {
			time.Sleep(timeout / 6)
			_, err := io.WriteString(conn, "x")
			return err
		},
		"as fast as it can": func(conn net.Conn) error {
			_, err := conn.Write(make([]byte, 32<<10))
			return err
		},
		"headers": func(conn net.Conn) error {
			time.Sleep(timeout / 6)
			_, err := io.WriteString(conn, "A: b\r\n")
			return err
		},
		"interim responses": func(conn net.Conn) error {
			time.Sleep(timeout / 6)
			_, err := io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(conn net.Conn) bool {
				ran := readRequest(conn)
				if name != "interim responses" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
				}
				for send(conn) == nil {
					continue
				}
				return ran
			})
			start := time.Now()
			_, err := attempt(t.Context(), link.New(), newCall(u.addr()))
			require.Equal(t, link.StageHeader, requireLinkError(t, err).Stage)
			require.Less(t, time.Since(start), 3*timeout)
		})
	}
}

// A connection to the other side of a partition hangs. The caller's deadline ends the wait.
func TestDialOutlivesDeadline(t *testing.T) {
	port, err := stand.OpenPort()
	require.NoError(t, err)
	defer port.Close()
	require.NoError(t, port.Hang())
	links := link.New()
	defer links.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err = attempt(ctx, links, newCall(port.Addr))
	var linkErr *link.Error
	require.ErrorAs(t, err, &linkErr)
	require.Equal(t, link.StageConnect, linkErr.Stage)
	require.Equal(t, quetzalpier.RanNo, linkErr.Ran())
	require.Less(t, time.Since(start), 400*time.Millisecond)
}
