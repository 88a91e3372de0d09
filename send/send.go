// Package send carries requests to upstreams: it queues, routes, attempts,
// and follows the decisions of admit, route, retry and poison.
package send

import (
	"context"
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
	"quetzalpier/poison"
	"quetzalpier/retry"
	"quetzalpier/route"
	"quetzalpier/sleep"
)

const (
	// poisonAfter is when a condemned request may be tried again.
	poisonAfter = 10 * time.Minute
	// emptyAfter is when to come back to a pool without upstreams.
	emptyAfter = time.Second
	pumpEvery  = 100 * time.Millisecond
	// paceWeight smooths the moving average of an upstream's pace.
	paceWeight = 0.2
)

// Job is a request to be run on one upstream of a pool.
type Job struct {
	Pool       string
	Class      quetzalpier.Class
	Tenant     string
	Weight     float64
	Deadline   time.Time
	Idempotent bool
	// Print is the request's fingerprint; zero for requests that can't be
	// told apart.
	Print uint64
	// Bold jobs run beside others although they are suspects: they can't wait
	// for a trial.
	Bold   bool
	Prefix uint64
	// Least and Floor are the versions wanted and required; see route.Ask.
	Least quetzalpier.Version
	Floor quetzalpier.Version
	// Avoid names upstreams that must not be used.
	Avoid map[string]bool
	// Attempts bounds the attempts; zero leaves that to the retry package.
	Attempts int
}

// Attempt is one try of a job on one upstream.
type Attempt struct {
	VM quetzalpier.VM
	// Fresh asks for a newly opened connection.
	Fresh bool
	// Units is set by the runner to the number of tokens or calls done.
	Units int
	// Made is set by the runner to the version of the last token it got.
	Made quetzalpier.Version
}

// Runner makes one attempt.
type Runner func(ctx context.Context, a *Attempt) error

// Sender runs jobs.
type Sender struct {
	Board *board.Board
	Links *link.Links
	Meter *meter.Meter
	// Struck is called with fingerprints that were in flight on an upstream
	// that crashed, before their callers hear of it.
	Struck func(prints []uint64)

	mu      sync.Mutex
	rnd     *rand.Rand
	queues  map[string]*admit.Queue
	waiters map[*admit.Ticket]*waiter
	budgets map[string]*retry.Budget
	tickets uint64
}

// New returns a sender; seed starts its random choices.
func New(b *board.Board, links *link.Links, m *meter.Meter, seed uint64) *Sender {
	return &Sender{
		Board: b, Links: links, Meter: m,
		Struck:  func([]uint64) {},
		rnd:     rand.New(rand.NewPCG(seed, seed)),
		queues:  map[string]*admit.Queue{},
		waiters: map[*admit.Ticket]*waiter{},
		budgets: map[string]*retry.Budget{},
	}
}

// Run grants slots whenever the board changes, until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	tick := time.NewTicker(pumpEvery)
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
			s.pump(pool, time.Now())
		}
		s.mu.Unlock()
	}
}

// Waiting counts the jobs that wait for a slot of the pool.
func (s *Sender) Waiting(pool string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue(pool).Waiting()
}

// Do runs the job until an attempt ends well or no further one is allowed.
// Its error is a Refusal, the runner's own final error, or the context's.
func (s *Sender) Do(ctx context.Context, job *Job, run Runner) error {
	tried := map[string]bool{}
	s.budget(job.Pool, (*retry.Budget).Earn)
	ran := quetzalpier.RanNo
	for attempts := 1; ; attempts++ {
		place, err := s.acquire(ctx, job, tried)
		if err != nil {
			return refusedAs(err, ran)
		}
		a := &Attempt{VM: place.vm, Fresh: attempts > 1 || !job.Idempotent}
		start := time.Now()
		trial := s.trial(place)
		err = run(ctx, a)
		trial.Stop()
		s.finish(ctx, job, place, a, start, err)
		if err == nil || ctx.Err() != nil {
			return err
		}
		f := failure(job, err, attempts)
		ran = worse(ran, f.Ran)
		verdict := s.decide(job.Pool, f, time.Now())
		if !verdict.Again {
			return s.giveUp(err, f, ran)
		}
		tried[place.vm.ID] = true
		if !sleep.For(ctx, verdict.Wait) {
			return ctx.Err()
		}
	}
}

// trial lets others join a suspect request once it has run alone for long
// enough.
func (s *Sender) trial(place slot) *time.Timer {
	if !place.alone {
		return time.NewTimer(0)
	}
	return time.AfterFunc(poison.TrialTime, func() {
		s.Board.Update(func(st *board.State) { route.Unreserve(st, place.ticket) })
	})
}

// finish gives the slot back and notes what the attempt showed.
func (s *Sender) finish(ctx context.Context, job *Job, place slot, a *Attempt, start time.Time, err error) {
	now := time.Now()
	id := place.vm.ID
	crashed := err != nil && ctx.Err() == nil && s.crashed(place.vm, err)
	var struck []uint64
	s.Board.Update(func(st *board.State) {
		if crashed {
			struck = s.strike(st, id, now)
		}
		leave(st, id, job.Print, place.ticket)
		// Also an attempt that was cut shows what the upstream makes.
		if u := st.Upstreams[id]; u != nil && a.Units > 0 && a.Made > 0 {
			u.Newest, u.NewestAt = a.Made, now
		}
		switch {
		case err == nil:
			retry.Succeeded(st, id)
			poison.Finished(st, job.Print)
			s.pace(st, id, a, now.Sub(start))
		case ctx.Err() == nil && blames(err):
			retry.Failed(st, id, now)
		}
	})
	if len(struck) > 0 {
		s.Meter.Crashes.WithLabelValues(job.Pool).Inc()
		s.Struck(struck)
	}
	s.Meter.Attempts.WithLabelValues(job.Pool, outcomeLabel(ctx, err)).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pump(job.Pool, now)
}

// strike notes a crash of the upstream once for all that were in flight.
func (s *Sender) strike(st *board.State, id string, now time.Time) []uint64 {
	u := st.Upstreams[id]
	if u == nil {
		return nil
	}
	prints := make([]uint64, 0, len(u.Prints))
	for fingerprint := range u.Prints {
		prints = append(prints, fingerprint)
	}
	u.Prints = map[uint64]int{}
	return poison.Crashed(st, prints, now)
}

// crashed tells whether the upstream's process went away during the attempt:
// the connection broke and a new one is refused.
func (s *Sender) crashed(vm quetzalpier.VM, err error) bool {
	var failed *link.Error
	var cut *engine.CutError
	if errors.As(err, &failed) && (failed.Silent || failed.Sent == 0) {
		return false
	}
	if failed == nil && !errors.As(err, &cut) {
		return false
	}
	return s.Links.Refuses(vm.Addr)
}

func (s *Sender) pace(st *board.State, id string, a *Attempt, took time.Duration) {
	u := st.Upstreams[id]
	if u == nil || a.Units <= 0 {
		return
	}
	unit := took / time.Duration(a.Units)
	if u.Pace == 0 {
		u.Pace = unit
		return
	}
	u.Pace += time.Duration(paceWeight * float64(unit-u.Pace))
}

func failure(job *Job, err error, attempts int) retry.Failure {
	f := retry.Failure{
		Ran: quetzalpier.RanUnknown, Idempotent: job.Idempotent,
		Attempts: attempts, Most: job.Attempts, Deadline: job.Deadline,
	}
	var failed *link.Error
	var status *engine.StatusError
	switch {
	case errors.As(err, &status):
		declined := status.NotRun || overloaded(status.Status)
		f.Final = !declined
		f.Ran = quetzalpier.RanYes
		if declined {
			f.Ran = quetzalpier.RanNo
		}
	case errors.As(err, &failed):
		f.Ran = failed.Ran()
	}
	return f
}

// giveUp makes the final answer of a job.
func (s *Sender) giveUp(err error, f retry.Failure, ran quetzalpier.Ran) error {
	if f.Final {
		return err
	}
	return quetzalpier.Busy("upstream", "no upstream gave a whole answer: "+err.Error(), ran, s.Spread(time.Second))
}

func (s *Sender) decide(pool string, f retry.Failure, now time.Time) (v retry.Verdict) {
	s.budget(pool, func(b *retry.Budget) { v = retry.Decide(f, b, now) })
	return v
}

func (s *Sender) budget(pool string, f func(*retry.Budget)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[pool]
	if b == nil {
		b = &retry.Budget{}
		s.budgets[pool] = b
	}
	f(b)
}

func (s *Sender) queue(pool string) *admit.Queue {
	q := s.queues[pool]
	if q == nil {
		q = &admit.Queue{}
		s.queues[pool] = q
	}
	return q
}

// Spread varies a time to come back, so that callers don't return together.
func (s *Sender) Spread(after time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spread(after)
}

func (s *Sender) spread(after time.Duration) time.Duration {
	return after + time.Duration(s.rnd.Float64()*float64(after)/2)
}

// worse returns the less certain of two claims about a request's runs.
func worse(a, b quetzalpier.Ran) quetzalpier.Ran {
	if a == quetzalpier.RanNo {
		return b
	}
	if a == quetzalpier.RanYes || b == quetzalpier.RanYes {
		return quetzalpier.RanYes
	}
	return a
}

// refusedAs corrects a refusal's claim by the earlier attempts.
func refusedAs(err error, ran quetzalpier.Ran) error {
	var refusal *quetzalpier.Refusal
	if !errors.As(err, &refusal) || ran == quetzalpier.RanNo {
		return err
	}
	corrected := *refusal
	corrected.Ran = ran
	return &corrected
}

func overloaded(status int) bool { return status == 429 || status == 503 }

// blames tells whether the error speaks against the upstream.
func blames(err error) bool {
	var status *engine.StatusError
	if errors.As(err, &status) {
		return status.Status >= 500
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
