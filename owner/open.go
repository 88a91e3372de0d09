package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/step"
)

// openStep is an open step and its runs.
type openStep struct {
	owner *Owner
	key   quetzalpier.StepKey
	hash  uint64
	ctx   context.Context
	// cancel closes the step and cancels its runs.
	cancel context.CancelFunc
	wake   chan struct{}

	mu      sync.Mutex
	ledger  *step.Ledger
	cancels map[*step.Run]context.CancelFunc
	// sampleReady is closed and replaced when a sample is finished.
	sampleReady chan struct{}
	// uncopied are the finished samples that have not been sent to the copy
	// store yet.
	uncopied []quetzalpier.Sample
	// waiting counts the runs that wait for a slot.
	waiting int
	runs    conc.WaitGroup
}

func newOpenStep(o *Owner, s quetzalpier.Step, hash uint64, now time.Time) *openStep {
	ctx, cancel := context.WithCancel(o.ctx)
	return &openStep{
		owner: o, key: s.Key(), hash: hash, ctx: ctx, cancel: cancel,
		wake:        make(chan struct{}, 1),
		ledger:      step.New(s, now),
		cancels:     map[*step.Run]context.CancelFunc{},
		sampleReady: make(chan struct{}),
	}
}

func (st *openStep) checkHash(hash uint64) error {
	if st.hash == hash {
		return nil
	}
	return quetzalpier.Conflict("step", "step "+st.key.String()+" was put with another content", quetzalpier.RanNo)
}

// run advances the step on every signal and tick until the step is closed.
func (st *openStep) run() {
	defer st.runs.Wait()
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		st.advance(now)
		if st.idle(now) {
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

func (st *openStep) signal() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

func (st *openStep) idle(now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return now.Sub(st.ledger.LastPull) > stepIdleTimeout
}

// advance cancels stale runs, launches planned runs and sends finished samples to
// the copy store.
func (st *openStep) advance(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ctx.Err() != nil {
		return
	}
	for _, runs := range st.ledger.CancelStale() {
		st.countSamples("cut", len(runs))
		st.cancelRuns(runs)
	}
	for _, launch := range st.ledger.Plan(maxWaitingRuns-st.waiting, now) {
		st.launch(launch)
	}
	if len(st.uncopied) > 0 {
		st.owner.Copies.Send(st.key, st.hash, st.uncopied)
		st.uncopied = nil
	}
}

func (st *openStep) cancelRuns(runs []*step.Run) {
	for _, run := range runs {
		if cancel := st.cancels[run]; cancel != nil {
			cancel()
		}
	}
}

func (st *openStep) countSamples(fate string, n int) {
	st.owner.Meter.Samples.WithLabelValues(st.key.Trainer, fate).Add(float64(n))
}

// launch starts a run. The caller holds the lock.
func (st *openStep) launch(launch step.Launch) {
	run := st.ledger.StartRun(launch)
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

// finish records the result of a run.
func (st *openStep) finish(r *rollout, err error) {
	now := time.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	if r.run.SlotAt.IsZero() {
		st.waiting--
	}
	delete(st.cancels, r.run)
	sample := r.sample()
	if err != nil {
		st.ledger.Fail(r.index, r.run, sample, now.Add(retryDelay(err)))
		st.signal()
		return
	}
	kept, cancel := st.ledger.Finish(r.index, r.run, sample)
	st.cancelRuns(cancel)
	if kept {
		st.countSamples("finished", 1)
		st.uncopied = append(st.uncopied, sample)
		st.notifyPulls()
	} else {
		st.countSamples("discarded", 1)
	}
	st.signal()
}

// notifyPulls wakes the waiting pulls.
func (st *openStep) notifyPulls() {
	close(st.sampleReady)
	st.sampleReady = make(chan struct{})
}

func (st *openStep) raiseVersion(version quetzalpier.Version) {
	st.mu.Lock()
	st.ledger.RaiseVersion(version)
	st.mu.Unlock()
	st.signal()
}

// pull returns the finished samples, or waits for the first one.
func (st *openStep) pull(ctx context.Context, pull quetzalpier.Pull) quetzalpier.Batch {
	timer := time.NewTimer(time.Duration(pull.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	st.mu.Lock()
	st.cancelRuns(st.ledger.Confirm(pull.Have))
	st.mu.Unlock()
	st.signal()
	for {
		batch, sampleReady := st.deliver(pull)
		if len(batch.Samples) > 0 || batch.Remaining == 0 {
			return batch
		}
		select {
		case <-sampleReady:
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		case <-st.ctx.Done():
			return batch
		}
	}
}

func (st *openStep) deliver(pull quetzalpier.Pull) (quetzalpier.Batch, chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	batch, dropped := st.ledger.Deliver(pull, time.Now())
	st.countSamples("stale", dropped)
	st.countSamples("delivered", len(batch.Samples))
	for _, sample := range batch.Samples {
		age, _ := sample.Age(batch.Version)
		st.owner.Meter.SampleAge.WithLabelValues(st.key.Trainer).Observe(float64(age))
	}
	return batch, st.sampleReady
}
