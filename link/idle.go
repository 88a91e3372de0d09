package link

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// reusable reports whether an idle connection is still open and has no unread
// bytes, which would be taken for the response to the next request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
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
