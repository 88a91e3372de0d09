package trial

import (
	"math"
	"time"

	"quetzalpier"
	"quetzalpier/model"
	"quetzalpier/step"
)

// trainer is a modelled trainer with the owner of its steps.
type trainer struct {
	sim     *sim
	spec    Trainer
	gate    *gate
	index   int
	version quetzalpier.Version
	number  uint64
	ledger  *step.Ledger
	have    quetzalpier.Bitmap
	wants   []int
	opened  time.Time
	waited  time.Duration
	runs    map[*step.Run]*request
	waiting int
	done    int
}

const (
	// ahead is how many of a step's runs may wait for a slot at a time.
	ahead = 16
	// failPause is the wait before a failed sample is started again.
	failPause = 200 * time.Millisecond
)

func newTrainer(m *sim, spec Trainer, g *gate, index int) *trainer {
	t := &trainer{sim: m, spec: spec, gate: g, index: index, version: 1, runs: map[*step.Run]*request{}}
	if spec.Every > 0 {
		m.after(spec.Every, t.clockPublish)
	}
	return t
}

// clockPublish publishes on the trainer's own clock.
func (t *trainer) clockPublish() {
	t.raise()
	t.sim.after(t.spec.Every, t.clockPublish)
}

func (t *trainer) raise() {
	t.version++
	if t.spec.Feeds {
		t.sim.publish(t.version)
	}
	if t.ledger != nil {
		t.ledger.RaiseVersion(t.version)
	}
}

// open starts the next step.
func (t *trainer) open() {
	t.number++
	s := quetzalpier.Step{Trainer: t.spec.Name, Number: t.number, Pool: poolName, MaxAge: t.spec.Bound, Version: t.version}
	t.wants = nil
	for range t.spec.Groups {
		s.Groups = append(s.Groups, quetzalpier.Group{ID: "g", Count: t.spec.Count, Tokens: t.spec.Tokens})
		for range t.spec.Count {
			t.wants = append(t.wants, t.length())
		}
	}
	t.ledger = step.New(s, t.sim.now)
	t.have = nil
	t.opened = t.sim.now
	t.launch()
}

// length draws a heavy-tailed length.
func (t *trainer) length() int {
	n := float64(t.spec.Tokens) / 16 / math.Max(t.sim.rnd.Float64(), 1e-4)
	return max(8, min(t.spec.Tokens, int(n)))
}

// tick looks at the step four times a second.
func (t *trainer) tick() {
	if t.sim.policy.Step {
		stale := t.ledger.CancelStale()
		for i := range t.ledger.Items {
			for _, run := range stale[i] {
				t.cut(i, run)
			}
		}
	}
	t.launch()
	t.sim.after(250*time.Millisecond, t.tick)
}

func (t *trainer) cut(index int, run *step.Run) {
	r := t.runs[run]
	if r == nil {
		return
	}
	t.gate.cancel(r)
	t.drop(run)
	t.sim.result.Wasted += made(r)
	t.ledger.Fail(index, run, quetzalpier.Sample{}, t.sim.now)
}

func made(r *request) int {
	if r.seq == nil {
		return 0
	}
	return r.seq.Made
}

func (t *trainer) drop(run *step.Run) {
	delete(t.runs, run)
	if run.SlotAt.IsZero() {
		t.waiting--
	}
}

// launch starts what the ledger decides on, or, naively, all samples in order.
func (t *trainer) launch() {
	for run, r := range t.runs {
		if r.seq != nil {
			run.Tokens = r.seq.Made
			run.Spans = r.seq.Spans
		}
	}
	if t.sim.policy.Step {
		for _, l := range t.ledger.Plan(ahead-t.waiting, t.sim.now) {
			t.begin(l)
		}
		return
	}
	for i := range t.ledger.Items {
		if item := &t.ledger.Items[i]; item.Phase == step.Waiting && !t.sim.now.Before(item.NotBefore) {
			t.begin(step.Launch{Index: i})
		}
	}
}

func (t *trainer) begin(l step.Launch) {
	run := t.ledger.StartRun(l)
	t.waiting++
	group := t.ledger.Items[l.Index].Group
	r := &request{
		class: quetzalpier.ClassRollout, tenant: t.spec.Name, prompt: t.spec.Prompt, want: t.wants[l.Index],
		prefix: uint64(1_000_000*(t.index+1)) + t.number*1000 + uint64(group), arrived: t.sim.now, avoid: l.Avoid,
	}
	if t.sim.policy.Step {
		r.least, r.floor = t.ledger.Version, t.ledger.MinVersion()
	}
	if l.From.Tokens > 0 {
		r.from = seqOf(l.From)
	}
	number := t.number
	t.runs[run] = r
	t.sim.result.Sent++
	if !l.Hedge && t.ledger.Items[l.Index].Failures == 0 {
		t.sim.result.Asked[t.spec.Name]++
	}
	r.started = func(*request) {
		if run.SlotAt.IsZero() {
			t.waiting--
			t.sim.after(0, t.launch)
		}
		run.SlotAt = t.sim.now
		run.Upstream = r.engine.id
	}
	r.finished = func(r *request) { t.finish(number, l.Index, run, r) }
	r.broken = func(r *request) { t.broken(number, l.Index, run, r) }
	r.refused = r.broken
	t.gate.submit(r)
}

func (t *trainer) broken(number uint64, index int, run *step.Run, r *request) {
	if t.runs[run] != r || number != t.number {
		return
	}
	t.drop(run)
	partial := quetzalpier.Sample{}
	if r.from != nil {
		partial = quetzalpier.Sample{Index: index, Tokens: r.from.Made, Spans: r.from.Spans}
	}
	t.ledger.Fail(index, run, partial, t.sim.now.Add(failPause))
}

func (t *trainer) finish(number uint64, index int, run *step.Run, r *request) {
	if t.runs[run] != r || number != t.number {
		return
	}
	t.drop(run)
	m := t.sim
	sample := quetzalpier.Sample{Index: index, Tokens: r.seq.Made, Spans: r.seq.Spans}
	kept, others := t.ledger.Finish(index, run, sample)
	if !kept {
		m.result.Stale++
		m.result.Wasted += sample.Tokens
		t.launch()
		return
	}
	for _, other := range others {
		if hedge := t.runs[other]; hedge != nil {
			m.result.Wasted += made(hedge) - other.Base
			t.gate.cancel(hedge)
			t.drop(other)
		}
	}
	m.result.Tokens += sample.Tokens
	age, _ := sample.Age(t.version)
	m.result.Ages[age]++
	t.have = t.have.Set(index)
	t.ledger.Confirm(t.have)
	if t.have.Count() == len(t.ledger.Items) {
		t.whole()
		return
	}
	t.launch()
}

// whole ends the step: the trainer learns from it and publishes.
func (t *trainer) whole() {
	m := t.sim
	t.waited += m.now.Sub(t.opened)
	t.done++
	m.result.Steps = append(m.result.Steps, m.now.Sub(t.opened).Seconds())
	m.after(t.spec.Learn, func() {
		if t.spec.Every == 0 {
			t.raise()
		}
		t.open()
	})
	// Between whole and open there is nothing to start.
	t.ledger.Items = nil
	t.opened = m.now.Add(t.spec.Learn)
}

func (m *sim) close() {
	for _, t := range m.trainers {
		idle := t.waited
		if m.now.After(t.opened) {
			idle += m.now.Sub(t.opened)
		}
		m.result.Idle[t.spec.Name] = idle.Seconds() / m.scenario.Length.Seconds()
		m.result.Done[t.spec.Name] = t.done
	}
}

func seqOf(sample quetzalpier.Sample) *model.Seq {
	return &model.Seq{Made: sample.Tokens, Spans: sample.Spans}
}
