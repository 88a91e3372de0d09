package send

import (
	"context"
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
}

// slot is a unit of an upstream's capacity that a job occupies.
type slot struct {
	vm     quetzalpier.VM
	ticket uint64
	// alone is set for the trial run of a suspect request, which gets an upstream
	// for itself.
	alone bool
}

// acquire queues the job and blocks until it gets a slot, is refused, or its
// deadline or ctx ends.
func (s *Sender) acquire(ctx context.Context, job *Job, tried map[string]bool) (slot, error) {
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
	w := &waiter{fingerprint: job.Fingerprint, grant: make(chan quetzalpier.VM, 1)}
	s.mu.Lock()
	s.tickets++
	w.ticket = &admit.Ticket{ID: s.tickets, Class: job.Class, Tenant: job.Tenant, Weight: job.Weight, Deadline: job.Deadline}
	w.request = route.Request{
		Pool: job.Pool, Class: job.Class, Prefix: job.Prefix, PreferredVersion: job.PreferredVersion, MinVersion: job.MinVersion, Software: job.Software,
		Alone: verdict == poison.Isolated, Ticket: s.tickets, Avoid: job.Avoid, Tried: tried,
	}
	q := s.poolQueue(job.Pool)
	if wait := s.limitWait(job, q.CountAhead(job.Class), start); !job.Deadline.IsZero() && start.Add(wait).After(q.LatestStart(w.ticket)) && wait > 0 {
		after := s.jitter(wait)
		s.mu.Unlock()
		return slot{}, quetzalpier.Unavailable("limit", "the limits of the pool's upstreams leave no room in time", quetzalpier.RanNo, after)
	}
	after, ok := q.Enqueue(w.ticket, start)
	if !ok {
		after = s.jitter(after)
		s.mu.Unlock()
		return slot{}, quetzalpier.Unavailable("queue", "the wait for a slot would be too long", quetzalpier.RanNo, after)
	}
	s.waiters[w.ticket] = w
	s.grantSlots(job.Pool, start)
	s.mu.Unlock()

	vm, err := s.awaitGrant(ctx, w, job)
	s.Meter.QueueTime.WithLabelValues(job.Class.String()).Observe(time.Since(start).Seconds())
	return slot{vm: vm, ticket: w.ticket.ID, alone: w.request.Alone}, err
}

// limitWait returns how long a job with ahead others before it waits for the limits of
// the pool's upstreams.
func (s *Sender) limitWait(job *Job, ahead int, now time.Time) (wait time.Duration) {
	s.Board.Do(func(st *board.State) { wait = limit.Wait(st, job.Pool, ahead, now) })
	return wait
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
	case <-ctx.Done():
	case <-expired:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case vm := <-w.grant:
		// The grant raced with the timeout: release the unused slot.
		s.Board.Do(func(st *board.State) { releaseSlot(st, vm.ID, w.fingerprint, w.ticket.ID) })
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
		vm, ok := s.takeSlot(w, now)
		if !ok {
			continue
		}
		q.Grant(ticket, now)
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
