package client

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Quiet reports whether an idle connection is still open and has no unread bytes, which
// would be taken for the response to the next request.
func Quiet(conn net.Conn) bool {
	if q, ok := conn.(interface{ Quiet() bool }); ok {
		return q.Quiet()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = peekErr == unix.EAGAIN
	})
	return err == nil && empty
}
