package link

import "quetzalpier/client"

// Anomaly is a kind of exchange after which a connection may carry bytes of another request
// or response.
type Anomaly string

// The anomalies of connections.
const (
	// AnomalyForeign is a response to another request, which is skipped.
	AnomalyForeign Anomaly = "foreign"
	// AnomalyIdle is an idle connection on which bytes came; it is closed.
	AnomalyIdle Anomaly = "idle"
	// AnomalyEarly is a response that began before its request was sent completely.
	AnomalyEarly Anomaly = "early"
	// AnomalyUnread is a connection that is given up with bytes behind a complete response.
	AnomalyUnread Anomaly = "unread"
	// AnomalyCut is a request of which only a part was written.
	AnomalyCut Anomaly = "cut"
)

// minEarlyBytes is the size of the smallest requests that are checked for AnomalyEarly:
// smaller ones leave in one write.
const minEarlyBytes = 4096

// Sighting is an anomaly of a connection. Request is the ID of the latest request on it.
type Sighting struct {
	Anomaly  Anomaly
	Request  string
	Upstream string
	Addr     string
	Purpose  Purpose
	// Sent is the number of bytes of the request that were written, and Unread that of the
	// bytes that were buffered.
	Sent, Unread int
}

// report reports an anomaly of a connection.
func (l *Links) report(anomaly Anomaly, c *conn) {
	if l.OnAnomaly == nil {
		return
	}
	sighting := c.last
	sighting.Anomaly, sighting.Sent, sighting.Unread = anomaly, c.sent, c.reader.Buffered()
	l.OnAnomaly(sighting)
}

// hasUnread reports whether bytes came on an idle connection.
func (c *conn) hasUnread() bool {
	return c.reader.Buffered() > 0 || !c.tunneled() && !client.Quiet(c.Conn) && !client.Closed(c.Conn)
}

// answeredEarly reports whether bytes of a response have come while some of the request have
// not reached the upstream's VM. It does not see a request that waits in the buffers there.
func (c *conn) answeredEarly() bool {
	return c.early || c.sent > minEarlyBytes && !client.Quiet(c.Conn) && client.Unacknowledged(c.Conn) > 0
}
