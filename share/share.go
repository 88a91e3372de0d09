// Package share decides whether a request may wait for the upstreams of a pool that
// customers compete for, or is refused at once, and when a refused client comes back.
package share

import (
	"fmt"
	"time"

	"quetzalpier"
	"quetzalpier/admit"
	"quetzalpier/board"
)

const (
	// leastAllowance is the part of its time that any request may wait.
	leastAllowance = 0.5
	// tightShare is the part of its time that a request may lose to one wait, as long as that
	// may be, without the queues being kept short for it.
	tightShare = 0.25
	// ownMargin and othersMargin are the factors by which a wait may exceed its estimate
	// where one node sends to the upstreams, and where very many do. Reports are as old as an answer,
	// and queues at 4 upstreams differ threefold: with a factor of 2.5, a fifth of the slots
	// of slow upstreams ran what nobody waited for any more (TestSixtyNodes).
	ownMargin    = 1.5
	othersMargin = 5
	// firstAllowance is the part of its allowance for a request that can still come back,
	// which it does within a third of its time.
	firstAllowance = 0.9
	// returnedBelow is the part of its route's time below which a request has come back.
	returnedBelow = 0.9
	// minReturn and maxReturn bound the time after which a refused client comes back, as
	// shares of the time that it has left: it does not come back after a third of that,
	// and one that came back is known by the time that it has lost.
	minReturn = 0.12
	maxReturn = 1.0 / 3
)

// Active reports whether customers compete for the upstreams. A deployment without customers
// is served without the rules of this package, also if its routes have different priorities.
func Active(config *quetzalpier.Config) bool { return len(config.Customers) > 0 }

// Ask is a request for a pool's upstreams.
type Ask struct {
	Pool string
	// Software is the software version that the upstream must have; empty for any.
	Software string
	// Timeout is the time that the request's route gives; zero if that is not limited.
	Timeout time.Duration
	// Draw is a random number in [0, 1).
	Draw float64
}

// Reason is why a request may not wait.
type Reason string

// The reasons.
const (
	// ReasonWait is a wait beyond the allowance of the time that is left.
	ReasonWait Reason = "wait"
	// ReasonQueue is a use of the upstreams' queues beyond the allowance.
	ReasonQueue Reason = "queue"
	// ReasonPart is that the node has its part of the requests that may wait.
	ReasonPart Reason = "part"
)

// Decision is whether a request may wait, and what that was decided by.
type Decision struct {
	// Reason is empty for a request that may wait.
	Reason Reason
	// Allowance is the part of its time that the request may wait.
	Allowance float64
	Left      time.Duration
	Backlog   Backlog
	Own       Own
}

// String describes a refusal.
func (d Decision) String() string {
	return fmt.Sprintf("%s: may wait %.2f of %d ms, expected %d ms, queues %.2f full, %d of the node's requests before it",
		d.Reason, d.Allowance, d.Left.Milliseconds(), d.Backlog.Wait(d.Own.Ahead).Milliseconds(), d.Backlog.Used, d.Own.Before)
}

// Admit decides whether a ticket that arrives may wait, and counts it. If not, it is to be
// refused at once.
func Admit(s *board.State, q *admit.Queue, usage *Usage, t *admit.Ticket, ask Ask, now time.Time) Decision {
	q.Arrive(t, now)
	usage.Arrive(t.Tenant, t.Priority, now)
	if t.Deadline.IsZero() {
		return Decision{}
	}
	backlog := NewBacklog(s, usage, ask.Pool, ask.Software, now)
	returned := ask.Timeout > 0 && t.Deadline.Sub(now) < time.Duration(returnedBelow*float64(ask.Timeout))
	t.Allowance = 1.0
	if !t.Guaranteed() {
		t.Allowance = usage.Allowance(t.Tenant, t.Priority, now)
	}
	allowance := t.Allowance
	if !returned {
		allowance *= firstAllowance
	}
	ahead := q.CountAhead(t)
	left := q.LatestStart(t).Sub(now)
	t.Spread = backlog.Tight(left) && (backlog.Queued || backlog.Wait(ahead) > 0)
	own := Own{All: len(usage.placed) + q.Len(), Before: usage.placedBefore(t.Allowance) + ahead, Ahead: ahead}
	d := Decision{Allowance: allowance, Left: left, Backlog: backlog, Own: own}
	d.Reason = backlog.Check(allowance, left, own, ask.Draw)
	if d.Reason != "" {
		q.Refuse(t)
	}
	return d
}

// Allowance returns the part of its time, and of an upstream's queue, that a request may
// wait: between half and all. It falls with the priorities above the request's and with the
// customer's excess over an equal share.
//
// Load pattern: a large customer, or requests of a low priority, fill the queues of all
// upstreams from 60 nodes. Queues settle at the allowance of the requests that fill them,
// so that those with a higher one find room.
func (u *Usage) Allowance(customer string, priority int, now time.Time) float64 {
	higher, all := u.rank(priority, now)
	within := 1 / max(1, u.excess(customer, now))
	return leastAllowance + (1-leastAllowance)*(float64(all-1-higher)+within)/float64(all)
}

// Own counts the requests of this node for a pool, here and at the upstreams: all, those
// with at least the allowance of the request that is decided on, and the part of these that
// waits before it here.
type Own struct{ All, Before, Ahead int }

// Check returns why a request that may wait the given part of its time can't be served, or
// nothing if it can. It can while its own wait is short enough and the time is not tight, or
// if neither the service time nor the size of a queue is known. Draw is a random number in
// [0, 1).
//
// Load pattern: 60 nodes learn within the time of one answer that the queues have become
// shorter, and would all send what they have until the next answers tell otherwise. So
// each node has no more requests at the upstreams than its part of those that may wait
// there, at least one, until an answer reports that nothing waits.
func (b Backlog) Check(allowance float64, left time.Duration, own Own, draw float64) Reason {
	wait := b.Wait(own.Ahead)
	if wait == 0 && !b.Queued || b.Service == 0 && b.Places == 0 {
		return ""
	}
	if b.margin()*float64(wait) > allowance*float64(left) {
		return ReasonWait
	}
	if b.Used > allowance {
		return ReasonQueue
	}
	if !b.Tight(left) {
		return ""
	}
	places := allowance * float64(b.Places)
	if b.Service > 0 {
		byTime := float64(b.Slots) * allowance * float64(left) / (b.margin() * float64(b.Service))
		if b.Places == 0 || byTime < places {
			places = byTime
		}
	}
	if own.All > 0 && float64(own.Before)+draw >= (float64(b.Slots)+places)/b.Nodes {
		return ReasonPart
	}
	return ""
}

// Tight reports whether the waits at the upstreams, or that for one request there, may use
// up the time that is left to a request. Shorter queues hold nobody back. It also does while
// the service time is unknown.
//
// Load pattern: a burst of reward calls makes the upstreams queue for some milliseconds, while
// two requests of clients arrive at one of 60 nodes.
func (b Backlog) Tight(left time.Duration) bool {
	return b.Service == 0 || b.margin()*max(1, b.Mean)*float64(b.Service) > tightShare*float64(left)
}

// ReturnAfter returns when the client of a refused request should come back, by the time
// that the request has left and a random number in [0, 1).
//
// Load pattern: hundreds of clients are refused in the same moment.
func ReturnAfter(left time.Duration, draw float64) time.Duration {
	return time.Duration(float64(left) * (minReturn + draw*(maxReturn-minReturn)))
}
