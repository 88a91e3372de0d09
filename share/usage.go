package share

import (
	"math"
	"time"

	"quetzalpier/admit"
)

const (
	// usageHalfLife is the half-life of the weight of a request in the usage.
	usageHalfLife = 5 * time.Second
	// seenLately is the weight from which a priority or a customer counts as in use: one
	// request within the last two half-lives.
	seenLately = 0.25
	// activeInterval is how often the customers seen lately are counted.
	activeInterval = usageHalfLife / 50
	// maxCustomers bounds the number of customers whose usage is kept.
	maxCustomers = 4096
	// serviceSmoothing is the weight of a new observation in the mean service time.
	serviceSmoothing = 0.1
	// serviceFall is the weight of one below the mean: a longer one may have waited behind a
	// burst that was gone when the answer reported the queue.
	serviceFall = 0.5
)

// Usage is what a node has seen lately of the requests for a pool.
type Usage struct {
	// queuedReports is the number of the latest reports that all named a queue, and
	// queuedSince the time of the first of them.
	queuedReports int
	queuedSince   time.Time
	// Service is the mean time for which an upstream runs a request, without the wait in
	// its queue; zero while unknown.
	Service time.Duration

	// meanTook and meanRounds are the means of the time at upstreams, and of the number of
	// service times that it consists of by their reports.
	meanTook   float64
	meanRounds float64
	customers  map[string]count
	priorities map[int]count
	total      count
	// active is the number of customers seen lately, as of activeAt.
	active   int
	activeAt time.Time
	// placed are the tickets of this node's requests at the upstreams, quiet is the time
	// during which there were none, and quietSince when the present such time began.
	placed     map[*admit.Ticket]bool
	quiet      time.Duration
	quietSince time.Time
	// reports are the last reports of upstreams.
	reports map[string]seenReport
}

// seenReport is a report, known by its time, and how long the node had been quiet then.
type seenReport struct {
	at    time.Time
	quiet time.Duration
}

// count is an exponentially decaying number of events.
type count struct {
	sum float64
	at  time.Time
}

func (c count) value(now time.Time) float64 {
	return c.sum * math.Exp2(-float64(max(0, now.Sub(c.at)))/float64(usageHalfLife))
}

func (c count) plusOne(now time.Time) count { return count{c.value(now) + 1, now} }

// Arrive counts a request.
func (u *Usage) Arrive(customer string, priority int, now time.Time) {
	if u.customers == nil {
		u.customers, u.priorities = map[string]count{}, map[int]count{}
	}
	if len(u.customers) >= maxCustomers {
		u.dropIdle(now)
	}
	u.customers[customer] = u.customers[customer].plusOne(now)
	u.priorities[priority] = u.priorities[priority].plusOne(now)
	u.total = u.total.plusOne(now)
}

func (u *Usage) dropIdle(now time.Time) {
	for name, c := range u.customers {
		if c.value(now) < seenLately {
			delete(u.customers, name)
		}
	}
	if len(u.customers) >= maxCustomers {
		clear(u.customers)
	}
}

// Place records that the ticket's request is at an upstream, until Release.
func (u *Usage) Place(t *admit.Ticket, now time.Time) {
	if u.placed == nil {
		u.placed = map[*admit.Ticket]bool{}
	}
	u.quiet = u.quietTime(now)
	u.placed[t] = true
}

// Release records that the ticket's request is no longer at an upstream.
func (u *Usage) Release(t *admit.Ticket, now time.Time) {
	if !u.placed[t] {
		return
	}
	delete(u.placed, t)
	u.quietSince = now
}

// quietTime returns for how long this node had no request at the upstreams so far.
func (u *Usage) quietTime(now time.Time) time.Duration {
	if u.quietSince.IsZero() {
		u.quietSince = now
	}
	if len(u.placed) > 0 {
		return u.quiet
	}
	return u.quiet + max(0, now.Sub(u.quietSince))
}

// placedBefore returns the number of this node's requests at the upstreams with at least an
// allowance. Those with a lower one leave room to the request that has it.
func (u *Usage) placedBefore(allowance float64) int {
	n := 0
	for t := range u.placed {
		if t.Allowance >= allowance {
			n++
		}
	}
	return n
}

// ObserveService updates the service time with a request that took a time at an upstream
// with this number of slots and of waiting requests, which is what it waited behind in the
// mean. It returns the new service time.
func (u *Usage) ObserveService(took time.Duration, slots, waiting int) time.Duration {
	rounds := 1 + float64(waiting)/float64(max(1, slots))
	if u.meanRounds == 0 {
		u.meanTook, u.meanRounds = float64(took), rounds
	}
	weight := serviceSmoothing
	if float64(took)/rounds < float64(u.Service) {
		weight = serviceFall
	}
	u.meanTook += weight * (float64(took) - u.meanTook)
	u.meanRounds += weight * (rounds - u.meanRounds)
	u.Service = time.Duration(u.meanTook / u.meanRounds)
	return u.Service
}

// observeLate raises the service time to what a request shows that was not answered in the
// given time.
func (u *Usage) observeLate(took time.Duration, slots, waiting int) {
	rounds := 1 + float64(waiting)/float64(max(1, slots))
	if float64(took)/rounds <= float64(u.Service) {
		return
	}
	if u.meanRounds == 0 {
		u.meanTook, u.meanRounds = float64(took), rounds
	}
	u.meanTook += (float64(took) - u.meanTook) / 2
	u.meanRounds += (rounds - u.meanRounds) / 2
	u.Service = time.Duration(u.meanTook / u.meanRounds)
}

// excess returns the customer's share of the recent requests as a multiple of an equal
// share for each customer seen lately.
func (u *Usage) excess(customer string, now time.Time) float64 {
	total := u.total.value(now)
	if total == 0 {
		return 0
	}
	return u.customers[customer].value(now) / total * float64(u.countActive(now))
}

// countActive returns the number of customers seen lately, at least one.
func (u *Usage) countActive(now time.Time) int {
	if u.active == 0 || now.Sub(u.activeAt) >= activeInterval {
		u.active, u.activeAt = 0, now
		for _, c := range u.customers {
			if c.value(now) >= seenLately {
				u.active++
			}
		}
	}
	return max(1, u.active)
}

// rank returns how many of the priorities seen lately, at least one, are higher, and the
// number of all.
func (u *Usage) rank(priority int, now time.Time) (higher, all int) {
	all = 1
	for other, c := range u.priorities {
		if other == priority || c.value(now) < seenLately {
			continue
		}
		all++
		if other < priority {
			higher++
		}
	}
	return higher, all
}
