// Package retry decides whether to retry a failed attempt, and ejects upstreams
// after repeated failures.
package retry

import (
	"time"

	"quetzalpier"
	"quetzalpier/board"
)

const (
	// earnPerRequest is the fraction of a retry that each first attempt adds to the
	// budget.
	earnPerRequest = 0.08
	// maxBudget is the upper limit of a budget, and its initial balance.
	maxBudget = 10
	// maxAttempts is the maximum number of attempts of one request.
	maxAttempts = 3
	// backoffBase is the backoff before the first retry. It doubles with each
	// further attempt.
	backoffBase = 20 * time.Millisecond
)

// Budget limits the retries of one pool to a share of its requests.
type Budget struct {
	initialized bool
	balance     float64
}

// Earn adds the credit for one first attempt to the budget.
func (b *Budget) Earn() {
	b.initialize()
	b.balance = min(maxBudget, b.balance+earnPerRequest)
}

// Spend takes one retry from the budget. It reports whether one was left.
func (b *Budget) Spend() bool {
	b.initialize()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// initialize fills a new budget, so that the zero value is ready to use.
func (b *Budget) initialize() {
	if !b.initialized {
		b.initialized = true
		b.balance = maxBudget
	}
}

// Failure describes a failed attempt.
type Failure struct {
	Ran quetzalpier.Ran
	// Delivered reports whether a part of the answer has been sent to the caller.
	Delivered bool
	// Idempotent reports whether the request may run twice.
	Idempotent bool
	// Final reports whether the upstream's answer is passed on, also if it is an
	// error.
	Final bool
	// PathLost reports whether the attempt failed on the way to the upstream. Its retry adds
	// no load to the upstreams, and needs no budget.
	PathLost bool
	// Declined reports whether the upstream was full and another one has not been tried. The
	// retry adds no load to those that are full, and needs neither budget nor backoff.
	Declined bool
	// Attempts is the number of attempts made so far.
	Attempts int
	// MaxAttempts is a limit of attempts below maxAttempts; zero for none.
	MaxAttempts int
	Deadline    time.Time
}

// Decision states whether to retry after a failed attempt, and the backoff before
// the retry.
type Decision struct {
	Retry   bool
	Backoff time.Duration
	// Reason is why there is no retry.
	Reason Reason
}

// Reason is why a failed attempt is not retried.
type Reason string

// The reasons.
const (
	ReasonFinal    Reason = "final"
	ReasonAttempts Reason = "attempts"
	ReasonMayRun   Reason = "ran"
	ReasonDeadline Reason = "deadline"
	ReasonBudget   Reason = "budget"
)

// Decide decides whether to retry. A request that may have run is retried only if
// it is idempotent, and never after a part of its answer was delivered.
func Decide(f Failure, budget *Budget, now time.Time) Decision {
	switch {
	case f.Final || f.Delivered:
		return Decision{Reason: ReasonFinal}
	case f.Attempts >= maxAttempts || (f.MaxAttempts > 0 && f.Attempts >= f.MaxAttempts):
		return Decision{Reason: ReasonAttempts}
	case f.Ran != quetzalpier.RanNo && !f.Idempotent:
		return Decision{Reason: ReasonMayRun}
	}
	wait := backoffBase << (f.Attempts - 1)
	if f.Declined {
		wait = 0
	}
	if !f.Deadline.IsZero() && now.Add(wait).After(f.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !f.PathLost && !f.Declined && !budget.Spend() {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, Backoff: wait}
}

// Ejection limits.
const (
	// ejectAfter is the number of consecutive failures before an ejection.
	ejectAfter = 3
	// ejectBase and ejectMax bound the duration of an ejection, which doubles with
	// each consecutive one.
	ejectBase = 2 * time.Second
	ejectMax  = 60 * time.Second
	// ejectShare is the maximum share of a pool that may be ejected at a time.
	ejectShare = 0.5
)

// RecordFailure records a failure of an upstream, and ejects it after several
// consecutive ones if enough upstreams of its pool remain.
func RecordFailure(s *board.State, id string, now time.Time) {
	u := s.Upstreams[id]
	if u == nil {
		return
	}
	u.Health.Failures++
	if u.Health.Failures < ejectAfter || now.Before(u.Health.EjectedUntil) {
		return
	}
	pool, ejected := 0, 0
	for _, other := range s.Upstreams {
		if other.VM.Pool != u.VM.Pool {
			continue
		}
		pool++
		if now.Before(other.Health.EjectedUntil) {
			ejected++
		}
	}
	if float64(ejected+1) > ejectShare*float64(pool) {
		return
	}
	u.Health.EjectedUntil = now.Add(min(ejectMax, ejectBase<<min(u.Health.Ejections, 5)))
	u.Health.Ejections++
	u.Health.Failures = ejectAfter - 1
}

// RecordSuccess records a success, which resets the counts of consecutive failures
// and ejections.
func RecordSuccess(s *board.State, id string) {
	if u := s.Upstreams[id]; u != nil {
		u.Health.Failures = 0
		u.Health.Ejections = 0
	}
}
