package link

import "quetzalpier/client"

// reusable reports whether an idle connection may carry another request.
func (c *conn) reusable() bool { return c.reader.Buffered() == 0 && client.Quiet(c.Conn) }
