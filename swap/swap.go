// Package swap decides which engines are ordered to load which weight version
// next: within the weight store's rate, and with enough of the pool serving.
package swap

import (
	"sort"
	"time"

	"quetzalpier"
)

const (
	// OrderLife is the longest time that an order may take effect after it
	// was sent.
	OrderLife = 8 * time.Second
	// retryBase and retryMax bound the wait after a failed order.
	retryBase = 300 * time.Millisecond
	retryMax  = 10 * time.Second
	// lieAfter is how long after an order an engine's answers must show the
	// version that it claims.
	lieAfter = 3 * time.Second
)

// Engine is what the planner knows of one engine.
type Engine struct {
	ID    string
	State quetzalpier.EngineState
	// Known tells that the state was read under the present lease.
	Known bool
	// Made is the newest version seen in answers; MadeAt is when.
	Made    quetzalpier.Version
	MadeAt  time.Time
	Ordered quetzalpier.Version
	// OrderedAt is when the last order was sent; EndedAt is when it ended,
	// zero while it is under way.
	OrderedAt time.Time
	EndedAt   time.Time
	Failures  int
}

// Pool is the plan's input.
type Pool struct {
	Target  quetzalpier.Version
	Engines []Engine
	// Serving is the least share of the engines that keep serving.
	Serving float64
	// Rate is how many loads a second the weight store serves; zero for no limit.
	Rate float64
}

// Plan returns the ids of the engines to be ordered to the target now.
func Plan(p Pool, store *Bucket, now time.Time) []string {
	busy := 0
	var due []Engine
	for _, e := range p.Engines {
		switch {
		case !e.Known:
		case swapping(e):
			busy++
		case behind(e, p.Target, now) && !now.Before(retryAt(e)):
			due = append(due, e)
		}
	}
	sort.Slice(due, func(i, j int) bool { return before(due[i], due[j]) })
	room := len(p.Engines) - kept(p) - busy
	var ids []string
	for _, e := range due {
		if len(ids) >= room || !store.Take(p.Rate, now) {
			break
		}
		ids = append(ids, e.ID)
	}
	return ids
}

// Settled tells whether every engine whose state is known serves the target.
func Settled(p Pool, now time.Time) bool {
	for _, e := range p.Engines {
		if !e.Known || swapping(e) || behind(e, p.Target, now) {
			return false
		}
	}
	return true
}

// kept is how many engines must keep serving. At least one may be swapped at
// a time, or the pool would never get new weights.
func kept(p Pool) int {
	n := len(p.Engines)
	need := int(p.Serving*float64(n) + 0.999)
	return min(need, n-1)
}

func swapping(e Engine) bool {
	return e.State.Loading != 0 || (!e.OrderedAt.IsZero() && e.EndedAt.IsZero())
}

// behind tells whether the engine serves an older version than the target, by
// its own word or by its answers.
func behind(e Engine, target quetzalpier.Version, now time.Time) bool {
	if e.State.Version < target {
		return true
	}
	return lies(e, target, now)
}

// lies tells whether the engine claims the target, but makes tokens under an
// older version well after its order ended.
func lies(e Engine, target quetzalpier.Version, now time.Time) bool {
	if e.EndedAt.IsZero() || e.Ordered != target || e.MadeAt.IsZero() {
		return false
	}
	return e.Made < target && e.MadeAt.Sub(e.EndedAt) > lieAfter && now.Sub(e.EndedAt) > lieAfter
}

func retryAt(e Engine) time.Time {
	if e.Failures == 0 || e.EndedAt.IsZero() {
		return time.Time{}
	}
	return e.EndedAt.Add(min(retryMax, retryBase<<min(e.Failures-1, 6)))
}

// before orders the due engines: those that failed last, and of the others
// the least loaded first, whose swap holds up the fewest tokens.
func before(a, b Engine) bool {
	if a.Failures != b.Failures {
		return a.Failures < b.Failures
	}
	loadA, loadB := a.State.Running+a.State.Queued, b.State.Running+b.State.Queued
	if loadA != loadB {
		return loadA < loadB
	}
	return a.ID < b.ID
}

// Bucket is a token bucket of loads from the weight store.
type Bucket struct {
	tokens float64
	last   time.Time
}

// Take takes one load at a rate a second; false if none is left now.
func (b *Bucket) Take(rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	if b.last.IsZero() {
		b.tokens = max(1, rate)
		b.last = now
	}
	b.tokens = min(max(1, rate), b.tokens+rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
