// Package client makes connections and HTTP clients that make one attempt of
// each request: the library's own retries would break "at most once" and "not
// run".
package client

import (
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	// keepIdle, keepInterval and keepCount find a connection whose other end
	// went silent within three seconds.
	keepIdle     = 1 * time.Second
	keepInterval = 1 * time.Second
	keepCount    = 2
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout = 2500 * time.Millisecond
)

// Single returns a client that never repeats a request.
func Single() *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
	}
}

// Dial opens a TCP connection that notices when its other end is gone.
func Dial(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepIdle,
			Interval: keepInterval,
			Count:    keepCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var fault error
			err := raw.Control(func(fd uintptr) {
				fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return fault
		},
	}
	return dialer.Dial("tcp", addr)
}
