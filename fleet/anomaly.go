package fleet

import "quetzalpier/link"

// anomalyMessages are the messages of anomalies. Each has one of its own, since lines are
// limited by message.
var anomalyMessages = map[link.Anomaly]string{
	link.AnomalyForeign: "response to another request was skipped",
	link.AnomalyIdle:    "bytes came on an idle connection",
	link.AnomalyEarly:   "response began before its request was sent completely",
	link.AnomalyUnread:  "connection was given up with unread bytes",
	link.AnomalyCut:     "request was cut off while it was sent",
}

// logAnomaly counts and logs an anomaly of a connection to an upstream.
func (n *Node) logAnomaly(s link.Sighting) {
	n.Meter.Anomalies.WithLabelValues(string(s.Anomaly), string(s.Purpose)).Inc()
	n.Log.Warn().Str("kind", string(s.Anomaly)).Str("request", s.Request).Str("upstream", s.Upstream).Str("addr", s.Addr).Str("purpose", string(s.Purpose)).
		Int("sent", s.Sent).Int("unread", s.Unread).Msg(anomalyMessages[s.Anomaly])
}
