package entry

import (
	"context"
	"sync"
	"time"

	"quetzalpier"
)

const (
	// answerReserve is the time that an answer gets to reach its client before a planned stop
	// breaks off what is in flight.
	answerReserve = 200 * time.Millisecond
	// lateAfter is the time after the request to stop from which on nothing is taken that may be
	// broken off: by then, all clients should have learned to connect elsewhere.
	lateAfter = 3 * time.Second
	// durationPeriod is how long the duration of a request counts, up to twice as long.
	durationPeriod = 30 * time.Second
)

// stopPlan are the times of a planned stop; the zero value is none.
type stopPlan struct {
	requestedAt time.Time
	// answerBy is when the last answers begin to be written.
	answerBy time.Time
}

// work is how long a request may take.
type work struct {
	// bound is the time until its deadline.
	bound time.Duration
	// longest is the longest duration of the last requests of its route; zero if there were none.
	longest time.Duration
	// streamed is set if the answer is broken off at the end, and not replaced by an error.
	streamed bool
}

// admits reports whether a request that arrives now can probably be answered before the node
// stops. Clients of one that can't are better served elsewhere, and can still go there: nothing
// of it has run.
func (p stopPlan) admits(w work, now time.Time) bool {
	left, late := p.answerBy.Sub(now), now.Sub(p.requestedAt) > lateAfter
	switch {
	case p.answerBy.IsZero(), w.bound <= left:
		return true
	case w.longest == 0, w.streamed && late:
		return !late
	}
	return w.longest+w.longest/4 <= left
}

// durations holds the longest duration of the last requests of each route.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*recentMax
}

// recentMax is the longest duration of the present period, which began at since, and of the one
// before.
type recentMax struct {
	since             time.Time
	present, previous time.Duration
}

func (m *recentMax) advance(now time.Time) {
	switch age := now.Sub(m.since); {
	case age >= 2*durationPeriod:
		m.since, m.present, m.previous = now, 0, 0
	case age >= durationPeriod:
		m.since, m.present, m.previous = now, 0, m.present
	}
}

// observe records the duration of a request that was answered.
func (d *durations) observe(route string, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byRoute == nil {
		d.byRoute = map[string]*recentMax{}
	}
	m := d.byRoute[route]
	if m == nil {
		m = &recentMax{since: now}
		d.byRoute[route] = m
	}
	m.advance(now)
	m.present = max(m.present, took)
}

// longest returns the longest duration of the last requests of a route; zero if there were none.
func (d *durations) longest(route string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.byRoute[route]
	if m == nil {
		return 0
	}
	m.advance(now)
	return max(m.present, m.previous)
}

// Drain makes the node report that it is not ready, after it was requested to stop. New requests
// are still served if they can be answered before end, when those in flight are broken off, and
// each connection is closed with its next response. Shortly before end, requests in flight are
// answered with an error.
func (e *Entry) Drain(requestedAt, end time.Time) {
	plan := stopPlan{requestedAt: requestedAt, answerBy: end.Add(-answerReserve)}
	e.mu.Lock()
	e.stop = plan
	e.mu.Unlock()
	e.draining.Store(true)
	time.AfterFunc(time.Until(plan.answerBy), e.stopServing)
}

func (e *Entry) stopPlan() stopPlan {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stop
}

// answerDeadline returns the earlier of a deadline and the time by which a stopping node must
// answer.
func (e *Entry) answerDeadline(deadline time.Time) time.Time {
	if by := e.stopPlan().answerBy; !by.IsZero() && by.Before(deadline) {
		return by
	}
	return deadline
}

// checkStop returns the refusal of a request that can't be answered before the node stops.
func (e *Entry) checkStop(r *request, route *quetzalpier.Route, now time.Time) error {
	if !e.draining.Load() {
		return nil
	}
	bound := r.deadline.Sub(now)
	if route.Timeout > 0 {
		bound = min(bound, route.Timeout)
	}
	w := work{bound: bound, longest: e.durations.longest(route.Name, now), streamed: route.Stream}
	if e.stopPlan().admits(w, now) {
		return nil
	}
	return quetzalpier.Unavailable("stop", "this node stops before the request can be answered", quetzalpier.RanNo, 0)
}

// serveContext returns a context for work on an answer, which ends in time for another answer if
// the node stops. Calls to the key-value service end at its deadline only.
func (e *Entry) serveContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithDeadline(e.serving, e.answerDeadline(time.Now().Add(timeout)))
}
