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
	_, known, err := peek(conn)
	return !known || err == unix.EAGAIN
}

// Closed reports whether the other end has closed or reset a connection, and all bytes from
// it have been read.
func Closed(conn net.Conn) bool {
	n, known, err := peek(conn)
	return known && n <= 0 && err != unix.EAGAIN
}

// peek peeks at the next byte of a connection without waiting. It returns false if the
// connection is no socket.
func peek(conn net.Conn) (n int, known bool, err error) {
	known, socketErr := control(conn, func(fd int) {
		var b [1]byte
		n, _, err = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if socketErr != nil {
		return 0, known, socketErr
	}
	return n, known, err
}

// Unacknowledged returns how many bytes that were written to a connection have not reached
// the other end; zero if that is not known.
func Unacknowledged(conn net.Conn) int {
	pending := 0
	_, _ = control(conn, func(fd int) { pending, _ = unix.IoctlGetInt(fd, unix.TIOCOUTQ) })
	return pending
}

// control calls f with the socket of a connection. It returns false if the connection is no
// socket.
func control(conn net.Conn, f func(fd int)) (known bool, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := socket.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
	return true, err
}
