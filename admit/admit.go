// Package admit decides the order in which waiting requests get a slot, and
// refuses at once those whose wait can't be met.
package admit

import (
	"time"

	"quetzalpier"
)

const (
	// maxWaiting bounds a queue's length.
	maxWaiting = 8192
	// fewAhead is how many tickets ahead are no reason to refuse one: the rate
	// of grants tells what was asked for, and says little of a short burst.
	fewAhead = 16
	// rateHalfLife smooths the measured rate of grants.
	rateHalfLife = 5 * time.Second
	// minAfter and maxAfter bound the advice when to come back.
	minAfter = 250 * time.Millisecond
	maxAfter = 30 * time.Second
)

// shares is the least share of the grants that each class gets while it
// waits, whatever classes stand before it.
var shares = [...]float64{
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

	finish float64
}

// Queue orders the waiting requests of one pool.
type Queue struct {
	classes [len(shares)]class
	waiting int
	rate    rate
}

type class struct {
	tickets []*Ticket
	tenants map[string]float64
	clock   float64
	credit  float64
}

// Offer adds a ticket. If its wait can't be met it is not added, and the
// result tells when to come back.
func (q *Queue) Offer(t *Ticket, now time.Time) (after time.Duration, ok bool) {
	if q.waiting >= maxWaiting {
		return q.after(q.waiting, now), false
	}
	ahead := q.ahead(t.Class)
	if wait, known := q.wait(ahead, now); known && ahead > fewAhead && !t.Deadline.IsZero() && now.Add(wait).After(t.Deadline) {
		return q.after(ahead, now), false
	}
	q.classes[t.Class].add(t)
	q.waiting++
	return 0, true
}

// Next returns the ticket to be granted next without removing it.
func (q *Queue) Next() *Ticket {
	c := q.pick()
	if c < 0 {
		return nil
	}
	return q.classes[c].tickets[0]
}

// Heads returns the first ticket of each class in the order in which they may
// be granted, so that a ticket that no upstream can take holds nobody up.
func (q *Queue) Heads() []*Ticket {
	first := q.Next()
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

// Grant removes a ticket that got a slot.
func (q *Queue) Grant(t *Ticket, now time.Time) {
	if !q.Remove(t) {
		return
	}
	c := &q.classes[t.Class]
	c.clock = max(c.clock, t.finish)
	q.rate.add(now)
	for i := range q.classes {
		if len(q.classes[i].tickets) > 0 || i == int(t.Class) {
			q.classes[i].credit += shares[i]
		}
	}
	c.credit = max(0, c.credit-1)
}

// Remove takes a ticket out; false if it is not waiting.
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
	var late []*Ticket
	for i := range q.classes {
		for _, t := range q.classes[i].tickets {
			if !t.Deadline.IsZero() && !now.Before(t.Deadline) {
				late = append(late, t)
			}
		}
	}
	for _, t := range late {
		q.Remove(t)
	}
	return late
}

// Waiting is the queue's length.
func (q *Queue) Waiting() int { return q.waiting }

// After is when a refused request should come back.
func (q *Queue) After(now time.Time) time.Duration { return q.after(q.waiting, now) }

// pick returns the class to be served next, or -1.
func (q *Queue) pick() int {
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

// ahead counts the tickets that a new one of the class would wait for.
func (q *Queue) ahead(class quetzalpier.Class) int {
	total := 0
	for i := 0; i <= int(class); i++ {
		total += len(q.classes[i].tickets)
	}
	return total
}

// wait estimates how long ahead grants take.
func (q *Queue) wait(ahead int, now time.Time) (time.Duration, bool) {
	perSecond := q.rate.value(now)
	if ahead == 0 || perSecond <= 0 {
		return 0, ahead == 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second)), true
}

func (q *Queue) after(ahead int, now time.Time) time.Duration {
	wait, known := q.wait(ahead, now)
	if !known {
		return time.Second
	}
	return min(max(wait, minAfter), maxAfter)
}

// add files the ticket behind its tenant's earlier ones by weighted fair
// queueing: each tenant's virtual clock advances by one over its weight.
func (c *class) add(t *Ticket) {
	if c.tenants == nil {
		c.tenants = map[string]float64{}
	}
	weight := t.Weight
	if weight <= 0 {
		weight = 1
	}
	t.finish = max(c.clock, c.tenants[t.Tenant]) + 1/weight
	c.tenants[t.Tenant] = t.finish
	c.forget()
	at := len(c.tickets)
	for at > 0 && c.tickets[at-1].finish > t.finish {
		at--
	}
	c.tickets = append(c.tickets, nil)
	copy(c.tickets[at+1:], c.tickets[at:])
	c.tickets[at] = t
}

// forget drops tenants whose clock lies behind the class's, which are as good
// as new.
func (c *class) forget() {
	const kept = 1024
	if len(c.tenants) < kept {
		return
	}
	for tenant, finish := range c.tenants {
		if finish <= c.clock {
			delete(c.tenants, tenant)
		}
	}
}
