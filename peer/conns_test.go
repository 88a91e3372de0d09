package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/wire"
)

// silentPeer accepts one connection, reads it and never responds.
func silentPeer(t *testing.T) (addr string, accepted chan *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted = make(chan *net.TCPConn, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		accepted <- conn.(*net.TCPConn)
		_, _ = io.Copy(io.Discard, conn)
	}()
	return listener.Addr().String(), accepted
}

// Load pattern: many connections are reset at once, and the session's closing is
// held up by a write that has not returned.
func TestResetSession(t *testing.T) {
	var hold atomic.Bool
	release := make(chan struct{})
	holdWrites := func(_, sent int) {
		if sent > 0 && hold.Load() {
			<-release
		}
	}
	c, err := listen("127.0.0.1:0", nil, nil, holdWrites)
	require.NoError(t, err)
	defer c.close()
	defer close(release)
	addr, accepted := silentPeer(t)
	results := make(chan error, 2)
	call := func() {
		_, err := c.call(context.Background(), addr, control, &wire.Call{})
		results <- err
	}
	go call()
	conn := <-accepted
	require.Eventually(t, func() bool { return c.activeCalls() == 1 }, time.Second, time.Millisecond)
	hold.Store(true)
	go call()
	require.Eventually(t, func() bool { return c.activeCalls() == 2 }, time.Second, time.Millisecond)
	require.NoError(t, conn.SetLinger(0))
	require.NoError(t, conn.Close())
	for range 2 {
		select {
		case err := <-results:
			require.Error(t, err)
		case <-time.After(time.Second):
			require.Fail(t, "a call still uses a session whose socket was reset")
		}
	}
}

// Load pattern: some calls wait long for their answer, while others have short
// deadlines.
func TestTimedOutCall(t *testing.T) {
	answer := make(chan struct{})
	server, err := listen("127.0.0.1:0", func(_ context.Context, call *wire.Call) *wire.Reply {
		if call.GetHold() != nil {
			<-answer
		}
		return &wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{}}}
	}, nil, nil)
	require.NoError(t, err)
	defer server.close()
	c, err := listen("127.0.0.1:0", nil, nil, nil)
	require.NoError(t, err)
	defer c.close()
	addr := server.listener.Addr().String()
	hold := &wire.Call{Kind: &wire.Call_Hold{Hold: &wire.Hold{}}}
	waiting := make(chan error, 1)
	go func() {
		_, err := c.call(context.Background(), addr, control, hold)
		waiting <- err
	}()
	require.Eventually(t, func() bool { return c.activeCalls() == 1 }, time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = c.call(ctx, addr, control, hold)
	require.Error(t, err)
	_, err = c.call(context.Background(), addr, control, &wire.Call{})
	require.NoError(t, err, "the next call opens a new session")
	close(answer)
	require.NoError(t, <-waiting, "the other call of the old session gets its answer")
}

func (c *conns) activeCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := 0
	for _, s := range c.sessions {
		active += s.activeCalls
	}
	return active
}

// proxyTo forwards connections to addr. Those that are open when silent is set stay open
// and forward nothing more.
func proxyTo(t *testing.T, addr string) (proxy string, silence func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var generation atomic.Int32
	forward := func(to, from net.Conn, mine int32) {
		buffer := make([]byte, 4<<10)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			if generation.Load() == mine {
				_, _ = to.Write(buffer[:n])
			}
		}
	}
	var mu sync.Mutex
	var open []net.Conn
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", addr)
			if err != nil {
				_ = in.Close()
				continue
			}
			mu.Lock()
			open = append(open, in, out)
			mu.Unlock()
			go forward(out, in, generation.Load())
			go forward(in, out, generation.Load())
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range open {
			_ = conn.Close()
		}
	})
	return listener.Addr().String(), func() { generation.Add(1) }
}

// Load pattern: a connection between two nodes stays open and says nothing any more. The
// calls that wait on it fail at their own deadlines, and the next ones use a new one.
func TestSilentSession(t *testing.T) {
	server, err := listen("127.0.0.1:0", func(context.Context, *wire.Call) *wire.Reply {
		return &wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{}}}
	}, nil, nil)
	require.NoError(t, err)
	defer server.close()
	proxy, silence := proxyTo(t, server.listener.Addr().String())
	c, err := listen("127.0.0.1:0", nil, nil, nil)
	require.NoError(t, err)
	defer c.close()
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := c.call(ctx, proxy, control, &wire.Call{})
		return err
	}
	require.NoError(t, call(time.Second))
	silence()
	start := time.Now()
	require.Error(t, call(100*time.Millisecond))
	require.Less(t, time.Since(start), time.Second, "a call waits no longer than its deadline")
	require.NoError(t, call(time.Second), "the next call opens a new session")
}
