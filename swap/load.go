package swap

import "time"

const (
	// defaultLoadTime is the assumed time of a load until one has been measured.
	defaultLoadTime = time.Second
	// loadWeight is the weight of a new value in the moving average of load times.
	loadWeight = 0.2
	// firstPollShare is the share of the mean load time after which an engine is first
	// asked whether it has loaded.
	firstPollShare = 0.8
	// earlyShare is how long a load counts that had ended by the first poll, as a share of
	// the time until then: when it ended is not known.
	earlyShare = 0.9
)

// LoadTime measures how long loads take, which is only known as closely as engines are
// polled.
//
// Load pattern: versions follow each other every few seconds. If the polls start at the
// mean, no load seems shorter than that, the mean only rises, and engines wait for polls
// after they have loaded.
type LoadTime struct {
	mean time.Duration
}

// Mean returns the mean time of a load.
func (l LoadTime) Mean() time.Duration {
	if l.mean == 0 {
		return defaultLoadTime
	}
	return l.mean
}

// FirstPoll returns how long after its start a load is first asked for.
func (l LoadTime) FirstPoll() time.Duration {
	return time.Duration(firstPollShare * float64(l.Mean()))
}

// Observe records a load that had ended by the poll of the given number, the first being
// 1, which was answered after took.
func (l *LoadTime) Observe(took time.Duration, poll int) {
	if poll <= 1 {
		took = time.Duration(earlyShare * float64(took))
	}
	if l.mean == 0 {
		l.mean = took
		return
	}
	l.mean += time.Duration(loadWeight * float64(took-l.mean))
}
