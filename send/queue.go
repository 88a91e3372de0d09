package send

import (
	"context"
	"fmt"
	"time"

	"quetzalpier"
	"quetzalpier/admit"
	"quetzalpier/board"
	"quetzalpier/limit"
	"quetzalpier/poison"
	"quetzalpier/route"
)

// waiter is a job in the queue for a slot.
type waiter struct {
	ticket      *admit.Ticket
	request     route.Request
	fingerprint uint64
	grant       chan quetzalpier.VM
	// refusal receives the error of a job that can't be granted in time any more.
	refusal chan error
}

// slot is a unit of an upstream's capacity that a job occupies.
type slot struct {
	vm     quetzalpier.VM
	ticket *admit.Ticket
	// alone is set for the trial run of a suspect request, which gets an upstream
	// for itself.
	alone bool
}

// limitMargin is the factor by which a wait for limits may exceed its estimate: permits
// are granted to the nodes in turn, but not exactly.
const limitMargin = 1.5

// minLimitRetryAfter is the least retry delay sent with a refusal for limits.
const minLimitRetryAfter = 250 * time.Millisecond

// acquire queues the job and blocks until it gets a slot, is refused, or its
// deadline or ctx ends. A job whose slot was not used, since the upstream's limit was
// used up, keeps its ticket.
func (s *Sender) acquire(ctx context.Context, job *Job, tried map[string]bool, unused *admit.Ticket) (slot, error) {
	start := time.Now()
	verdict := s.poisonVerdict(job, start)
	if verdict == poison.Blocked {
		return slot{}, quetzalpier.Unavailable("poison", "copies of this request crashed upstreams that ran them", quetzalpier.RanNo, poisonRetryAfter)
	}
	if job.SkipTrial {
		verdict = poison.Allowed
	}
	if s.poolEmpty(job) {
		return slot{}, quetzalpier.Unavailable("empty", "the pool has no upstream now", quetzalpier.RanNo, s.Jitter(emptyPoolRetryAfter))
	}
	w := &waiter{fingerprint: job.Fingerprint, grant: make(chan quetzalpier.VM, 1), refusal: make(chan error, 1)}
	s.mu.Lock()
	w.ticket = unused
	if unused == nil {
		s.tickets++
		w.ticket = &admit.Ticket{ID: s.tickets, Class: job.Class, Priority: job.Priority, Tenant: job.Tenant, Weight: job.Weight, Deadline: job.Deadline}
	}
	w.request = route.Request{
		Pool: job.Pool, Class: job.Class, Prefix: job.Prefix, PromptTokens: job.PromptTokens, PreferredVersion: job.PreferredVersion, MinVersion: job.MinVersion, Software: job.Software,
		Alone: verdict == poison.Isolated, Ticket: w.ticket.ID, Avoid: job.Avoid, Tried: tried,
	}
	q := s.poolQueue(job.Pool)
	shared := s.isShared()
	q.Shared = shared
	if unused != nil {
		q.Requeue(unused)
	} else if refusal := s.enqueue(q, w.ticket, job, start); refusal != nil {
		s.mu.Unlock()
		return slot{}, refusal
	}
	s.waiters[w.ticket] = w
	s.refusePassed(job.Pool, start)
	if unused != nil {
		s.refuseLate(job.Pool, start)
	}
	s.grantSlots(job.Pool, start)
	s.mu.Unlock()

	vm, err := s.awaitGrant(ctx, w, job)
	if shared && err == nil {
		s.Meter.CountGrant(job.Tenant, time.Since(start))
	}
	s.Meter.QueueTime.WithLabelValues(job.Class.String()).Observe(time.Since(start).Seconds())
	return slot{vm: vm, ticket: w.ticket, alone: w.request.Alone}, err
}

// enqueue adds a ticket to the queue. It returns a refusal if the ticket is not expected
// to be granted in time. The caller holds s.mu.
func (s *Sender) enqueue(q *admit.Queue, ticket *admit.Ticket, job *Job, now time.Time) error {
	if estimate, limited := s.limitEstimate(job.Pool, now); limited {
		if wait := estimate.Wait(q.CountAhead(ticket)); comesLate(q, ticket, wait, now) {
			return s.limitRefusal(wait)
		}
	}
	if q.Shared {
		if d := s.admitShared(q, ticket, job, now); d.Reason != "" {
			detail := fmt.Sprintf("%q can't be served in time; %s", job.Tenant, d)
			return &admissionError{d.Reason, quetzalpier.Unavailable("queue", detail, quetzalpier.RanNo, s.jitter(q.RetryAfter(now)))}
		}
	}
	if after, ok := q.Enqueue(ticket, now); !ok {
		return quetzalpier.Unavailable("queue", "the wait for a slot would be too long", quetzalpier.RanNo, s.jitter(after))
	}
	return nil
}

// refuseLate refuses the queued jobs that the limits of the pool's upstreams leave no room
// for before their deadlines. The caller holds s.mu.
func (s *Sender) refuseLate(pool string, now time.Time) {
	estimate, limited := s.limitEstimate(pool, now)
	if !limited {
		return
	}
	q := s.poolQueue(pool)
	for _, ticket := range q.RemoveLate(func(t *admit.Ticket, ahead int) bool { return comesLate(q, t, estimate.Wait(ahead), now) }) {
		w := s.waiters[ticket]
		s.removeWaiter(w)
		w.refusal <- s.limitRefusal(estimate.Wait(q.CountAhead(ticket)))
	}
}

func (s *Sender) limitEstimate(pool string, now time.Time) (estimate limit.Estimate, limited bool) {
	s.Board.Do(func(st *board.State) { estimate, limited = limit.NewEstimate(st, pool, now) })
	return estimate, limited
}

// limitRefusal returns the refusal of a job that would wait too long for a limit.
func (s *Sender) limitRefusal(wait time.Duration) error {
	return quetzalpier.Unavailable("limit", "the limits of the pool's upstreams leave no room in time", quetzalpier.RanNo, s.jitter(max(wait, minLimitRetryAfter)))
}

// comesLate reports whether a ticket that waits for limits is granted too late.
func comesLate(q *admit.Queue, t *admit.Ticket, wait time.Duration, now time.Time) bool {
	latest := q.LatestStart(t)
	return !latest.IsZero() && now.Add(time.Duration(limitMargin*float64(wait))).After(latest)
}

// poolEmpty reports whether no upstream of the pool, with the job's software version,
// accepts new work, in which case queueing is pointless.
func (s *Sender) poolEmpty(job *Job) bool {
	empty := true
	s.Board.Do(func(st *board.State) {
		for _, u := range st.Upstreams {
			empty = empty && (u.VM.Pool != job.Pool || u.Leaving() || job.Software != "" && u.VM.Software != job.Software)
		}
	})
	return empty
}

func (s *Sender) poisonVerdict(job *Job, now time.Time) (verdict poison.Verdict) {
	if job.Fingerprint == 0 {
		return poison.Allowed
	}
	s.Board.Do(func(st *board.State) { verdict = poison.Check(st, job.Fingerprint, now) })
	return verdict
}

func (s *Sender) awaitGrant(ctx context.Context, w *waiter, job *Job) (quetzalpier.VM, error) {
	var expired <-chan time.Time
	if !job.Deadline.IsZero() {
		s.mu.Lock()
		latest := s.poolQueue(job.Pool).LatestStart(w.ticket)
		s.mu.Unlock()
		timer := time.NewTimer(time.Until(latest))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case vm := <-w.grant:
		return vm, nil
	case err := <-w.refusal:
		return quetzalpier.VM{}, err
	case <-ctx.Done():
	case <-expired:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case vm := <-w.grant:
		// The grant raced with the timeout: release the unused slot.
		s.Board.Do(func(st *board.State) { releaseSlot(st, vm.ID, w.fingerprint, w.ticket.ID) })
		s.usage(job.Pool).Release(w.ticket, time.Now())
		s.grantSlots(job.Pool, time.Now())
	default:
		s.removeWaiter(w)
	}
	if ctx.Err() != nil {
		return quetzalpier.VM{}, ctx.Err()
	}
	after := s.poolQueue(job.Pool).RetryAfter(time.Now())
	return quetzalpier.VM{}, quetzalpier.Unavailable("queue", "no slot came free in time", quetzalpier.RanNo, s.jitter(after))
}

func (s *Sender) removeWaiter(w *waiter) {
	s.poolQueue(w.request.Pool).Remove(w.ticket)
	delete(s.waiters, w.ticket)
	s.Board.Do(func(st *board.State) { route.Unreserve(st, w.ticket.ID) })
}

// grantSlots grants slots to queued jobs until none can be placed. The caller
// holds s.mu.
func (s *Sender) grantSlots(pool string, now time.Time) {
	q := s.poolQueue(pool)
	for s.grantOne(q, now) {
		continue
	}
}

func (s *Sender) grantOne(q *admit.Queue, now time.Time) bool {
	for _, ticket := range q.Heads() {
		w := s.waiters[ticket]
		w.request.Spread = ticket.Spread
		vm, ok := s.takeSlot(w, now)
		if !ok {
			continue
		}
		q.Grant(ticket, now)
		if q.Shared {
			s.usage(w.request.Pool).Place(ticket, now)
		}
		delete(s.waiters, ticket)
		w.grant <- vm
		return true
	}
	return false
}

// takeSlot picks an upstream for the waiter and records the slot on the board.
func (s *Sender) takeSlot(w *waiter, now time.Time) (vm quetzalpier.VM, ok bool) {
	s.Board.Do(func(st *board.State) {
		if w.request.Alone {
			if !poison.TrialAllowed(st, now) {
				return
			}
			route.Reserve(st, w.request, now)
		}
		id, found := route.Pick(st, w.request, now, s.rnd)
		if !found {
			return
		}
		u := st.Upstreams[id]
		u.Outstanding++
		limit.Hold(u, now)
		if w.fingerprint != 0 {
			u.Fingerprints[w.fingerprint]++
		}
		vm, ok = u.VM, true
	})
	return vm, ok
}

// releaseSlot frees a slot on an upstream and drops its reservation.
func releaseSlot(st *board.State, id string, fingerprint, ticket uint64) {
	route.Unreserve(st, ticket)
	u := st.Upstreams[id]
	if u == nil {
		return
	}
	u.Outstanding = max(0, u.Outstanding-1)
	if fingerprint == 0 {
		return
	}
	if u.Fingerprints[fingerprint]--; u.Fingerprints[fingerprint] <= 0 {
		delete(u.Fingerprints, fingerprint)
	}
}
