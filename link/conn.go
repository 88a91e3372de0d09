// Package link carries one attempt of a request to an upstream. It never
// retries, it knows whether a byte of the request may have left, and it finds
// a silent connection by a deadline that each read moves.
package link

import (
	"bufio"
	"net"
	"time"

	"github.com/pkg/errors"

	"quetzalpier/client"
)

const (
	dialTimeout   = 1 * time.Second
	writeTimeout  = 5 * time.Second
	idleLimit     = 5 * time.Second
	keepMargin    = 500 * time.Millisecond
	maxIdle       = 64
	readerBuffer  = 16 << 10
	probeInterval = 20 * time.Millisecond
)

// conn counts what is written and moves its read deadline with each read.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	sent   int
	limit  time.Duration
	used   time.Time
	// keep is how long the upstream keeps the connection idle.
	keep time.Duration
	// silent is set once a read or write made no progress in time. The HTTP
	// library does not pass the error on as it was.
	silent bool
}

func dial(addr string) (*conn, error) {
	inner, err := client.Dial(addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner}
	c.reader = bufio.NewReaderSize(c, readerBuffer)
	c.writer = bufio.NewWriter(c)
	return c, nil
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.note(err)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.sent += n
	c.note(err)
	return n, err
}

func (c *conn) note(err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.silent = true
	}
}
