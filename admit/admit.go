// Package admit orders the requests that wait for a slot, and refuses at once
// those that are expected to miss their deadline.
package admit

import (
	"slices"
	"time"

	"quetzalpier"
)

const (
	// maxWaiting is the maximum length of a queue.
	maxWaiting = 8192
	// minRefuseAhead is the number of tickets ahead up to which none is refused for
	// its deadline: the rate of grants reflects past demand, and is a poor estimate
	// of the wait in a short burst.
	minRefuseAhead = 16
	// rateHalfLife is the half-life of the measured rate of grants.
	rateHalfLife = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound the delay suggested to refused requests.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// serviceRise is the share by which the estimate of the service time rises towards
	// each longer observation. It falls to a shorter one at once.
	serviceRise = 0.02
)

// minShares is the minimum share of the grants of each class while it has waiting
// tickets, regardless of the classes with a higher priority.
var minShares = [...]float64{
	quetzalpier.ClassInteractive: 0,
	quetzalpier.ClassRollout:     0.2,
	quetzalpier.ClassInternal:    0.05,
}

// Ticket is a request that waits for a slot.
type Ticket struct {
	ID    uint64
	Class quetzalpier.Class
	// Priority precedes the class; zero is the highest.
	Priority int
	Tenant   string
	Weight   float64
	// Deadline is when the caller stops waiting; zero for never.
	Deadline time.Time
	// Allowance is set by the caller of a shared queue; see package share.
	Allowance float64
	// Spread is set by that caller if requests waited at the upstreams; see route.Request.
	Spread bool

	// finish is the virtual finish time of weighted fair queueing.
	finish float64
	// arrived is set once the ticket was counted, and guaranteed if it precedes all
	// priorities.
	arrived    bool
	guaranteed bool
}

// Guaranteed reports whether the ticket keeps its tenant above its least share of the
// grants, and therefore precedes all priorities.
func (t *Ticket) Guaranteed() bool { return t.guaranteed }

// Queue orders the waiting requests of one pool.
type Queue struct {
	// Shared is set if tenants compete for the pool by priority. Otherwise no ticket is
	// guaranteed and tickets of a tenant are granted in the order of their arrival.
	Shared bool
	// Seed differs between nodes; see account.
	Seed uint64

	// lanes are sorted by precedence.
	lanes   []*lane
	waiting int
	// byClass counts the waiting tickets of each class. The credit of a class grows by
	// its minimum share at each grant. At one or more the class is served next.
	byClass [len(minShares)]int
	credits [len(minShares)]float64
	rate    rate
	// arrivals measures the arriving tickets, and accounts are the credits of tenants
	// towards a guaranteed ticket.
	arrivals rate
	accounts map[string]float64
	// service is a low estimate of the time that an upstream takes for a request;
	// zero while unknown.
	service time.Duration
}

// ObserveService updates the estimate of the service time with one request that was
// answered.
func (q *Queue) ObserveService(took time.Duration) {
	if q.service == 0 || took < q.service {
		q.service = took
		return
	}
	q.service += time.Duration(serviceRise * float64(took-q.service))
}

// LatestStart returns when the ticket must be granted so that even a fast upstream
// can answer before its deadline; zero if it has none.
//
// Load pattern: in a burst at slow upstreams, requests wait until their deadline. One
// that is granted in its last moments occupies a slot for an answer that nobody waits
// for, and one that is not is refused too late to try elsewhere.
func (q *Queue) LatestStart(t *Ticket) time.Time {
	if t.Deadline.IsZero() {
		return time.Time{}
	}
	return t.Deadline.Add(-q.service)
}

// Enqueue adds a ticket. It refuses the ticket if the queue is full or it is not
// expected to be granted in time; after is then the retry delay for the caller. The wait in
// a shared queue is estimated by the caller.
func (q *Queue) Enqueue(t *Ticket, now time.Time) (after time.Duration, ok bool) {
	q.Arrive(t, now)
	if q.waiting >= maxWaiting {
		q.Refuse(t)
		return q.retryAfter(q.waiting, now), false
	}
	ahead := q.CountAhead(t)
	if latest := q.LatestStart(t); !latest.IsZero() && now.After(latest) {
		q.Refuse(t)
		return q.retryAfter(ahead, now), false
	}
	if wait, known := q.estimateWait(ahead, now); !q.Shared && known && ahead > minRefuseAhead && !t.Deadline.IsZero() && now.Add(wait).After(q.LatestStart(t)) {
		return q.retryAfter(ahead, now), false
	}
	q.lane(t).add(t, q.Shared)
	q.count(t, 1)
	return 0, true
}

// Requeue adds a ticket again that was granted, but could not use its slot. It keeps its
// place among the tickets of its class.
func (q *Queue) Requeue(t *Ticket) {
	q.lane(t).insert(t, q.Shared)
	q.count(t, 1)
}

// Peek returns the ticket to grant next, without removing it; nil if none waits.
func (q *Queue) Peek() *Ticket {
	l := q.nextLane()
	if l == nil {
		return nil
	}
	return l.tickets[0]
}

// Heads returns the first ticket of each lane, starting with that of Peek, so that
// a ticket that no upstream can run does not block the other classes and priorities.
func (q *Queue) Heads() []*Ticket {
	first := q.nextLane()
	if first == nil {
		return nil
	}
	heads := []*Ticket{first.tickets[0]}
	for _, l := range q.lanes {
		if l != first && len(l.tickets) > 0 {
			heads = append(heads, l.tickets[0])
		}
	}
	return heads
}

// Grant removes a ticket that got a slot and updates the credits of the classes.
func (q *Queue) Grant(t *Ticket, now time.Time) {
	l := q.lane(t)
	if !l.remove(t) {
		return
	}
	q.count(t, -1)
	l.virtualTime = max(l.virtualTime, t.finish)
	q.rate.observe(now)
	q.settle(t)
	for i := range q.credits {
		if q.byClass[i] > 0 || i == int(t.Class) {
			q.credits[i] += minShares[i]
		}
	}
	q.credits[t.Class] = max(0, q.credits[t.Class]-1)
}

// Remove removes a ticket. It reports whether the ticket was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	l := q.lane(t)
	removed := false
	if q.Shared {
		removed = l.withdraw(t)
	} else {
		removed = l.remove(t)
	}
	if removed {
		q.count(t, -1)
		q.Refuse(t)
	}
	return removed
}

// Expire removes and returns the tickets whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Ticket {
	var expired []*Ticket
	for _, l := range q.lanes {
		for _, t := range l.tickets {
			if !t.Deadline.IsZero() && !now.Before(t.Deadline) {
				expired = append(expired, t)
			}
		}
	}
	for _, t := range expired {
		q.Remove(t)
	}
	return expired
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return q.waiting }

// RetryAfter returns the delay after which a refused request should be retried.
func (q *Queue) RetryAfter(now time.Time) time.Duration { return q.retryAfter(q.waiting, now) }

// nextLane returns the lane to serve next, or nil if no ticket waits: the first one of a
// class with a credit of at least one, or else the first one with tickets.
func (q *Queue) nextLane() *lane {
	for class, credit := range q.credits {
		if credit < 1 || q.byClass[class] == 0 {
			continue
		}
		for _, l := range q.lanes {
			if int(l.class) == class && len(l.tickets) > 0 {
				return l
			}
		}
	}
	for _, l := range q.lanes {
		if len(l.tickets) > 0 {
			return l
		}
	}
	return nil
}

// lane returns the lane of a ticket.
func (q *Queue) lane(t *Ticket) *lane {
	key := lane{guaranteed: t.guaranteed, priority: t.Priority, class: t.Class}
	i, found := slices.BinarySearchFunc(q.lanes, &key, compareLanes)
	if found {
		return q.lanes[i]
	}
	l := &key
	l.lastFinish = map[string]float64{}
	q.lanes = slices.Insert(q.lanes, i, l)
	return l
}

func (q *Queue) count(t *Ticket, n int) {
	q.waiting += n
	q.byClass[t.Class] += n
}

// CountAhead returns the number of tickets that precede the ticket, which need not wait
// yet. In a queue that is not shared, these are all of its class and those before it.
func (q *Queue) CountAhead(t *Ticket) int {
	own := q.lane(t)
	total := 0
	for _, l := range q.lanes {
		switch {
		case l != own:
			total += len(l.tickets)
			continue
		case q.Shared:
			total += l.countBefore(t)
		default:
			total += len(l.tickets)
		}
		break
	}
	return total
}

// RemoveLate removes and returns the tickets for which late returns true, given the number
// of tickets that stay before each.
func (q *Queue) RemoveLate(late func(t *Ticket, ahead int) bool) []*Ticket {
	var removed []*Ticket
	ahead := 0
	for _, l := range q.lanes {
		for _, t := range l.tickets {
			if late(t, ahead) {
				removed = append(removed, t)
				continue
			}
			ahead++
		}
	}
	for _, t := range removed {
		q.Remove(t)
	}
	return removed
}

// estimateWait estimates the time until ahead tickets are granted; false if the
// rate of grants is unknown.
func (q *Queue) estimateWait(ahead int, now time.Time) (time.Duration, bool) {
	perSecond := q.rate.perSecond(now)
	if ahead == 0 || perSecond <= 0 {
		return 0, ahead == 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second)), true
}

// retryAfter returns the estimated wait behind ahead tickets within its limits.
func (q *Queue) retryAfter(ahead int, now time.Time) time.Duration {
	wait, known := q.estimateWait(ahead, now)
	if !known {
		return time.Second
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
