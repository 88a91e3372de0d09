// Package sizing decides how many upstreams of a pool are ordered in each failure domain, and
// of which kind.
package sizing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// peakSpan is the time whose peak demand determines the size: steps come every few
	// seconds, and a minute covers several of each trainer.
	peakSpan = time.Minute
	// maxMeasureAge is the age beyond which a measure changes nothing.
	maxMeasureAge = 3 * time.Second
	// efficiencyDecay is applied to the sums of the efficiency with each measure, two a second:
	// a few seconds with waiting tasks count half after ten more.
	efficiencyDecay = 0.97
	// minEfficiency limits the effect of the efficiency, which is low for a moment when a step
	// was just submitted or needs weights that few engines have yet.
	minEfficiency = 0.4
)

// Step is the remaining work of an open step.
type Step struct {
	DueAt time.Time
	// Work is the expected time of all unfinished tasks on one slot after the other, and
	// Longest that of the longest one.
	Work    time.Duration
	Longest time.Duration
	Tasks   int
}

// Work is the remaining work of a pool. Waiting counts the tasks that may start, Running the
// runs, and Free the slots without one.
type Work struct {
	Steps                  []Step
	Waiting, Running, Free int
}

// Efficiency measures how much of the slots runs tasks while tasks wait. The rest loads
// weights, has weights that are too old, or is taken by the requests of others.
type Efficiency struct{ used, usable float64 }

// Observe adds a measure. One without waiting tasks tells nothing.
func (e *Efficiency) Observe(work Work) {
	if work.Waiting == 0 {
		return
	}
	used := float64(work.Running)
	e.used = e.used*efficiencyDecay + used
	e.usable = e.usable*efficiencyDecay + used + float64(min(work.Waiting, work.Free))
}

// Share returns the efficiency, 1 while it is unknown.
func (e *Efficiency) Share() float64 {
	if e.usable == 0 {
		return 1
	}
	return max(minEfficiency, e.used/e.usable)
}

// Need returns the number of upstreams with so many slots that the steps need to finish by
// their due times. The time left counts as at least minLeft, since a new upstream does not
// help sooner.
//
// Load pattern: a step's tasks are all submitted at once, and a few of them take many times as
// long as the rest. These end late however many upstreams there are, so that the rest must
// be done in the time that the longest one leaves.
func Need(steps []Step, slots int, minLeft time.Duration, now time.Time) float64 {
	if slots <= 0 {
		return 0
	}
	steps = slices.SortedFunc(slices.Values(steps), func(a, b Step) int { return a.DueAt.Compare(b.DueAt) })
	need, count := 0.0, 0
	var work, longest time.Duration
	for _, step := range steps {
		work, longest, count = work+step.Work, max(longest, step.Longest), count+step.Tasks
		left := max(step.DueAt.Sub(now)-longest, minLeft, time.Millisecond)
		need = max(need, min(float64(work)/float64(left), float64(count))/float64(slots))
	}
	return need
}

// Demand is the measured demand of the last minute, in upstreams of the measured efficiency.
type Demand struct {
	// At is when it was last measured, Last what was measured, and Seen is set once there was
	// any demand.
	At   time.Time
	Last float64
	Seen bool

	peaks []peak
}

// peak is the greatest demand within a second.
type peak struct {
	from time.Time
	need float64
}

// Observe adds a measure.
func (d *Demand) Observe(need float64, now time.Time) {
	if math.IsNaN(need) || math.IsInf(need, 0) || need < 0 {
		return
	}
	d.At, d.Last, d.Seen = now, need, d.Seen || need > 0
	d.peaks = slices.DeleteFunc(d.peaks, func(p peak) bool { return now.Sub(p.from) > peakSpan+time.Second })
	if last := len(d.peaks) - 1; last >= 0 && now.Sub(d.peaks[last].from) < time.Second {
		d.peaks[last].need = max(d.peaks[last].need, need)
		return
	}
	d.peaks = append(d.peaks, peak{now, need})
}

// Peak returns the greatest demand of the last minute.
func (d *Demand) Peak() float64 {
	if len(d.peaks) == 0 {
		return 0
	}
	return slices.MaxFunc(d.peaks, func(a, b peak) int { return cmp.Compare(a.need, b.need) }).need
}

// fresh reports whether the measure may change the size.
func (d *Demand) fresh(now time.Time) bool { return d.Seen && now.Sub(d.At) <= maxMeasureAge }
