package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"quetzalpier"
	"quetzalpier/link"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script is what a faulty upstream does with one connection. It returns
// whether the request has run.
type script func(conn net.Conn) bool

// upstream follows a script for each connection and counts its runs.
type upstream struct {
	listener net.Listener
	runs     atomic.Int32
	conns    atomic.Int32
	workers  conc.WaitGroup
}

func startUpstream(t *testing.T, do script) *upstream {
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
				if do(conn) {
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

// hold keeps a connection open without a word until the other end closes it.
func hold(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

func call(addr string) link.Call {
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + addr + "/pay")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString("amount=1")
	return link.Call{Addr: addr, Request: req, Fresh: true, First: 300 * time.Millisecond, Progress: 300 * time.Millisecond}
}

func attempt(ctx context.Context, links *link.Links, c link.Call) ([]byte, error) {
	answer, err := links.Do(ctx, c)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Close() }()
	return io.ReadAll(answer)
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npaid"

func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		do     script
		ran    quetzalpier.Ran
		stage  link.Stage
		silent bool
	}{
		// Whether a byte leaves before the reset is a race; both words are true.
		{"closed after connect", func(conn net.Conn) bool { reset(conn); return false }, "", "", false},
		{"closed after the first byte", func(conn net.Conn) bool {
			_, _ = conn.Read(make([]byte, 1))
			reset(conn)
			return false
		}, quetzalpier.RanUnknown, link.StageHeader, false},
		{"closed after the last byte", func(conn net.Conn) bool { return readRequest(conn) }, quetzalpier.RanUnknown, link.StageHeader, false},
		{"silent after the last byte", func(conn net.Conn) bool {
			ran := readRequest(conn)
			hold(conn)
			return ran
		}, quetzalpier.RanUnknown, link.StageHeader, true},
		{"closed in the answer's header", func(conn net.Conn) bool {
			ran := readRequest(conn)
			_, _ = io.WriteString(conn, whole[:20])
			return ran
		}, quetzalpier.RanUnknown, link.StageHeader, false},
		{"closed in the answer's body", func(conn net.Conn) bool {
			ran := readRequest(conn)
			_, _ = io.WriteString(conn, whole[:len(whole)-2])
			return ran
		}, quetzalpier.RanUnknown, link.StageBody, false},
		{"silent in the answer's body", func(conn net.Conn) bool {
			ran := readRequest(conn)
			_, _ = io.WriteString(conn, whole[:len(whole)-2])
			hold(conn)
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
			u := startUpstream(t, c.do)
			links := link.New()
			_, err := attempt(t.Context(), links, call(u.addr()))
			failed := requireFailed(t, err)
			if c.ran != "" {
				require.Equal(t, c.ran, failed.Ran())
			}
			require.Equal(t, c.silent, failed.Silent, failed.Error())
			if c.stage != "" {
				require.Equal(t, c.stage, failed.Stage)
			}
			if u.runs.Load() > 0 {
				require.NotEqual(t, quetzalpier.RanNo, failed.Ran())
				require.Equal(t, quetzalpier.RanNo, link.RanNaive(failed), "the naive version says that a request which ran did not")
			}
		})
	}
	t.Run("refused: not run", func(t *testing.T) {
		u := startUpstream(t, func(net.Conn) bool { return false })
		_ = u.listener.Close()
		_, err := attempt(t.Context(), link.New(), call(u.addr()))
		failed := requireFailed(t, err)
		require.Equal(t, quetzalpier.RanNo, failed.Ran())
		require.Equal(t, link.StageConnect, failed.Stage)
	})
}

func requireFailed(t *testing.T, err error) *link.Error {
	t.Helper()
	var failed *link.Error
	require.True(t, errors.As(err, &failed), "got %v", err)
	return failed
}

func TestConnections(t *testing.T) {
	answerAll := func(conn net.Conn) bool {
		reader := bufio.NewReader(conn)
		ran := false
		for {
			var req fasthttp.Request
			if req.Read(reader) != nil {
				return ran
			}
			ran = true
			_, _ = io.WriteString(conn, whole)
		}
	}
	t.Run("an idle connection is used again, a fresh one is not asked for twice", func(t *testing.T) {
		u := startUpstream(t, answerAll)
		links := link.New()
		defer links.Close()
		c := call(u.addr())
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
	t.Run("a silent connection condemns the idle ones", func(t *testing.T) {
		var silent atomic.Bool
		u := startUpstream(t, func(conn net.Conn) bool {
			reader := bufio.NewReader(conn)
			for {
				var req fasthttp.Request
				if req.Read(reader) != nil {
					return false
				}
				if silent.Load() {
					hold(conn)
					return false
				}
				_, _ = io.WriteString(conn, whole)
			}
		})
		links := link.New()
		defer links.Close()
		c := call(u.addr())
		var both conc.WaitGroup
		for range 2 {
			both.Go(func() { _, _ = attempt(t.Context(), links, call(u.addr())) })
		}
		both.Wait()
		silent.Store(true)
		c.Fresh = false
		_, err := attempt(t.Context(), links, c)
		require.True(t, requireFailed(t, err).Silent)
		silent.Store(false)
		before := u.conns.Load()
		_, err = attempt(t.Context(), links, c)
		require.NoError(t, err)
		require.Equal(t, before+1, u.conns.Load())
	})
	t.Run("canceling ends an attempt at once", func(t *testing.T) {
		u := startUpstream(t, func(conn net.Conn) bool { hold(conn); return false })
		ctx, cancel := context.WithCancel(t.Context())
		c := call(u.addr())
		c.First = time.Hour
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := attempt(ctx, link.New(), c)
		failed := requireFailed(t, err)
		require.True(t, failed.Canceled)
	})
}
