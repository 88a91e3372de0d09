// Package admit orders the requests that wait for a slot, and refuses at once
// those that are expected to miss their deadline.
package admit

import (
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
	ID     uint64
	Class  quetzalpier.Class
	Tenant string
	Weight float64
	// Deadline is when the caller stops waiting; zero for never.
	Deadline time.Time

	// finish is the virtual finish time of weighted fair queueing.
	finish float64
}

// Queue orders the waiting requests of one pool.
type Queue struct {
	classes [len(minShares)]classQueue
	waiting int
	rate    rate
	// service is a low estimate of the time that an upstream takes for a request;
	// zero while unknown.
	service time.Duration
}

// classQueue holds the waiting tickets of one class, sorted by finish.
type classQueue struct {
	tickets []*Ticket
	// lastFinish is the finish of the last ticket of each tenant.
	lastFinish map[string]float64
	// virtualTime is the highest finish of a granted ticket.
	virtualTime float64
	// credit grows by the minimum share of the class at each grant. At one or more
	// the class is served next.
	credit float64
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
// expected to be granted in time; after is then the retry delay for the caller.
func (q *Queue) Enqueue(t *Ticket, now time.Time) (after time.Duration, ok bool) {
	if q.waiting >= maxWaiting {
		return q.retryAfter(q.waiting, now), false
	}
	ahead := q.CountAhead(t.Class)
	if latest := q.LatestStart(t); !latest.IsZero() && now.After(latest) {
		return q.retryAfter(ahead, now), false
	}
	if wait, known := q.estimateWait(ahead, now); known && ahead > minRefuseAhead && !t.Deadline.IsZero() && now.Add(wait).After(q.LatestStart(t)) {
		return q.retryAfter(ahead, now), false
	}
	q.classes[t.Class].add(t)
	q.waiting++
	return 0, true
}

// Requeue adds a ticket again that was granted, but could not use its slot. It keeps its
// place among the tickets of its class.
func (q *Queue) Requeue(t *Ticket) {
	q.classes[t.Class].insert(t)
	q.waiting++
}

// Peek returns the ticket to grant next, without removing it; nil if none waits.
func (q *Queue) Peek() *Ticket {
	c := q.nextClass()
	if c < 0 {
		return nil
	}
	return q.classes[c].tickets[0]
}

// Heads returns the first ticket of each class, starting with that of Peek, so that
// a ticket that no upstream can run does not block the other classes.
func (q *Queue) Heads() []*Ticket {
	first := q.Peek()
	if first == nil {
		return nil
	}
	heads := []*Ticket{first}
	for i := range q.classes {
		if i != int(first.Class) && len(q.classes[i].tickets) > 0 {
			heads = append(heads, q.classes[i].tickets[0])
		}
	}
	return heads
}

// Grant removes a ticket that got a slot and updates the credits of the classes.
func (q *Queue) Grant(t *Ticket, now time.Time) {
	if !q.Remove(t) {
		return
	}
	c := &q.classes[t.Class]
	c.virtualTime = max(c.virtualTime, t.finish)
	q.rate.observe(now)
	for i := range q.classes {
		if len(q.classes[i].tickets) > 0 || i == int(t.Class) {
			q.classes[i].credit += minShares[i]
		}
	}
	c.credit = max(0, c.credit-1)
}

// Remove removes a ticket. It reports whether the ticket was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	c := &q.classes[t.Class]
	for i, other := range c.tickets {
		if other == t {
			c.tickets = append(c.tickets[:i:i], c.tickets[i+1:]...)
			q.waiting--
			return true
		}
	}
	return false
}

// Expire removes and returns the tickets whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Ticket {
	var expired []*Ticket
	for i := range q.classes {
		for _, t := range q.classes[i].tickets {
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

// nextClass returns the class to serve next, or -1 if no ticket waits: the first
// one with a credit of at least one, or else the first one with tickets.
func (q *Queue) nextClass() int {
	first := -1
	for i := range q.classes {
		if len(q.classes[i].tickets) == 0 {
			continue
		}
		if q.classes[i].credit >= 1 {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}

// CountAhead returns the number of tickets of the class and of those with a higher
// priority.
func (q *Queue) CountAhead(class quetzalpier.Class) int {
	total := 0
	for i := 0; i <= int(class); i++ {
		total += len(q.classes[i].tickets)
	}
	return total
}

// RemoveLate removes and returns the tickets for which late returns true, given the number
// of tickets that stay before each.
func (q *Queue) RemoveLate(late func(t *Ticket, ahead int) bool) []*Ticket {
	var removed []*Ticket
	ahead := 0
	for i := range q.classes {
		var kept []*Ticket
		for _, t := range q.classes[i].tickets {
			if late(t, ahead) {
				removed = append(removed, t)
				continue
			}
			kept = append(kept, t)
			ahead++
		}
		q.classes[i].tickets = kept
	}
	q.waiting -= len(removed)
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

// add inserts the ticket by weighted fair queueing: its virtual finish time is
// that of its tenant's previous ticket, or the class's virtual time if that is
// later, plus the inverse of its weight.
func (c *classQueue) add(t *Ticket) {
	if c.lastFinish == nil {
		c.lastFinish = map[string]float64{}
	}
	weight := t.Weight
	if weight <= 0 {
		weight = 1
	}
	t.finish = max(c.virtualTime, c.lastFinish[t.Tenant]) + 1/weight
	c.lastFinish[t.Tenant] = t.finish
	c.dropIdleTenants()
	c.insert(t)
}

// insert inserts a ticket by its finish.
func (c *classQueue) insert(t *Ticket) {
	index := len(c.tickets)
	for index > 0 && c.tickets[index-1].finish > t.finish {
		index--
	}
	c.tickets = append(c.tickets, nil)
	copy(c.tickets[index+1:], c.tickets[index:])
	c.tickets[index] = t
}

// dropIdleTenants removes tenants whose last finish is not after the class's
// virtual time: they are treated like new tenants anyway.
func (c *classQueue) dropIdleTenants() {
	const maxIdle = 1024
	if len(c.lastFinish) < maxIdle {
		return
	}
	for tenant, finish := range c.lastFinish {
		if finish <= c.virtualTime {
			delete(c.lastFinish, tenant)
		}
	}
}
