// Package client provides TCP connections, the reader of HTTP responses that all clients of
// the service share, and HTTP clients that send each request once. The HTTP library's own
// retries could run a request more than once, and would invalidate the report that a request
// did not run.
package client

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unresponsive
	// peer within three seconds.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 2
	// userTimeout bounds how long sent bytes may remain unacknowledged.
	userTimeout = 2500 * time.Millisecond
)

// NewSingleAttempt returns an HTTP client that never retries a request.
func NewSingleAttempt() *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		ConfigureClient:           Configure,
	}
}

// NewRepeating returns an HTTP client for calls that may be made again: it repeats those that
// fail on a connection that was idle.
func NewRepeating() *fasthttp.Client {
	return &fasthttp.Client{NoDefaultUserAgentHeader: true, ConfigureClient: Configure}
}

// Dial opens a TCP connection that fails when its peer becomes unresponsive.
func Dial(addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return DialContext(ctx, addr)
}

// DialContext is Dial that ctx bounds.
func DialContext(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
	return dialer.DialContext(ctx, "tcp", addr)
}
