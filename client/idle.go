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

// Closed reports whether the other end has closed or reset a connection, and all bytes from
// it have been read.
func Closed(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n <= 0 && peekErr != unix.EAGAIN && peekErr != unix.EINTR
	})
	return err != nil || closed
}

// Unacknowledged returns how many bytes that were written to a connection have not reached
// the other end; zero if that is not known.
func Unacknowledged(conn net.Conn) int {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	pending := 0
	err = raw.Control(func(fd uintptr) { pending, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	if err != nil {
		return 0
	}
	return pending
}
