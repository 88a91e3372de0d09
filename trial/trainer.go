package trial

import (
	"math"
	"time"

	"quetzalpier"
	"quetzalpier/model"
	"quetzalpier/step"
)

// trainer models a trainer and the node that owns its steps.
type trainer struct {
	sim         *sim
	spec        Trainer
	gate        *gate
	index       int
	version     quetzalpier.Version
	stepNumber  uint64
	ledger      *step.Ledger
	received    quetzalpier.Bitmap
	lengths     []int
	openedAt    time.Time
	waitTime    time.Duration
	requests    map[*step.Run]*request
	waitingRuns int
	stepsDone   int
}

const (
	// maxWaiting is how many of a step's runs may wait for a slot at a time.
	maxWaiting = 16
	// retryDelay is the wait before a failed sample is started again.
	retryDelay = 200 * time.Millisecond
)

func newTrainer(m *sim, spec Trainer, g *gate, index int) *trainer {
	t := &trainer{sim: m, spec: spec, gate: g, index: index, version: 1, requests: map[*step.Run]*request{}}
	if spec.PublishInterval > 0 {
		m.schedule(spec.PublishInterval, t.publishPeriodically)
	}
	return t
}

// publishPeriodically publishes a version every PublishInterval.
func (t *trainer) publishPeriodically() {
	t.publishNext()
	t.sim.schedule(t.spec.PublishInterval, t.publishPeriodically)
}

func (t *trainer) publishNext() {
	t.version++
	if t.spec.UpdatesEngines {
		t.sim.publish(t.version)
	}
	if t.ledger != nil {
		t.ledger.RaiseVersion(t.version)
	}
}

// openStep opens the next step and starts its runs.
func (t *trainer) openStep() {
	t.stepNumber++
	s := quetzalpier.Step{Trainer: t.spec.Name, Number: t.stepNumber, Pool: poolName, MaxAge: t.spec.MaxAge, Version: t.version}
	t.lengths = nil
	for range t.spec.Groups {
		s.Groups = append(s.Groups, quetzalpier.Group{ID: "g", Count: t.spec.Count, Tokens: t.spec.Tokens})
		for range t.spec.Count {
			t.lengths = append(t.lengths, t.drawLength())
		}
	}
	t.ledger = step.New(s, t.sim.now)
	t.received = nil
	t.openedAt = t.sim.now
	t.launch()
}

// drawLength draws a length in tokens from a heavy-tailed distribution.
func (t *trainer) drawLength() int {
	n := float64(t.spec.Tokens) / 16 / math.Max(t.sim.rnd.Float64(), 1e-4)
	return max(8, min(t.spec.Tokens, int(n)))
}

// tick cancels stale runs and starts new ones four times a second.
func (t *trainer) tick() {
	if t.sim.policy.Step {
		stale := t.ledger.CancelStale()
		for i := range t.ledger.Items {
			for _, run := range stale[i] {
				t.cancelRun(i, run)
			}
		}
	}
	t.launch()
	t.sim.schedule(250*time.Millisecond, t.tick)
}

func (t *trainer) cancelRun(index int, run *step.Run) {
	r := t.requests[run]
	if r == nil {
		return
	}
	t.gate.cancel(r)
	t.removeRun(run)
	t.sim.result.Wasted += generatedTokens(r)
	t.ledger.Fail(index, run, quetzalpier.Sample{}, t.sim.now)
}

func generatedTokens(r *request) int {
	if r.seq == nil {
		return 0
	}
	return r.seq.GeneratedTokens
}

func (t *trainer) removeRun(run *step.Run) {
	delete(t.requests, run)
	if run.SlotAt.IsZero() {
		t.waitingRuns--
	}
}

// launch starts the runs that the ledger plans or, in the naive version, a run of
// every waiting sample in order.
func (t *trainer) launch() {
	for run, r := range t.requests {
		if r.seq != nil {
			run.Tokens = r.seq.GeneratedTokens
			run.Spans = r.seq.Spans
		}
	}
	if t.sim.policy.Step {
		for _, l := range t.ledger.Plan(maxWaiting-t.waitingRuns, t.sim.now) {
			t.startRun(l)
		}
		return
	}
	for i := range t.ledger.Items {
		if item := &t.ledger.Items[i]; item.Phase == step.Waiting && !t.sim.now.Before(item.NotBefore) {
			t.startRun(step.Launch{Index: i})
		}
	}
}

func (t *trainer) startRun(l step.Launch) {
	run := t.ledger.StartRun(l)
	t.waitingRuns++
	group := t.ledger.Items[l.Index].Group
	r := &request{
		class: quetzalpier.ClassRollout, tenant: t.spec.Name, promptTokens: t.spec.Prompt, tokens: t.lengths[l.Index],
		prefix: uint64(1_000_000*(t.index+1)) + t.stepNumber*1000 + uint64(group), arrivedAt: t.sim.now, avoid: l.Avoid,
	}
	if t.sim.policy.Step {
		r.preferredVersion, r.minVersion = t.ledger.Version, t.ledger.MinVersion()
	}
	if l.From.Tokens > 0 {
		r.partial = partialSeq(l.From)
	}
	number := t.stepNumber
	t.requests[run] = r
	t.sim.result.Sent++
	if !l.Hedge && t.ledger.Items[l.Index].Failures == 0 {
		t.sim.result.Submitted[t.spec.Name]++
	}
	r.onStarted = func(*request) {
		if run.SlotAt.IsZero() {
			t.waitingRuns--
			t.sim.schedule(0, t.launch)
		}
		run.SlotAt = t.sim.now
		run.Upstream = r.engine.id
	}
	r.onFinished = func(r *request) { t.finishRun(number, l.Index, run, r) }
	r.onFailed = func(r *request) { t.failRun(number, l.Index, run, r) }
	r.onRefused = r.onFailed
	t.gate.submit(r)
}

func (t *trainer) failRun(number uint64, index int, run *step.Run, r *request) {
	if t.requests[run] != r || number != t.stepNumber {
		return
	}
	t.removeRun(run)
	partial := quetzalpier.Sample{}
	if r.partial != nil {
		partial = quetzalpier.Sample{Index: index, Tokens: r.partial.GeneratedTokens, Spans: r.partial.Spans}
	}
	t.ledger.Fail(index, run, partial, t.sim.now.Add(retryDelay))
}

func (t *trainer) finishRun(number uint64, index int, run *step.Run, r *request) {
	if t.requests[run] != r || number != t.stepNumber {
		return
	}
	t.removeRun(run)
	m := t.sim
	sample := quetzalpier.Sample{Index: index, Tokens: r.seq.GeneratedTokens, Spans: r.seq.Spans}
	kept, others := t.ledger.Finish(index, run, sample)
	if !kept {
		m.result.Stale++
		m.result.Wasted += sample.Tokens
		t.launch()
		return
	}
	for _, other := range others {
		if hedge := t.requests[other]; hedge != nil {
			m.result.Wasted += generatedTokens(hedge) - other.Base
			t.gate.cancel(hedge)
			t.removeRun(other)
		}
	}
	m.result.Tokens += sample.Tokens
	age, _ := sample.Age(t.version)
	m.result.Ages[age]++
	t.received = t.received.Set(index)
	t.ledger.Confirm(t.received)
	if t.received.Count() == len(t.ledger.Items) {
		t.finishStep()
		return
	}
	t.launch()
}

// finishStep ends a complete step: the trainer trains on it, publishes a version
// if it does so after each step, and opens the next step.
func (t *trainer) finishStep() {
	m := t.sim
	t.waitTime += m.now.Sub(t.openedAt)
	t.stepsDone++
	m.result.StepTimes = append(m.result.StepTimes, m.now.Sub(t.openedAt).Seconds())
	m.schedule(t.spec.LearnTime, func() {
		if t.spec.PublishInterval == 0 {
			t.publishNext()
		}
		t.openStep()
	})
	// There is nothing to start until the next step opens.
	t.ledger.Items = nil
	t.openedAt = m.now.Add(t.spec.LearnTime)
}

func (m *sim) recordTrainers() {
	for _, t := range m.trainers {
		idle := t.waitTime
		if m.now.After(t.openedAt) {
			idle += m.now.Sub(t.openedAt)
		}
		m.result.Idle[t.spec.Name] = idle.Seconds() / m.scenario.Duration.Seconds()
		m.result.StepsDone[t.spec.Name] = t.stepsDone
	}
}

func partialSeq(sample quetzalpier.Sample) *model.Seq {
	return &model.Seq{GeneratedTokens: sample.Tokens, Spans: sample.Spans}
}
