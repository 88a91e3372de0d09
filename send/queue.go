package send

import (
	"context"
	"time"

	"quetzalpier"
	"quetzalpier/admit"
	"quetzalpier/board"
	"quetzalpier/poison"
	"quetzalpier/route"
)

// waiter is a job that waits for a slot.
type waiter struct {
	ticket      *admit.Ticket
	ask         route.Ask
	fingerprint uint64
	grant       chan quetzalpier.VM
}

// slot is a place on an upstream that a job holds.
type slot struct {
	vm     quetzalpier.VM
	ticket uint64
	alone  bool
}

// acquire waits for a slot for the job.
func (s *Sender) acquire(ctx context.Context, job *Job, tried map[string]bool) (slot, error) {
	start := time.Now()
	verdict := s.judge(job, start)
	if verdict == poison.Condemned {
		return slot{}, quetzalpier.Busy("poison", "copies of this request crashed upstreams that ran them", quetzalpier.RanNo, poisonAfter)
	}
	if job.Bold {
		verdict = poison.Free
	}
	if s.empty(job) {
		return slot{}, quetzalpier.Busy("empty", "the pool has no upstream now", quetzalpier.RanNo, s.Spread(emptyAfter))
	}
	w := &waiter{fingerprint: job.Print, grant: make(chan quetzalpier.VM, 1)}
	s.mu.Lock()
	s.tickets++
	w.ticket = &admit.Ticket{ID: s.tickets, Class: job.Class, Tenant: job.Tenant, Weight: job.Weight, Deadline: job.Deadline}
	w.ask = route.Ask{
		Pool: job.Pool, Class: job.Class, Prefix: job.Prefix, Least: job.Least, Floor: job.Floor,
		Alone: verdict == poison.Alone, Ticket: s.tickets, Avoid: job.Avoid, Tried: tried,
	}
	q := s.queue(job.Pool)
	after, ok := q.Offer(w.ticket, start)
	if !ok {
		s.mu.Unlock()
		return slot{}, quetzalpier.Busy("queue", "the wait for a slot would be too long", quetzalpier.RanNo, s.spread(after))
	}
	s.waiters[w.ticket] = w
	s.pump(job.Pool, start)
	s.mu.Unlock()

	vm, err := s.await(ctx, w, job)
	s.Meter.Queue.WithLabelValues(job.Class.String()).Observe(time.Since(start).Seconds())
	return slot{vm: vm, ticket: w.ticket.ID, alone: w.ask.Alone}, err
}

// empty tells whether no upstream of the pool takes new work at all, so that
// waiting for a slot is in vain.
func (s *Sender) empty(job *Job) bool {
	empty := true
	s.Board.Do(func(st *board.State) {
		for _, u := range st.Upstreams {
			empty = empty && (u.VM.Pool != job.Pool || u.Leaving())
		}
	})
	return empty
}

func (s *Sender) judge(job *Job, now time.Time) (verdict poison.Verdict) {
	if job.Print == 0 {
		return poison.Free
	}
	s.Board.Do(func(st *board.State) { verdict = poison.Judge(st, job.Print, now) })
	return verdict
}

func (s *Sender) await(ctx context.Context, w *waiter, job *Job) (quetzalpier.VM, error) {
	var late <-chan time.Time
	if !job.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(job.Deadline))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case vm := <-w.grant:
		return vm, nil
	case <-ctx.Done():
	case <-late:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case vm := <-w.grant:
		// Granted in the same moment: the slot goes back unused.
		s.Board.Do(func(st *board.State) { leave(st, vm.ID, w.fingerprint, w.ticket.ID) })
		s.pump(job.Pool, time.Now())
	default:
		s.drop(w)
	}
	if ctx.Err() != nil {
		return quetzalpier.VM{}, ctx.Err()
	}
	after := s.queue(job.Pool).After(time.Now())
	return quetzalpier.VM{}, quetzalpier.Busy("queue", "no slot came free in time", quetzalpier.RanNo, s.spread(after))
}

func (s *Sender) drop(w *waiter) {
	s.queue(w.ask.Pool).Remove(w.ticket)
	delete(s.waiters, w.ticket)
	s.Board.Do(func(st *board.State) { route.Unreserve(st, w.ticket.ID) })
}

// pump grants slots to waiting jobs until none fits.
func (s *Sender) pump(pool string, now time.Time) {
	q := s.queue(pool)
	for s.grantOne(q, now) {
		continue
	}
}

func (s *Sender) grantOne(q *admit.Queue, now time.Time) bool {
	for _, ticket := range q.Heads() {
		w := s.waiters[ticket]
		vm, ok := s.place(w, now)
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

// place takes a slot on the board for the waiter.
func (s *Sender) place(w *waiter, now time.Time) (vm quetzalpier.VM, ok bool) {
	s.Board.Do(func(st *board.State) {
		if w.ask.Alone {
			if !poison.Ready(st, now) {
				return
			}
			route.Reserve(st, w.ask, now)
		}
		id, found := route.Pick(st, w.ask, now, s.rnd)
		if !found {
			return
		}
		u := st.Upstreams[id]
		u.Outstanding++
		if w.fingerprint != 0 {
			u.Prints[w.fingerprint]++
		}
		vm, ok = u.VM, true
	})
	return vm, ok
}

// leave gives a slot back.
func leave(st *board.State, id string, fingerprint, ticket uint64) {
	route.Unreserve(st, ticket)
	u := st.Upstreams[id]
	if u == nil {
		return
	}
	u.Outstanding = max(0, u.Outstanding-1)
	if fingerprint == 0 {
		return
	}
	if u.Prints[fingerprint]--; u.Prints[fingerprint] <= 0 {
		delete(u.Prints, fingerprint)
	}
}
