// Package swap plans which engines load which weight version next, within the
// rate limit of the weight store and with enough engines of the pool serving.
package swap

import (
	"sort"
	"time"

	"quetzalpier"
)

const (
	// OrderLife is the longest time after its sending at which an order may still
	// take effect.
	OrderLife = 8 * time.Second
	// retryBase and retryMax bound the exponential backoff after a failed order.
	retryBase = 300 * time.Millisecond
	retryMax  = 10 * time.Second
	// outdatedAnswerDelay is how long after the end of an order an engine's answers
	// may still carry an older version than the engine reports.
	outdatedAnswerDelay = 3 * time.Second
)

// Engine is the planner's view of one engine.
type Engine struct {
	ID    string
	State quetzalpier.EngineState
	// StateKnown reports whether the state was read under the current lease.
	StateKnown bool
	// AnswerVersion is the newest weight version seen in the engine's answers, and
	// AnswerAt when it was last seen.
	AnswerVersion  quetzalpier.Version
	AnswerAt       time.Time
	OrderedVersion quetzalpier.Version
	// OrderedAt is when the last order was sent. EndedAt is when it ended; zero
	// while it is in flight.
	OrderedAt time.Time
	EndedAt   time.Time
	Failures  int
}

// PlanInput is the input of Plan.
type PlanInput struct {
	Target  quetzalpier.Version
	Engines []Engine
	// MinServing is the minimum share of the engines that keep serving.
	MinServing float64
	// Rate is the limit of the weight store in loads per second; zero for none.
	Rate float64
}

// Plan returns the ids of the engines that should load the target now.
func Plan(p PlanInput, limiter *LoadLimiter, now time.Time) []string {
	loading := 0
	var outdated []Engine
	for _, e := range p.Engines {
		switch {
		case !e.StateKnown:
		case swapping(e):
			loading++
		case isBehind(e, p.Target, now) && !now.Before(retryAt(e)):
			outdated = append(outdated, e)
		}
	}
	sort.Slice(outdated, func(i, j int) bool { return ordersBefore(outdated[i], outdated[j]) })
	limit := len(p.Engines) - minServing(p) - loading
	var ids []string
	for _, e := range outdated {
		if len(ids) >= limit || !limiter.Take(p.Rate, now) {
			break
		}
		ids = append(ids, e.ID)
	}
	return ids
}

// Converged reports whether the state of every engine is known and all serve the
// target.
func Converged(p PlanInput, now time.Time) bool {
	for _, e := range p.Engines {
		if !e.StateKnown || swapping(e) || isBehind(e, p.Target, now) {
			return false
		}
	}
	return true
}

// minServing returns how many engines must keep serving. At least one engine may
// always load, since the pool would never get new weights otherwise.
func minServing(p PlanInput) int {
	n := len(p.Engines)
	required := int(p.MinServing*float64(n) + 0.999)
	return min(required, n-1)
}

// swapping reports whether the engine is loading weights or has an order in flight.
func swapping(e Engine) bool {
	return e.State.Loading != 0 || (!e.OrderedAt.IsZero() && e.EndedAt.IsZero())
}

// isBehind reports whether the engine serves an older version than the target,
// according to its reported state or its answers.
func isBehind(e Engine, target quetzalpier.Version, now time.Time) bool {
	if e.State.Version < target {
		return true
	}
	return answersOutdated(e, target, now)
}

// answersOutdated reports whether the engine still generates tokens with an older
// version well after the end of its order to load the target.
func answersOutdated(e Engine, target quetzalpier.Version, now time.Time) bool {
	if e.EndedAt.IsZero() || e.OrderedVersion != target || e.AnswerAt.IsZero() {
		return false
	}
	return e.AnswerVersion < target && e.AnswerAt.Sub(e.EndedAt) > outdatedAnswerDelay && now.Sub(e.EndedAt) > outdatedAnswerDelay
}

// retryAt returns the earliest time of the next order after failures.
func retryAt(e Engine) time.Time {
	if e.Failures == 0 || e.EndedAt.IsZero() {
		return time.Time{}
	}
	return e.EndedAt.Add(min(retryMax, retryBase<<min(e.Failures-1, 6)))
}

// ordersBefore reports whether a is ordered before b: engines with fewer failures
// first, then the less loaded ones, whose load delays the fewest requests.
func ordersBefore(a, b Engine) bool {
	if a.Failures != b.Failures {
		return a.Failures < b.Failures
	}
	loadA, loadB := a.State.Running+a.State.Queued, b.State.Running+b.State.Queued
	if loadA != loadB {
		return loadA < loadB
	}
	return a.ID < b.ID
}

// LoadLimiter is a token bucket that limits the loads from the weight store.
type LoadLimiter struct {
	tokens float64
	last   time.Time
}

// Take takes a token for one load; rate is the refill rate per second. It
// reports whether a token was available.
func (l *LoadLimiter) Take(rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	if l.last.IsZero() {
		l.tokens = max(1, rate)
		l.last = now
	}
	l.tokens = min(max(1, rate), l.tokens+rate*now.Sub(l.last).Seconds())
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
