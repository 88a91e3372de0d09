// Package pace estimates how fast upstreams work: their usual speed, which is learnt from
// their answers, and a momentary slowdown, which they report because they share their VMs
// with others.
package pace

import (
	"math"
	"time"

	"quetzalpier"
	"quetzalpier/board"
)

const (
	// halfLife is the half-life of the weight of a reported slowdown. VMs draw a new one
	// every 0.6 s, so that half of the figures no longer hold after half of that.
	halfLife = 300 * time.Millisecond
	// maxSlowdown bounds a reported percentage, so that an upstream that reports nonsense
	// is used again soon.
	maxSlowdown = 1000
	// learntHalfLife is the half-life of the weight of samples in a learnt time: several
	// noisy moments. maxSample limits the effect of one, as a multiple of the learnt time,
	// so that a moment of 0.6 s moves that by at most 7%.
	learntHalfLife = 3 * time.Second
	maxSample      = 1.5
	// maxWeight is the weight of a sample that comes long after the last one: rare ones
	// must be averaged too.
	maxWeight = 0.2
)

const (
	// NoiseFactor is the slowdown of a noisy moment. An upstream that is slower than that
	// has a fault.
	NoiseFactor = 2.5
	// NoiseSpan is how long an upstream may be slow without a fault: a third bad draw in a
	// row, after 1.2 s, has a chance of 0.3%.
	NoiseSpan = 1500 * time.Millisecond
	// spellMemory is how long an upstream without new samples counts as slow.
	spellMemory = 2 * time.Second
)

// Spell is the time since when an upstream has been slow; zero if it is not.
type Spell struct {
	Since time.Time
}

// Observe updates the spell with whether the latest sample was slow, and its time.
func (s *Spell) Observe(slow bool, sampledAt, now time.Time) {
	switch {
	case !slow || now.Sub(sampledAt) > spellMemory:
		s.Since = time.Time{}
	case s.Since.IsZero():
		s.Since = now
	}
}

// TooLong reports whether the spell has lasted longer than noise does.
//
// Load pattern: a noisy moment looks like a fault for 0.6 s, and runs that moved away from
// it cost their prompts again.
func (s *Spell) TooLong(now time.Time) bool {
	return !s.Since.IsZero() && now.Sub(s.Since) >= NoiseSpan
}

// Factor returns by how much work is expected to take longer than normal on an upstream
// that reported a slowdown some time ago.
//
// Load pattern: every 0.6 s some 15% of the upstreams become 2.5 times slower, others than
// before.
func Factor(slowdown int, age time.Duration) float64 {
	if slowdown <= 0 {
		return 1
	}
	reported := float64(min(slowdown, maxSlowdown)) / 100
	return 1 + (reported-1)*math.Exp2(-float64(max(0, age))/float64(halfLife))
}

// Delay returns how much later a run is expected to end on an upstream that reported a
// slowdown some time ago: the slowdown lasts for halfLife on average.
func Delay(slowdown int, age time.Duration) time.Duration {
	if slowdown <= 0 {
		return 0
	}
	factor := Factor(slowdown, age)
	return time.Duration((1 - 1/max(factor, 0.1)) * float64(halfLife))
}

// Learnt is the usual time of a unit of work, a moving average over time.
type Learnt struct {
	Time time.Duration
	At   time.Time
}

// Observe adds a sample that was measured at a moment with a factor of Factor.
func (l *Learnt) Observe(sample time.Duration, factor float64, now time.Time) {
	clean := float64(sample) / factor
	if l.Time == 0 {
		l.Time, l.At = time.Duration(clean), now
		return
	}
	clean = min(clean, maxSample*float64(l.Time))
	weight := min(maxWeight, 1-math.Exp2(-float64(max(0, now.Sub(l.At)))/float64(learntHalfLife)))
	l.Time += time.Duration(weight * (clean - float64(l.Time)))
	l.At = now
}

// Record records the load that an upstream reported, if it reports its slowdown: others
// are judged as before by the answers to this node's own requests.
func Record(u *board.Upstream, load quetzalpier.Load, now time.Time) {
	if load.Slowdown <= 0 {
		return
	}
	u.Slowdown, u.SlowdownAt = load.Slowdown, now
	u.Report.Running, u.Report.Queued = load.Running, load.Waiting
	u.ReportAt, u.OwnReported = now, u.Outstanding
}

// Noisy reports whether the upstream shares its VM with others, by its reports.
func Noisy(u *board.Upstream) bool { return u.Slowdown > 0 }

// ObserveUnit updates the learnt time per unit of a noisy upstream. The sample of a request
// that came when others waited there contains a wait, which is taken out.
func ObserveUnit(u *board.Upstream, unit time.Duration, now time.Time) {
	queue := 1 + float64(u.Report.Queued)/float64(max(1, u.VM.Slots))
	learnt := Learnt{u.UnitTime, u.UnitTimeAt}
	learnt.Observe(unit, queue*Factor(u.Slowdown, now.Sub(u.SlowdownAt)), now)
	u.UnitTime, u.UnitTimeAt = learnt.Time, learnt.At
}
