// Package tunnel opens connections to upstreams through other nodes, for a node that is
// partitioned from upstreams which others reach. The bytes are passed on unchanged; the
// node that opens the connection decides on the requests.
package tunnel

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/peer"
	"quetzalpier/wire"
)

// Conn is a connection to an upstream through another node.
type Conn struct {
	stream *peer.Stream
	// helper is the ID of the other node.
	helper string
	remote net.Addr
	// trusted reports whether the other node may still be used.
	trusted func() bool
	// unread holds the received bytes that have not been read, and end what Read returns
	// after them; nil while the connection is open.
	unread  []byte
	end     error
	aborted atomic.Bool
	closed  atomic.Bool
}

var _ net.Conn = (*Conn)(nil)

// Read implements net.Conn. It returns io.EOF only if the upstream closed the connection.
func (c *Conn) Read(b []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.end != nil {
			return 0, c.end
		}
		piece := &wire.Piece{}
		if err := c.stream.Receive(piece); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return 0, c.failure(err)
		}
		c.unread = piece.GetData()
		switch piece.GetEnd() {
		case wire.Piece_CLOSED:
			c.end = io.EOF
		case wire.Piece_RESET:
			c.end = syscall.ECONNRESET
		}
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.stream.Send(&wire.Piece{Data: b}); err != nil {
		return 0, c.failure(err)
	}
	return len(b), nil
}

// failure returns the error of a stream that failed. A timeout is returned unchanged, unless
// it comes from the end of the session.
func (c *Conn) failure(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && c.stream.Open() {
		return err
	}
	return &quetzalpier.TunnelError{Helper: c.helper, Err: err}
}

// SetLinger makes Close reset the connection to the upstream if sec is zero, as that of
// net.TCPConn does.
func (c *Conn) SetLinger(sec int) error {
	c.aborted.Store(sec == 0)
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	if !c.aborted.Load() {
		// The other node resets the connection if this does not arrive.
		_ = c.stream.Send(&wire.Piece{End: wire.Piece_CLOSED})
	}
	c.stream.Close()
	return nil
}

// Quiet reports whether the connection may carry a further request: it is open, has no
// unread bytes, and the other node has not failed since it was opened.
func (c *Conn) Quiet() bool {
	return len(c.unread) == 0 && c.end == nil && c.trusted() && c.stream.Quiet()
}

// Helper returns the ID of the node through which the connection leads.
func (c *Conn) Helper() string { return c.helper }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.stream.SetReadDeadline(t)
	c.stream.SetWriteDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.stream.SetReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.stream.SetWriteDeadline(t)
	return nil
}
