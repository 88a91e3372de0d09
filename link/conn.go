// Package link sends single attempts of requests to upstreams over pooled
// connections. It never retries, records how many request bytes were sent, and
// detects a silent connection by a deadline that is extended on each read.
package link

import (
	"bufio"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/client"
	"quetzalpier/hash"
)

const (
	dialTimeout  = 1 * time.Second
	writeTimeout = 5 * time.Second
	// defaultIdleTime is how long a connection may be idle and still be reused if the
	// upstream states no timeout, and maxIdleTime if it does.
	defaultIdleTime = 5 * time.Second
	maxIdleTime     = time.Minute
	keepAliveMargin = 500 * time.Millisecond
	maxIdleConns    = 64
	readBufferSize  = 16 << 10
	// pieceBytes is the size of the pieces of a request between which bytes of a response are
	// looked for.
	pieceBytes = 256 << 10
	probeDelay = 20 * time.Millisecond
	// maxCarried is how many of the latest calls on a connection are remembered. A second copy
	// of an answer comes in place of the next one or of one soon after it.
	maxCarried = 32
)

// conn is a connection that counts the bytes written to it and sets a new
// deadline before each read and write.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// last describes the latest call on the connection, of which sent bytes were written.
	last Sighting
	sent int
	// carried are the hashes of the IDs of the latest calls, the oldest first.
	carried []uint64
	// early is set once bytes of a response came while the request was being written.
	early       bool
	readTimeout time.Duration
	releasedAt  time.Time
	// idleTimeout is how long the connection may be idle and still be reused.
	idleTimeout time.Duration
	// silent is set once a read or write timed out, and tunnelBroke once the node through
	// which the connection leads broke it off.
	silent      bool
	tunnelBroke bool
	// failed is the error of the last read or write that failed.
	failed error
	// watch ends the call if the path of the connection is lost.
	watch *watch
	// heard is when the upstream was last heard on any connection of the node's own; nil if
	// this is none.
	heard *atomic.Int64
}

func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	c.writer = bufio.NewWriter(c)
	c.watch = newWatch()
	return c
}

// carry records the ID of a call that the connection is to carry.
func (c *conn) carry(id string) {
	if id == "" {
		return
	}
	if len(c.carried) == maxCarried {
		c.carried = append(c.carried[:0], c.carried[1:]...)
	}
	c.carried = append(c.carried, hash.Text(id))
}

// hasCarried reports whether the connection has carried a call with the same ID lately. A second
// copy of its answer could then be taken for the answer to a new call.
func (c *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.carried, hash.Text(id))
}

// abort resets the connection, so that bytes of the request that have not reached the
// upstream's VM, for example in a partition, are not delivered later.
func (c *conn) abort() {
	if resetter, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = resetter.SetLinger(0)
	}
	_ = c.Close()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	c.watch.begin()
	n, err := c.Conn.Read(b)
	c.watch.end()
	if n > 0 && c.heard != nil {
		c.heard.Store(time.Now().UnixNano())
	}
	c.recordFailure(err)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(len(b), written+pieceBytes)])
		written += n
		c.sent += n
		c.recordFailure(err)
		if err != nil || written == len(b) {
			return written, err
		}
		c.early = c.early || !c.tunneled() && !client.Quiet(c.Conn)
	}
}

// recordFailure records why a read or write failed. That is recorded here because the
// HTTP library does not return the original error.
func (c *conn) recordFailure(err error) {
	var timeout net.Error
	var tunnel *quetzalpier.TunnelError
	if err != nil {
		c.failed = err
	}
	switch {
	// Its cause may be a timeout, by which the session ends its streams.
	case errors.As(err, &tunnel):
		c.tunnelBroke = true
	case errors.As(err, &timeout) && timeout.Timeout():
		c.silent = true
	}
}
