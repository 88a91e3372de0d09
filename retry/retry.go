// Package retry decides whether a failed attempt is made again, and which
// upstreams are taken out after failures.
package retry

import (
	"time"

	"quetzalpier"
	"quetzalpier/board"
)

const (
	// earned is how much of a retry each first attempt pays for.
	earned = 0.08
	// budgetCap bounds the retries saved up, and is what a budget starts with.
	budgetCap = 10
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	backoffBase = 20 * time.Millisecond
)

// Budget bounds the retries of one pool to a share of its requests.
type Budget struct {
	used    bool
	balance float64
}

// Earn credits the budget with one first attempt.
func (b *Budget) Earn() {
	b.start()
	b.balance = min(budgetCap, b.balance+earned)
}

// Spend takes one retry from the budget; false if there is none left.
func (b *Budget) Spend() bool {
	b.start()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *Budget) start() {
	if !b.used {
		b.used = true
		b.balance = budgetCap
	}
}

// Failure describes a failed attempt.
type Failure struct {
	Ran quetzalpier.Ran
	// Delivered tells that a part of the answer has reached the caller.
	Delivered bool
	// Idempotent requests may run twice.
	Idempotent bool
	// Final tells that the upstream's answer stands, however it reads.
	Final bool
	// Attempts made so far.
	Attempts int
	// Most bounds the attempts further; zero for no other bound.
	Most     int
	Deadline time.Time
}

// Verdict is what to do after a failed attempt.
type Verdict struct {
	Again bool
	Wait  time.Duration
}

// Decide tells whether to try again. A request that may have run is repeated
// only if it is idempotent, and never after a part of its answer was delivered.
func Decide(f Failure, budget *Budget, now time.Time) Verdict {
	if f.Final || f.Delivered || f.Attempts >= maxAttempts || (f.Most > 0 && f.Attempts >= f.Most) {
		return Verdict{}
	}
	if f.Ran != quetzalpier.RanNo && !f.Idempotent {
		return Verdict{}
	}
	wait := backoffBase << (f.Attempts - 1)
	if !f.Deadline.IsZero() && now.Add(wait).After(f.Deadline) {
		return Verdict{}
	}
	if !budget.Spend() {
		return Verdict{}
	}
	return Verdict{Again: true, Wait: wait}
}

// Ejection limits.
const (
	ejectAfter = 3
	ejectBase  = 2 * time.Second
	ejectMax   = 60 * time.Second
	// ejectShare is the largest share of a pool that may be out at a time.
	ejectShare = 0.5
)

// Failed counts a failure of an upstream and ejects it after several in a
// row, as long as enough of its pool is left.
func Failed(s *board.State, id string, now time.Time) {
	u := s.Upstreams[id]
	if u == nil {
		return
	}
	u.Health.Failures++
	if u.Health.Failures < ejectAfter || now.Before(u.Health.EjectedUntil) {
		return
	}
	pool, out := 0, 0
	for _, other := range s.Upstreams {
		if other.VM.Pool != u.VM.Pool {
			continue
		}
		pool++
		if now.Before(other.Health.EjectedUntil) {
			out++
		}
	}
	if float64(out+1) > ejectShare*float64(pool) {
		return
	}
	u.Health.EjectedUntil = now.Add(min(ejectMax, ejectBase<<min(u.Health.Ejections, 5)))
	u.Health.Ejections++
	u.Health.Failures = ejectAfter - 1
}

// Succeeded counts a success, which ends a row of failures.
func Succeeded(s *board.State, id string) {
	if u := s.Upstreams[id]; u != nil {
		u.Health.Failures = 0
		u.Health.Ejections = 0
	}
}
