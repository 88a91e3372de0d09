package admit

import (
	"cmp"
	"slices"
	"time"

	"quetzalpier"
	"quetzalpier/hash"
)

// lane holds the waiting tickets of one priority and class, sorted by finish.
type lane struct {
	guaranteed bool
	priority   int
	class      quetzalpier.Class
	tickets    []*Ticket
	// lastFinish is the finish of the last ticket of each tenant.
	lastFinish map[string]float64
	// virtualTime is the highest finish of a granted ticket.
	virtualTime float64
}

// compareLanes compares the precedence of two lanes.
func compareLanes(a, b *lane) int {
	if a.guaranteed != b.guaranteed {
		if a.guaranteed {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.class, b.class))
}

func (t *Ticket) weight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// nextFinish returns the virtual finish time of a new ticket: that of its tenant's
// previous ticket, or the lane's virtual time if that is later, plus the inverse of its
// weight.
func (l *lane) nextFinish(t *Ticket) float64 {
	return max(l.virtualTime, l.lastFinish[t.Tenant]) + 1/t.weight()
}

// add inserts a new ticket by weighted fair queueing. If byDeadline is set, the tenant's
// tickets take its places in the order of their deadlines.
func (l *lane) add(t *Ticket, byDeadline bool) {
	t.finish = l.nextFinish(t)
	l.lastFinish[t.Tenant] = t.finish
	l.dropIdleTenants()
	i := l.insert(t, byDeadline)
	for j := i - 1; byDeadline && j >= 0; j-- {
		if other := l.tickets[j]; other.Tenant == t.Tenant {
			if !isDueBefore(t, other) {
				return
			}
			l.swap(i, j)
			i = j
		}
	}
}

// insert inserts a ticket by its finish and returns its index. Tickets with the same
// finish stand in the order of their arrival or, if byDeadline is set, of their deadlines.
func (l *lane) insert(t *Ticket, byDeadline bool) int {
	index := len(l.tickets)
	for index > 0 {
		before := l.tickets[index-1]
		if before.finish < t.finish || before.finish == t.finish && !(byDeadline && isDueBefore(t, before)) {
			break
		}
		index--
	}
	l.tickets = slices.Insert(l.tickets, index, t)
	return index
}

// remove removes a ticket. It reports whether the ticket was waiting.
func (l *lane) remove(t *Ticket) bool {
	i := slices.Index(l.tickets, t)
	if i < 0 {
		return false
	}
	l.tickets = slices.Delete(l.tickets, i, i+1)
	return true
}

// withdraw removes a ticket that was not served. The tenant's later tickets take the place
// of the one before each, so that the tenant does not wait for what it did not get.
func (l *lane) withdraw(t *Ticket) bool {
	i := slices.Index(l.tickets, t)
	if i < 0 {
		return false
	}
	for j := i + 1; j < len(l.tickets); j++ {
		if l.tickets[j].Tenant == t.Tenant {
			l.swap(i, j)
			i = j
		}
	}
	l.lastFinish[t.Tenant] = t.finish - 1/t.weight()
	l.tickets = slices.Delete(l.tickets, i, i+1)
	return true
}

// swap swaps two tickets and their virtual finish times.
func (l *lane) swap(i, j int) {
	a, b := l.tickets[i], l.tickets[j]
	a.finish, b.finish = b.finish, a.finish
	l.tickets[i], l.tickets[j] = b, a
}

// countBefore returns the number of tickets before a ticket, or before the place that a
// new one would get.
func (l *lane) countBefore(t *Ticket) int {
	finish := t.finish
	if finish == 0 {
		finish = l.nextFinish(t)
	}
	n, _ := slices.BinarySearchFunc(l.tickets, finish, func(other *Ticket, finish float64) int {
		return cmp.Compare(other.finish, finish)
	})
	return n
}

// dropIdleTenants removes tenants whose last finish is not after the lane's
// virtual time: they are treated like new tenants anyway.
func (l *lane) dropIdleTenants() {
	const maxIdle = 1024
	if len(l.lastFinish) < maxIdle {
		return
	}
	for tenant, finish := range l.lastFinish {
		if finish <= l.virtualTime {
			delete(l.lastFinish, tenant)
		}
	}
}

// isDueBefore reports whether the deadline of a is earlier than that of b.
func isDueBefore(a, b *Ticket) bool {
	if a.Deadline.IsZero() || b.Deadline.IsZero() {
		return b.Deadline.IsZero() && !a.Deadline.IsZero()
	}
	return a.Deadline.Before(b.Deadline)
}

const (
	// leastShare is how often a tenant is granted at least, as a share of how often all
	// are. A quarter is required; the rest covers tickets that are guaranteed too late.
	leastShare = 0.3
	// maxAccounts bounds the number of tenants whose credits are kept.
	maxAccounts = 4096
)

// Arrive counts a ticket that arrives, and decides whether it is guaranteed.
//
// Load pattern: one tenant sends ten times as many requests as all others, or those of a
// high priority take every slot. Weighted fair queueing and priorities alone would then
// serve almost none of some tenant's tickets.
func (q *Queue) Arrive(t *Ticket, now time.Time) {
	if t.arrived || !q.Shared {
		return
	}
	t.arrived = true
	q.arrivals.observe(now)
	credit := q.account(t.Tenant) + leastShare*min(1, q.rate.decayed(now)/q.arrivals.decayed(now))
	if credit >= 1 {
		t.guaranteed = true
		credit--
	}
	q.accounts[t.Tenant] = credit
}

// Refuse returns the credit of a ticket that arrived and is not served.
func (q *Queue) Refuse(t *Ticket) {
	if t.guaranteed {
		q.accounts[t.Tenant] = min(1, q.account(t.Tenant)+1)
	}
}

// settle takes the credit for a granted ticket that was not guaranteed.
func (q *Queue) settle(t *Ticket) {
	if t.arrived && !t.guaranteed {
		q.accounts[t.Tenant] = max(0, q.account(t.Tenant)-1)
	}
}

// account returns the credit of a tenant towards a guaranteed ticket. It starts at a
// different value between zero and one at each node: so the right share of a tenant's
// tickets is guaranteed over all nodes, also if each of them sees only one.
func (q *Queue) account(tenant string) float64 {
	if credit, known := q.accounts[tenant]; known {
		return credit
	}
	if q.accounts == nil || len(q.accounts) >= maxAccounts {
		q.accounts = map[string]float64{}
	}
	return float64(hash.Pair(q.Seed, tenant)>>11) / (1 << 53)
}
