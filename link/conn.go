// Package link sends single attempts of requests to upstreams over pooled
// connections. It never retries, records how many request bytes were sent, and
// detects a silent connection by a deadline that is extended on each read.
package link

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"quetzalpier/client"
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
	probeDelay      = 20 * time.Millisecond
)

// conn is a connection that counts the bytes written to it and sets a new
// deadline before each read and write.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	writer      *bufio.Writer
	sent        int
	readTimeout time.Duration
	releasedAt  time.Time
	// idleTimeout is how long the connection may be idle and still be reused.
	idleTimeout time.Duration
	// silent is set once a read or write timed out. It is recorded here because
	// the HTTP library does not return the original error.
	silent bool
}

func dial(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	inner, err := client.DialContext(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	c.writer = bufio.NewWriter(c)
	return c, nil
}

// abort resets the connection, so that bytes of the request that have not reached the
// upstream's VM, for example in a partition, are not delivered later.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.recordTimeout(err)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.sent += n
	c.recordTimeout(err)
	return n, err
}

func (c *conn) recordTimeout(err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.silent = true
	}
}
