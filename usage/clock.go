// Package usage counts the runs of customers' requests at all nodes and reports them to the
// platform by windows of time.
package usage

import (
	"slices"
	"time"
)

const (
	// clockSamples is how many differences are kept of each clock, of which the greatest
	// counts: a delayed message makes a difference smaller, by seconds if the process of the
	// holder was suspended. A clock that was set back is noticed after as many messages.
	clockSamples = 8
	// clockLife is how long the differences of a silent node count.
	clockLife = time.Minute
)

// Clock estimates true time from the clocks of several nodes. It counts from a base by the
// monotonic clock, so that a jump of the own wall clock is one of many.
type Clock struct {
	base  time.Time
	nodes map[string]*differences
}

// differences are the last differences of a node's clock to the base.
type differences struct {
	last []time.Duration
	at   time.Time
}

// NewClock returns a Clock that counts from now.
func NewClock(now time.Time) *Clock { return &Clock{base: now, nodes: map[string]*differences{}} }

// Observe records the time of day of a node at now.
func (c *Clock) Observe(node string, wall, now time.Time) {
	d := c.nodes[node]
	if d == nil {
		d = &differences{}
		c.nodes[node] = d
	}
	if len(d.last) == clockSamples {
		d.last = d.last[1:]
	}
	d.last, d.at = append(d.last, wall.Round(0).Sub(c.uncorrected(now))), now
}

// uncorrected returns the time of day at now by the base alone.
func (c *Clock) uncorrected(now time.Time) time.Time { return c.base.Round(0).Add(now.Sub(c.base)) }

// Correction returns what is added to the base for true time: the median of the clocks.
func (c *Clock) Correction() time.Duration {
	var all []time.Duration
	for _, d := range c.nodes {
		all = append(all, slices.Max(d.last))
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	n := len(all)
	return (all[(n-1)/2] + all[n/2]) / 2
}

// True returns the estimate of the true time at a moment.
func (c *Clock) True(at time.Time) time.Time { return c.uncorrected(at).Add(c.Correction()) }

// Prune drops the clocks of nodes that have long been silent.
func (c *Clock) Prune(now time.Time) {
	for node, d := range c.nodes {
		if now.Sub(d.at) > clockLife {
			delete(c.nodes, node)
		}
	}
}
