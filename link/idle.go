package link

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// clean tells whether an idle connection is open and has nothing to read.
// Bytes that nobody asked for belong to no request.
func (c *conn) clean() bool {
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
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == unix.EAGAIN
	})
	return err == nil && quiet
}
