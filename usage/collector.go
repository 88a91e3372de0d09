package usage

import (
	"time"

	"quetzalpier/wire"
)

// collectLife is how long the holder keeps a run: longer than its window is due, and than a
// front keeps it and may send it again.
const collectLife = 40 * time.Second

// Collector holds the runs that the fronts have sent, each once. Its methods must not be
// called concurrently.
type Collector struct {
	Clock *Clock

	processes map[process]map[uint64]*collected
	// names holds one copy of each customer's name.
	names map[string]string
	// countedFrom and countedTo bound the windows that were counted here, in true time, and
	// correction is that of the last count. The median of 390 clocks for each message would
	// take ten times as long as the rest.
	countedFrom, countedTo time.Time
	correction             time.Duration
}

type process struct {
	node   string
	number uint64
}

type collected struct {
	customer string
	at       time.Time
	// counted reports whether the run was counted in window.
	counted bool
	window  int64
}

// NewCollector returns an empty Collector.
func NewCollector(now time.Time) *Collector {
	return &Collector{Clock: NewClock(now), processes: map[process]map[uint64]*collected{}, names: map[string]string{}}
}

// Receive adds the runs of a message that arrived at now. It returns the sequence number of
// the first run from message's first on that it does not have, and how many new runs belong to
// windows that were counted before.
//
// Load pattern: all fronts send their runs of the last 20 s again to a new holder, and the
// messages of a holder that was suspended arrive late and twice.
func (c *Collector) Receive(message *wire.Usage, now time.Time) (next uint64, late int) {
	c.Clock.Observe(message.GetNode(), time.UnixMilli(message.GetClock()), now)
	key := process{message.GetNode(), message.GetProcess()}
	runs := c.processes[key]
	if runs == nil {
		runs = map[uint64]*collected{}
		c.processes[key] = runs
	}
	for i, run := range message.GetRuns() {
		number, at := message.GetFirst()+uint64(i), now.Add(-wire.Millis(run.GetAge()))
		if known := runs[number]; known != nil {
			// Delays only make the time later.
			if at.Before(known.at) {
				known.at = at
			}
			continue
		}
		runs[number] = &collected{customer: c.name(run.GetCustomer()), at: at}
		if moment := c.Clock.uncorrected(at).Add(c.correction); !moment.Before(c.countedFrom) && moment.Before(c.countedTo) {
			late++
		}
	}
	next = message.GetFirst()
	for runs[next] != nil {
		next++
	}
	return next, late
}

func (c *Collector) name(customer string) string {
	if name, known := c.names[customer]; known {
		return name
	}
	c.names[customer] = customer
	return customer
}

// Count returns the runs of each customer in a window between two moments in true time,
// without those that were counted in other windows. It may be repeated for a window whose
// report was not stored.
func (c *Collector) Count(window int64, from, to time.Time) map[string]uint64 {
	if c.countedFrom.IsZero() {
		c.countedFrom = from
	}
	c.countedTo, c.correction = to, c.Clock.Correction()
	counts := map[string]uint64{}
	for _, runs := range c.processes {
		for _, run := range runs {
			moment := c.Clock.uncorrected(run.at).Add(c.correction)
			within := !moment.Before(from) && moment.Before(to)
			if run.counted && run.window == window || !run.counted && within {
				run.counted, run.window = true, window
				counts[run.customer]++
			}
		}
	}
	return counts
}

// Prune drops the runs that can't be counted any more.
func (c *Collector) Prune(now time.Time) {
	c.Clock.Prune(now)
	for key, runs := range c.processes {
		for number, run := range runs {
			if now.Sub(run.at) > collectLife {
				delete(runs, number)
			}
		}
		if len(runs) == 0 {
			delete(c.processes, key)
		}
	}
	if len(c.processes) == 0 {
		clear(c.names)
	}
}
