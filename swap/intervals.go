package swap

import (
	"time"

	"quetzalpier"
)

const (
	// DefaultInterval is the assumed time between two versions of a model, until its
	// trainer has published two.
	DefaultInterval = 4 * time.Second
	// maxIntervals is the number of intervals that count for the mean.
	maxIntervals = 4
)

// Intervals measures the time between two versions of each model, as the mean of the last
// few: a trainer that was late publishes two versions within a second, after a long pause.
//
// Load pattern: steps are late after a fault, and each trainer catches up with two steps
// at once. If the shortest interval counted, or one model's for all, every model would
// keep the fewest engines just then, and the next steps would be late as well.
type Intervals struct {
	models map[string]*published
}

// published holds the times of the last versions of a model, oldest first.
type published struct {
	version quetzalpier.Version
	times   []time.Time
}

// Observe records the newest version of a model.
func (i *Intervals) Observe(model string, version quetzalpier.Version, now time.Time) {
	if i.models == nil {
		i.models = map[string]*published{}
	}
	last := i.models[model]
	switch {
	case last == nil || version > last.version+1:
		// The versions in between were published at unknown times.
		i.models[model] = &published{version, []time.Time{now}}
	case version == last.version+1:
		last.version = version
		last.times = append(last.times, now)
		last.times = last.times[max(0, len(last.times)-maxIntervals-1):]
	}
}

// Mean returns the mean interval of a model.
func (i *Intervals) Mean(model string) time.Duration {
	last := i.models[model]
	if last == nil || len(last.times) < 2 {
		return DefaultInterval
	}
	count := len(last.times) - 1
	return max(time.Millisecond, last.times[count].Sub(last.times[0])/time.Duration(count))
}
