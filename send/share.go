package send

import (
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/admit"
	"quetzalpier/board"
	"quetzalpier/engine"
	"quetzalpier/platform"
	"quetzalpier/share"
)

// isShared reports whether customers compete for the pool.
func (s *Sender) isShared() (shared bool) {
	s.Board.Do(func(st *board.State) { shared = share.Active(&st.Config) })
	return shared
}

// admitShared decides whether a ticket may wait in the queue of a pool for which customers
// compete. The caller holds s.mu.
func (s *Sender) admitShared(q *admit.Queue, t *admit.Ticket, job *Job, now time.Time) (d share.Decision) {
	ask := share.Ask{Pool: job.Pool, Software: job.Software, Timeout: job.Timeout, Draw: s.rnd.Float64()}
	s.Board.Do(func(st *board.State) { d = share.Admit(st, q, s.usage(job.Pool), t, ask, now) })
	return d
}

// refusePassed refuses the queued jobs that others have passed, so that they can't be
// granted in time any more. The caller holds s.mu.
func (s *Sender) refusePassed(pool string, now time.Time) {
	q := s.poolQueue(pool)
	if !q.Shared || q.Len() == 0 {
		return
	}
	var backlog share.Backlog
	s.Board.Do(func(st *board.State) { backlog = share.NewBacklog(st, s.usage(pool), pool, "", now) })
	late := func(t *admit.Ticket, ahead int) bool {
		latest := q.LatestStart(t)
		return !latest.IsZero() && now.Add(backlog.Wait(ahead)).After(latest)
	}
	for _, ticket := range q.RemoveLate(late) {
		w := s.waiters[ticket]
		s.removeWaiter(w)
		w.refusal <- quetzalpier.Unavailable("queue", "others are served first and the wait would be too long", quetzalpier.RanNo, s.jitter(q.RetryAfter(now)))
	}
}

// sharedRefusal counts the refusal of a job for which customers compete, and sets when its
// client should come back. Any other error is returned as it is.
func (s *Sender) sharedRefusal(job *Job, err error, now time.Time) error {
	var refusal *quetzalpier.Refusal
	if !errors.As(err, &refusal) || !s.isShared() {
		return err
	}
	reason := refusal.Type
	switch reason {
	case "queue", "limit", "upstream":
	default:
		return err
	}
	var refused *admissionError
	if errors.As(err, &refused) {
		reason = string(refused.reason)
	}
	s.Meter.CountShortage(job.Tenant, reason)
	left := job.Deadline.Sub(now)
	if job.Deadline.IsZero() || left <= 0 {
		return refusal
	}
	spread := *refusal
	s.mu.Lock()
	defer s.mu.Unlock()
	spread.RetryAfter = share.ReturnAfter(left, s.rnd.Float64())
	return &spread
}

// admissionError is the refusal of a job that may not wait.
type admissionError struct {
	reason  share.Reason
	refusal error
}

// Error implements error.
func (e *admissionError) Error() string { return e.refusal.Error() }

// Unwrap returns the refusal.
func (e *admissionError) Unwrap() error { return e.refusal }

// RecordShared records the load that an upstream reported, where customers compete for the
// pool.
func (s *Sender) RecordShared(id string, answer *platform.Answer, now time.Time) {
	s.recordShared(id, answer, false, now)
}

// RecordDecline records the load that an upstream reported when it refused an attempt
// before it ran, where customers compete for the pool. Answer may be nil.
func (s *Sender) RecordDecline(id string, answer *platform.Answer, err error, now time.Time) {
	if err != nil && answer != nil && s.declined(err) {
		s.recordShared(id, answer, true, now)
	}
}

func (s *Sender) recordShared(id string, answer *platform.Answer, declined bool, now time.Time) {
	if !answer.Load.Known || !s.isShared() {
		return
	}
	s.Board.Do(func(st *board.State) {
		if u := st.Upstreams[id]; u != nil {
			share.RecordLoad(u, answer.Load.Running, answer.Load.Waiting, declined, now)
		}
	})
}

// declined reports whether an upstream refused an attempt for which customers compete
// before it ran.
func (s *Sender) declined(err error) bool {
	var status *engine.StatusError
	return errors.As(err, &status) && status.NotRun && s.isShared()
}

// reportsFull reports whether the upstream has reported a queue since a time.
func reportsFull(u *board.Upstream, since time.Time) bool {
	return u != nil && u.Report.Queued > 0 && !u.ReportAt.Before(since)
}

// othersUntried reports whether an upstream besides the last one has not been tried.
func (s *Sender) othersUntried(job *Job, tried map[string]bool, last string) (found bool) {
	s.Board.Do(func(st *board.State) {
		for id, u := range st.Upstreams {
			found = found || id != last && !tried[id] && u.VM.Pool == job.Pool && !u.Leaving() && (job.Software == "" || u.VM.Software == job.Software)
		}
	})
	return found
}

// observeService records how long an upstream took for a request. The caller holds s.mu.
func (s *Sender) observeService(pool, id string, start, now time.Time) {
	q, took := s.poolQueue(pool), now.Sub(start)
	if !q.Shared {
		q.ObserveService(took)
		return
	}
	slots, waiting := 1, 0
	s.Board.Do(func(st *board.State) {
		if u := st.Upstreams[id]; u != nil && !u.ReportAt.Before(start) {
			slots, waiting = max(1, u.VM.Slots), u.Report.Queued
		}
	})
	q.ObserveService(s.usage(pool).ObserveService(took, slots, waiting))
}

// recordLate records that an upstream did not answer a request before its deadline, where
// customers compete for the pool. The caller holds s.mu.
func (s *Sender) recordLate(job *Job, id string, start, now time.Time) {
	if !s.poolQueue(job.Pool).Shared {
		return
	}
	s.Board.Do(func(st *board.State) {
		if u := st.Upstreams[id]; u != nil {
			s.usage(job.Pool).RecordLate(u, max(1, u.VM.Slots), now.Sub(start), now)
		}
	})
}

func (s *Sender) usage(pool string) *share.Usage {
	u := s.usages[pool]
	if u == nil {
		u = &share.Usage{}
		s.usages[pool] = u
	}
	return u
}
