package link

import (
	"net"

	"quetzalpier/client"
)

// tunneled reports whether the connection leads through another node.
func (c *conn) tunneled() bool {
	_, own := c.Conn.(*net.TCPConn)
	return !own
}

// reusable reports whether an idle connection may carry another request.
func (c *conn) reusable() bool { return c.reader.Buffered() == 0 && client.Quiet(c.Conn) }
