package link_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/client"
	"quetzalpier/link"
)

// paths is a Dialer that opens the node's own connections and tells whether their paths
// are sound.
type paths struct {
	lost   atomic.Bool
	checks atomic.Int32
}

var _ quetzalpier.Dialer = (*paths)(nil)

// Dial implements quetzalpier.Dialer.
func (p *paths) Dial(ctx context.Context, _, addr string, _ bool) (net.Conn, error) {
	return client.DialContext(ctx, addr)
}

// Sound implements quetzalpier.Dialer.
func (p *paths) Sound(context.Context, string, string, net.Conn) bool {
	p.checks.Add(1)
	return !p.lost.Load()
}

// Refuses implements quetzalpier.Dialer.
func (p *paths) Refuses(context.Context, string, string) bool { return p.lost.Load() }

// TestLostPath breaks off calls whose connection brings nothing since its path is lost, and
// no others.
func TestLostPath(t *testing.T) {
	slow := func(conn net.Conn) bool {
		readRequest(conn)
		time.Sleep(600 * time.Millisecond)
		_, _ = io.WriteString(conn, fullResponse)
		return true
	}
	call := func(t *testing.T, p *paths, handle connHandler, repeatable bool) ([]byte, error) {
		t.Helper()
		links := link.New()
		links.Dialer = p
		defer links.Close()
		c := newCall(startUpstream(t, handle).addr())
		c.Upstream, c.Repeatable, c.HeaderTimeout, c.ReadTimeout = "u", repeatable, 2*time.Second, 2*time.Second
		return attempt(t.Context(), links, c)
	}
	requireLost := func(t *testing.T, err error, stage link.Stage) {
		t.Helper()
		var linkErr *link.Error
		require.True(t, errors.As(err, &linkErr), "%v", err)
		require.True(t, linkErr.PathLost)
		require.Equal(t, stage, linkErr.Stage)
		require.Equal(t, quetzalpier.RanUnknown, linkErr.Ran())
	}
	lost := func() *paths {
		p := &paths{}
		p.lost.Store(true)
		return p
	}
	t.Run("a call that may be repeated and waits for its answer is broken off", func(t *testing.T) {
		start := time.Now()
		_, err := call(t, lost(), slow, true)
		requireLost(t, err, link.StageHeader)
		require.Less(t, time.Since(start), 400*time.Millisecond)
	})
	t.Run("also within its answer", func(t *testing.T) {
		_, err := call(t, lost(), func(conn net.Conn) bool {
			readRequest(conn)
			_, _ = io.WriteString(conn, fullResponse[:len(fullResponse)-2])
			stall(conn)
			return true
		}, true)
		requireLost(t, err, link.StageBody)
	})
	t.Run("a call that must not be repeated waits", func(t *testing.T) {
		p := lost()
		body, err := call(t, p, slow, false)
		require.NoError(t, err)
		require.Equal(t, "paid", string(body))
		require.Zero(t, p.checks.Load())
	})
	t.Run("a call on a sound path waits, and is checked seldom", func(t *testing.T) {
		p := &paths{}
		body, err := call(t, p, slow, true)
		require.NoError(t, err)
		require.Equal(t, "paid", string(body))
		require.Equal(t, int32(1), p.checks.Load())
	})
	t.Run("an answer that keeps coming is not checked", func(t *testing.T) {
		p := lost()
		body, err := call(t, p, func(conn net.Conn) bool {
			readRequest(conn)
			for _, b := range []byte(fullResponse) {
				time.Sleep(10 * time.Millisecond)
				_, _ = conn.Write([]byte{b})
			}
			return true
		}, true)
		require.NoError(t, err)
		require.Equal(t, "paid", string(body))
		require.Zero(t, p.checks.Load())
	})
}
