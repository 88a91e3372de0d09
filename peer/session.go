package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// muxSession is a yamux session whose streams end as soon as it is closed.
type muxSession struct {
	*yamux.Session
	conn *muxConn
}

// newMuxSession opens a session on conn; open is yamux.Client or yamux.Server.
func newMuxSession(conn net.Conn, open func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*muxSession, error) {
	wrapped := &muxConn{Conn: conn, streams: map[*yamux.Stream]struct{}{}}
	session, err := open(wrapped, muxConfig())
	if err != nil {
		return nil, err
	}
	return &muxSession{session, wrapped}, nil
}

// muxConn is the connection of a session. yamux closes it first when the session
// ends for any reason, and then waits for its own goroutines. Until these have
// ended, a read or write of a stream polls the closed session without a pause;
// an expired deadline ends it.
type muxConn struct {
	net.Conn

	mu      sync.Mutex
	streams map[*yamux.Stream]struct{}
	closed  bool
}

// add makes the stream end with the connection.
func (c *muxConn) add(stream *yamux.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[stream] = struct{}{}
	if c.closed {
		expire(stream)
	}
}

func (c *muxConn) remove(stream *yamux.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, stream)
}

// Close implements net.Conn.
func (c *muxConn) Close() error {
	c.mu.Lock()
	c.closed = true
	for stream := range c.streams {
		expire(stream)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *muxConn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed
}

// expire ends the reads and writes of a stream.
func expire(stream *yamux.Stream) { _ = stream.SetDeadline(time.Unix(1, 0)) }
