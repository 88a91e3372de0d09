package peer

import (
	"context"
	"io"
	"net"
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
	c, err := listen("127.0.0.1:0", nil, holdWrites)
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
	}, nil)
	require.NoError(t, err)
	defer server.close()
	c, err := listen("127.0.0.1:0", nil, nil)
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
