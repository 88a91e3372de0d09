// Package send dispatches requests to upstreams. It queues and attempts them
// according to the decisions of packages admit, route, retry and poison.
package send

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/admit"
	"quetzalpier/board"
	"quetzalpier/engine"
	"quetzalpier/link"
	"quetzalpier/meter"
	"quetzalpier/pace"
	"quetzalpier/poison"
	"quetzalpier/retry"
	"quetzalpier/route"
	"quetzalpier/share"
	"quetzalpier/sleep"
)

const (
	// poisonRetryAfter is the retry delay sent with the refusal of a blocked
	// request.
	poisonRetryAfter = 10 * time.Minute
	// emptyPoolRetryAfter is the retry delay sent when a pool has no upstreams.
	emptyPoolRetryAfter = time.Second
	// partitionedRetryAfter is the retry delay sent while no path to a pool's upstreams is
	// known. Nodes are asked for one again after less than that.
	partitionedRetryAfter = time.Second
	grantInterval         = 100 * time.Millisecond
	// unitTimeSmoothing is the weight of a new sample in the moving average of an
	// upstream's time per token or call.
	unitTimeSmoothing = 0.2
)

// Job is a request to run on one upstream of a pool.
type Job struct {
	Pool  string
	Class quetzalpier.Class
	// Priority precedes the class; zero is the highest.
	Priority   int
	Tenant     string
	Weight     float64
	Deadline   time.Time
	Idempotent bool
	// Fingerprint is the request's fingerprint; zero for requests that have none.
	Fingerprint uint64
	// SkipTrial jobs share an upstream even if they are suspected of causing
	// crashes, because they can't wait for a trial run.
	SkipTrial bool
	Prefix    uint64
	// PromptTokens is the length of the prompt; zero if unknown.
	PromptTokens int
	// PreferredVersion is the lowest weight version wanted, and MinVersion the
	// lowest one accepted; see route.Request.
	PreferredVersion quetzalpier.Version
	MinVersion       quetzalpier.Version
	// Software is the software version that the upstream must have; empty for any. An
	// AttemptFunc may set it for the attempts after it.
	Software string
	// Avoid is the set of upstreams that must not be used.
	Avoid map[string]bool
	// MaxAttempts limits the number of attempts; zero uses the retry package's
	// limit.
	MaxAttempts int
	// Timeout is the time that the request's route gives; zero if that is not limited.
	// Where customers compete, a request with less time left has come back.
	Timeout time.Duration
}

// Attempt is one try of a job on one upstream.
type Attempt struct {
	VM quetzalpier.VM
	// Fresh requires a newly opened connection.
	Fresh bool
	// Units is set by the AttemptFunc to the number of completed tokens or calls.
	Units int
	// Version is set by the AttemptFunc to the weight version of the last token
	// received.
	Version quetzalpier.Version
}

// AttemptFunc makes one attempt and sets its results.
type AttemptFunc func(ctx context.Context, a *Attempt) error

// Sender queues jobs and runs them on upstreams.
type Sender struct {
	Board *board.Board
	Links *link.Links
	Meter *meter.Meter
	// OnStrikes is called with the fingerprints that gained a strike because they
	// were in flight on a crashed upstream, before Do returns to the caller.
	OnStrikes func(fingerprints []uint64)

	seed    uint64
	mu      sync.Mutex
	rnd     *rand.Rand
	queues  map[string]*admit.Queue
	waiters map[*admit.Ticket]*waiter
	budgets map[string]*retry.Budget
	usages  map[string]*share.Usage
	tickets uint64
}

// New returns a sender whose random choices are seeded with seed.
func New(b *board.Board, links *link.Links, m *meter.Meter, seed uint64) *Sender {
	return &Sender{
		Board: b, Links: links, Meter: m,
		OnStrikes: func([]uint64) {},
		seed:      seed,
		rnd:       rand.New(rand.NewPCG(seed, seed)),
		queues:    map[string]*admit.Queue{},
		waiters:   map[*admit.Ticket]*waiter{},
		budgets:   map[string]*retry.Budget{},
		usages:    map[string]*share.Usage{},
	}
}

// Run grants slots periodically and whenever the board changes, until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	tick := time.NewTicker(grantInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.Board.Changed():
		}
		s.mu.Lock()
		for pool := range s.queues {
			s.grantSlots(pool, time.Now())
		}
		s.mu.Unlock()
	}
}

// QueueLen returns the number of jobs queued for a slot of the pool.
func (s *Sender) QueueLen(pool string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poolQueue(pool).Len()
}

// Do attempts the job until an attempt succeeds or no further one is allowed.
// The error is a Refusal, the AttemptFunc's own final error, or the context's.
func (s *Sender) Do(ctx context.Context, job *Job, run AttemptFunc) error {
	tried := map[string]bool{}
	s.withBudget(job.Pool, (*retry.Budget).Earn)
	ran := quetzalpier.RanNo
	var unused *admit.Ticket
	for attempts := 1; ; attempts++ {
		held, err := s.acquire(ctx, job, tried, unused)
		if err != nil {
			return withRan(s.sharedRefusal(job, err, time.Now()), ran)
		}
		a := &Attempt{VM: held.vm, Fresh: attempts > 1 || !job.Idempotent}
		start := time.Now()
		trial := s.startTrialTimer(held)
		err = run(ctx, a)
		trial.Stop()
		var limited *quetzalpier.LimitedError
		if errors.As(err, &limited) && ctx.Err() == nil {
			s.releaseUnsent(job, held, time.Now())
			attempts--
			unused = held.ticket
			continue
		}
		unused = nil
		s.finishAttempt(ctx, job, held, a, start, err)
		if err == nil || ctx.Err() != nil {
			return err
		}
		f := describeFailure(job, err, attempts)
		f.Declined = s.declined(err) && s.othersUntried(job, tried, held.vm.ID)
		ran = combineRan(ran, f.Ran)
		if noPath := (*quetzalpier.NoPathError)(nil); errors.As(err, &noPath) && noPath.Partitioned {
			return quetzalpier.Unavailable("path", "neither this node nor those that it asked reach an upstream of the pool", ran, s.Jitter(partitionedRetryAfter))
		}
		decision := s.decideRetry(job.Pool, f, time.Now())
		if !decision.Retry {
			return s.sharedRefusal(job, s.finalError(err, f, ran, decision.Reason), time.Now())
		}
		tried[held.vm.ID] = true
		if !sleep.For(ctx, decision.Backoff) {
			return ctx.Err()
		}
	}
}

// startTrialTimer starts a timer that opens the upstream to other requests once
// a suspect request has run alone for poison.TrialDuration.
func (s *Sender) startTrialTimer(held slot) *time.Timer {
	if !held.alone {
		return time.NewTimer(0)
	}
	return time.AfterFunc(poison.TrialDuration, func() {
		s.Board.Update(func(st *board.State) { route.Unreserve(st, held.ticket.ID) })
	})
}

// releaseUnsent releases the slot of an attempt that was not sent.
func (s *Sender) releaseUnsent(job *Job, held slot, now time.Time) {
	s.Board.Do(func(st *board.State) { releaseSlot(st, held.vm.ID, job.Fingerprint, held.ticket.ID) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage(job.Pool).Release(held.ticket, now)
	s.grantSlots(job.Pool, now)
}

// finishAttempt releases the slot and records the attempt's outcome on the board
// and in the metrics.
func (s *Sender) finishAttempt(ctx context.Context, job *Job, held slot, a *Attempt, start time.Time, err error) {
	now := time.Now()
	id := held.vm.ID
	declined := s.declined(err)
	crashed := err != nil && ctx.Err() == nil && s.isCrash(held.vm, err)
	var struck []uint64
	s.Board.Update(func(st *board.State) {
		if crashed {
			struck = s.recordCrash(st, id, now)
		}
		releaseSlot(st, id, job.Fingerprint, held.ticket.ID)
		// An interrupted attempt also shows which version the upstream serves.
		if u := st.Upstreams[id]; u != nil && a.Units > 0 && a.Version > 0 {
			u.TokenVersion, u.TokenAt = a.Version, now
		}
		switch {
		case err == nil:
			retry.RecordSuccess(st, id)
			poison.RecordCompletion(st, job.Fingerprint)
			s.updateUnitTime(st, id, a, now.Sub(start), now)
		case ctx.Err() == nil && isUpstreamFault(err) && !(declined && reportsFull(st.Upstreams[id], start)):
			retry.RecordFailure(st, id, now)
		}
	})
	if len(struck) > 0 {
		s.Meter.Crashes.WithLabelValues(job.Pool).Inc()
		s.OnStrikes(struck)
	}
	s.Meter.Attempts.WithLabelValues(job.Pool, outcomeLabel(ctx, err)).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage(job.Pool).Release(held.ticket, now)
	// A stream that brought events was not late for a queue.
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && err != nil && a.Units == 0 {
		s.recordLate(job, id, start, now)
	}
	if err == nil && a.Units == 1 {
		s.observeService(job.Pool, id, start, now)
	}
	s.refusePassed(job.Pool, now)
	s.grantSlots(job.Pool, now)
}

// recordCrash records a crash of the upstream for all fingerprints in flight and
// returns those that gained a strike. It clears them, so that a crash counts once.
func (s *Sender) recordCrash(st *board.State, id string, now time.Time) []uint64 {
	u := st.Upstreams[id]
	if u == nil {
		return nil
	}
	fingerprints := make([]uint64, 0, len(u.Fingerprints))
	for fingerprint := range u.Fingerprints {
		fingerprints = append(fingerprints, fingerprint)
	}
	u.Fingerprints = map[uint64]int{}
	return poison.RecordCrash(st, fingerprints, now)
}

// isCrash reports whether the upstream's process ended during the attempt: the
// connection broke and a new one is refused.
func (s *Sender) isCrash(vm quetzalpier.VM, err error) bool {
	var linkErr *link.Error
	var cutErr *engine.CutError
	if errors.As(err, &linkErr) && (linkErr.Silent || linkErr.PathLost || linkErr.Sent == 0) {
		return false
	}
	if linkErr == nil && !errors.As(err, &cutErr) {
		return false
	}
	return s.Links.RefusesConnection(context.Background(), vm.ID, vm.Addr)
}

func (s *Sender) updateUnitTime(st *board.State, id string, a *Attempt, took time.Duration, now time.Time) {
	u := st.Upstreams[id]
	if u == nil || a.Units <= 0 {
		return
	}
	unit := took / time.Duration(a.Units)
	if pace.Noisy(u) {
		pace.ObserveUnit(u, unit, now)
		return
	}
	if u.UnitTime == 0 {
		u.UnitTime = unit
		return
	}
	u.UnitTime += time.Duration(unitTimeSmoothing * float64(unit-u.UnitTime))
}

func describeFailure(job *Job, err error, attempts int) retry.Failure {
	f := retry.Failure{
		Ran: quetzalpier.RanUnknown, Idempotent: job.Idempotent,
		Attempts: attempts, MaxAttempts: job.MaxAttempts, Deadline: job.Deadline,
	}
	var linkErr *link.Error
	var status *engine.StatusError
	switch {
	case errors.As(err, &status):
		declined := status.NotRun || overloaded(status.Status)
		f.Final = !declined
		f.Ran = quetzalpier.RanYes
		if declined {
			f.Ran = quetzalpier.RanNo
		}
	case errors.As(err, &linkErr):
		f.Ran, f.PathLost = linkErr.Ran(), linkErr.PathLost
	}
	return f
}

// finalError returns the error of a job that is not retried.
func (s *Sender) finalError(err error, f retry.Failure, ran quetzalpier.Ran, reason retry.Reason) error {
	if f.Final {
		return err
	}
	detail := fmt.Sprintf("no upstream gave a whole answer after %d attempts, not retried for %q: %v", f.Attempts, reason, err)
	return quetzalpier.Unavailable("upstream", detail, ran, s.Jitter(time.Second))
}

func (s *Sender) decideRetry(pool string, f retry.Failure, now time.Time) (decision retry.Decision) {
	s.withBudget(pool, func(b *retry.Budget) { decision = retry.Decide(f, b, now) })
	return decision
}

func (s *Sender) withBudget(pool string, f func(*retry.Budget)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[pool]
	if b == nil {
		b = &retry.Budget{}
		s.budgets[pool] = b
	}
	f(b)
}

func (s *Sender) poolQueue(pool string) *admit.Queue {
	q := s.queues[pool]
	if q == nil {
		q = &admit.Queue{Seed: s.seed}
		s.queues[pool] = q
	}
	return q
}

// Jitter adds up to 50% jitter to a retry delay, so that callers don't retry at
// the same time.
func (s *Sender) Jitter(after time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jitter(after)
}

func (s *Sender) jitter(after time.Duration) time.Duration {
	return after + time.Duration(s.rnd.Float64()*float64(after)/2)
}

// combineRan combines what two attempts say about whether the request ran: yes
// takes precedence over unknown, and unknown over no.
func combineRan(a, b quetzalpier.Ran) quetzalpier.Ran {
	if a == quetzalpier.RanNo {
		return b
	}
	if a == quetzalpier.RanYes || b == quetzalpier.RanYes {
		return quetzalpier.RanYes
	}
	return a
}

// withRan sets a refusal's Ran to the result of the earlier attempts, unless none
// of them can have run.
func withRan(err error, ran quetzalpier.Ran) error {
	var refusal *quetzalpier.Refusal
	if !errors.As(err, &refusal) || ran == quetzalpier.RanNo {
		return err
	}
	corrected := *refusal
	corrected.Ran = ran
	return &corrected
}

func overloaded(status int) bool { return status == 429 || status == 503 }

// isUpstreamFault reports whether the error counts as a failure of the upstream.
func isUpstreamFault(err error) bool {
	var status *engine.StatusError
	var linkErr *link.Error
	var noPath *quetzalpier.NoPathError
	switch {
	case errors.As(err, &status):
		return status.Status >= 500
	case errors.As(err, &noPath):
		return !noPath.Partitioned
	case errors.As(err, &linkErr):
		return !linkErr.PathLost
	}
	return true
}

func outcomeLabel(ctx context.Context, err error) string {
	switch {
	case err == nil:
		return "ok"
	case ctx.Err() != nil:
		return "canceled"
	default:
		return "failed"
	}
}
