package link

// Purpose is the kind of call for which a connection is opened.
type Purpose string

// The purposes of calls.
const (
	PurposeRequest Purpose = "request"
	PurposeStream  Purpose = "stream"
	PurposeRun     Purpose = "run"
	PurposeReward  Purpose = "reward"
	PurposeProbe   Purpose = "probe"
)

// Cause is why a new connection is opened.
type Cause string

// The causes of new connections.
const (
	// CauseFirst is the first connection to the upstream.
	CauseFirst Cause = "first"
	// CauseMore is a connection in addition to those in use.
	CauseMore Cause = "more"
	// CauseIdle replaces a connection that was idle for too long.
	CauseIdle Cause = "idle"
	// CauseClosed replaces a connection that the upstream closed.
	CauseClosed Cause = "closed"
	// CauseFresh is required by the call, for instance for a repeated attempt.
	CauseFresh Cause = "fresh"
	// CauseRepeat is a call whose ID all idle connections have carried.
	CauseRepeat Cause = "repeat"
)
