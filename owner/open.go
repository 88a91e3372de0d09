package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/step"
)

// open is one open step.
type open struct {
	owner *Owner
	key   quetzalpier.StepKey
	hash  uint64
	ctx   context.Context
	// cancel ends the step and all its runs.
	cancel context.CancelFunc
	wake   chan struct{}

	mu      sync.Mutex
	ledger  *step.Ledger
	cancels map[*step.Run]context.CancelFunc
	news    chan struct{}
	copied  []quetzalpier.Sample
	waiting int
	runs    conc.WaitGroup
}

func newOpen(o *Owner, s quetzalpier.Step, hash uint64, now time.Time) *open {
	ctx, cancel := context.WithCancel(o.ctx)
	return &open{
		owner: o, key: s.Key(), hash: hash, ctx: ctx, cancel: cancel,
		wake:    make(chan struct{}, 1),
		ledger:  step.New(s, now),
		cancels: map[*step.Run]context.CancelFunc{},
		news:    make(chan struct{}),
	}
}

func (st *open) same(hash uint64) error {
	if st.hash == hash {
		return nil
	}
	return quetzalpier.Conflict("step", "step "+st.key.String()+" was put with another content", quetzalpier.RanNo)
}

// run looks at the step whenever something has changed, until it is closed.
func (st *open) run() {
	defer st.runs.Wait()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		now := time.Now()
		st.advance(now)
		if st.abandoned(now) {
			st.owner.close(st.key)
		}
		select {
		case <-st.ctx.Done():
			return
		case <-ticker.C:
		case <-st.wake:
		}
	}
}

func (st *open) signal() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

func (st *open) abandoned(now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return now.Sub(st.ledger.Asked) > idleLimit
}

// advance cuts what is too old, starts what is due and sends copies off.
func (st *open) advance(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ctx.Err() != nil {
		return
	}
	for _, runs := range st.ledger.Stale() {
		st.count("cut", len(runs))
		st.cut(runs)
	}
	for _, launch := range st.ledger.Plan(ahead-st.waiting, now) {
		st.launch(launch)
	}
	if len(st.copied) > 0 {
		st.owner.Copies.Keep(st.key, st.hash, st.copied)
		st.copied = nil
	}
}

func (st *open) cut(runs []*step.Run) {
	for _, run := range runs {
		if cancel := st.cancels[run]; cancel != nil {
			cancel()
		}
	}
}

func (st *open) count(fate string, n int) {
	st.owner.Meter.Samples.WithLabelValues(st.key.Trainer, fate).Add(float64(n))
}

// launch starts a run; the caller holds the lock.
func (st *open) launch(launch step.Launch) {
	run := st.ledger.Begin(launch)
	ctx, cancel := context.WithCancel(st.ctx)
	st.cancels[run] = cancel
	st.waiting++
	group := st.ledger.Step.Groups[st.ledger.Items[launch.Index].Group]
	r := &rollout{st: st, index: launch.Index, run: run, group: group}
	r.generation.Tokens = launch.From.Tokens
	r.generation.Spans = append(quetzalpier.Spans(nil), launch.From.Spans...)
	r.generation.Text.WriteString(launch.From.Text)
	job := r.job(launch, st.ledger)
	st.runs.Go(func() {
		defer cancel()
		st.finish(r, st.owner.Sender.Do(ctx, job, r.attempt))
	})
}

// finish takes a run's end over.
func (st *open) finish(r *rollout, err error) {
	now := time.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	if r.run.Placed.IsZero() {
		st.waiting--
	}
	delete(st.cancels, r.run)
	sample := r.sample()
	if err != nil {
		st.ledger.Fail(r.index, r.run, sample, now.Add(retryWait(err)))
		st.signal()
		return
	}
	kept, cancel := st.ledger.Finish(r.index, r.run, sample)
	st.cut(cancel)
	if kept {
		st.count("finished", 1)
		st.copied = append(st.copied, sample)
		st.announce()
	} else {
		st.count("discarded", 1)
	}
	st.signal()
}

// announce wakes the pulls that wait.
func (st *open) announce() {
	close(st.news)
	st.news = make(chan struct{})
}

func (st *open) raise(version quetzalpier.Version) {
	st.mu.Lock()
	st.ledger.Raise(version)
	st.mu.Unlock()
	st.signal()
}

// pull answers with what is there, or waits for the first sample.
func (st *open) pull(ctx context.Context, pull quetzalpier.Pull) quetzalpier.Batch {
	timer := time.NewTimer(time.Duration(pull.Wait) * time.Millisecond)
	defer timer.Stop()
	st.mu.Lock()
	st.cut(st.ledger.Hold(pull.Have))
	st.mu.Unlock()
	st.signal()
	for {
		batch, news := st.deliver(pull)
		if len(batch.Samples) > 0 || batch.Left == 0 {
			return batch
		}
		select {
		case <-news:
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		case <-st.ctx.Done():
			return batch
		}
	}
}

func (st *open) deliver(pull quetzalpier.Pull) (quetzalpier.Batch, chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	batch, dropped := st.ledger.Deliver(pull, time.Now())
	st.count("stale", dropped)
	st.count("delivered", len(batch.Samples))
	for _, sample := range batch.Samples {
		age, _ := sample.Age(batch.Version)
		st.owner.Meter.Age.WithLabelValues(st.key.Trainer).Observe(float64(age))
	}
	return batch, st.news
}
