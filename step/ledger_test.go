package step_test

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"quetzalpier"
	"quetzalpier/step"
)

// A fixed seed makes the generated cases the same in every run.
func init() { _ = flag.Set("rapid.seed", "20261203") }

var start = time.Unix(1_000_000, 0)

func newStep(groups, count int, version quetzalpier.Version, bound uint64) quetzalpier.Step {
	s := quetzalpier.Step{Trainer: "t", Number: 1, Pool: "m", Version: version, MaxAge: bound}
	for range groups {
		s.Groups = append(s.Groups, quetzalpier.Group{ID: "g", Prompt: "p", Count: count, Tokens: 8})
	}
	return s
}

func sampleOf(index int, versions ...quetzalpier.Version) quetzalpier.Sample {
	sample := quetzalpier.Sample{Index: index, FinishReason: "stop"}
	for _, version := range versions {
		sample.Spans = sample.Spans.Append(version, 1)
		sample.Tokens++
	}
	return sample
}

// ledger is the implementation under test: step.Ledger or the baseline.
type ledger interface {
	missing() []int
	finish(sample quetzalpier.Sample)
	deliver(pull quetzalpier.Pull) quetzalpier.Batch
}

type realLedger struct{ l *step.Ledger }

func (r realLedger) missing() []int {
	var missing []int
	for i := range r.l.Items {
		if r.l.Items[i].Phase == step.Waiting {
			missing = append(missing, i)
		}
	}
	return missing
}

func (r realLedger) finish(sample quetzalpier.Sample) {
	run := r.l.StartRun(step.Launch{Index: sample.Index})
	r.l.Finish(sample.Index, run, sample)
}

func (r realLedger) deliver(pull quetzalpier.Pull) quetzalpier.Batch {
	r.l.Confirm(pull.Have)
	batch, _ := r.l.Deliver(pull, start)
	return batch
}

type naiveLedger struct{ n *step.NaiveLedger }

func (n naiveLedger) missing() []int                   { return n.n.Missing() }
func (n naiveLedger) finish(sample quetzalpier.Sample) { n.n.Finish(sample) }
func (n naiveLedger) deliver(pull quetzalpier.Pull) quetzalpier.Batch {
	return n.n.Deliver(pull, start)
}

// simulation is a trainer that pulls a step from two owners, which may lose their
// state, over a network that loses or delays answers.
type simulation struct {
	build   func(quetzalpier.Step) ledger
	step    quetzalpier.Step
	version quetzalpier.Version
	// engineVersion is the version that generates new tokens.
	engineVersion quetzalpier.Version
	owners        []ledger
	have          quetzalpier.Bitmap
	// checkpoint is what the trainer has after a restart.
	checkpoint quetzalpier.Bitmap
	// accepted counts how often the trainer accepted each sample.
	accepted map[int]int
	// late is an answer that is still in flight.
	late *quetzalpier.Batch
	// stale counts samples older than the bound when an owner sent them,
	// duplicates those that the trainer accepted twice.
	stale, duplicates int
}

func newSimulation(s quetzalpier.Step, build func(quetzalpier.Step) ledger) *simulation {
	sim := &simulation{build: build, step: s, version: s.Version, engineVersion: s.Version, accepted: map[int]int{}}
	sim.owners = []ledger{build(s), build(s)}
	return sim
}

// replaceOwner replaces an owner by one without state.
func (sim *simulation) replaceOwner(owner int) {
	s := sim.step
	s.Version = sim.version
	sim.owners[owner] = sim.build(s)
}

// finishSample finishes one of the missing samples of an owner.
func (sim *simulation) finishSample(owner, pick int, old bool) {
	missing := sim.owners[owner].missing()
	if len(missing) == 0 {
		return
	}
	versions := []quetzalpier.Version{sim.engineVersion}
	if old && sim.engineVersion > 1 {
		versions = []quetzalpier.Version{sim.engineVersion - 1, sim.engineVersion}
	}
	sim.owners[owner].finish(sampleOf(missing[pick%len(missing)], versions...))
}

func (sim *simulation) pull(owner int, outcome string) {
	bound := sim.step.MaxAge
	batch := sim.owners[owner].deliver(quetzalpier.Pull{Have: append(quetzalpier.Bitmap(nil), sim.have...), Version: sim.version, MaxAge: &bound})
	for _, sample := range batch.Samples {
		if !sample.Fresh(sim.version, bound) {
			sim.stale++
		}
	}
	switch outcome {
	case "late":
		sim.late = &batch
	case "arrives":
		sim.receive(batch)
	}
}

// receive adds the samples of an answer to the trainer's, except those that it has
// or that are too old.
func (sim *simulation) receive(batch quetzalpier.Batch) {
	for _, sample := range batch.Samples {
		if sim.have.Has(sample.Index) || !sample.Fresh(sim.version, sim.step.MaxAge) {
			continue
		}
		sim.have = sim.have.Set(sample.Index)
		if sim.accepted[sample.Index]++; sim.accepted[sample.Index] > 1 {
			sim.duplicates++
		}
	}
}

// restart restarts the trainer from its last checkpoint.
func (sim *simulation) restart() {
	sim.have = append(quetzalpier.Bitmap(nil), sim.checkpoint...)
	sim.accepted = map[int]int{}
	for i := range sim.step.Samples() {
		if sim.have.Has(i) {
			sim.accepted[i] = 1
		}
	}
}

// finishAll runs the step without further faults, and reports whether the trainer
// received all samples.
func (sim *simulation) finishAll() bool {
	sim.engineVersion = sim.version
	for range 4 * sim.step.Samples() {
		for i := range sim.owners {
			sim.finishSample(i, 0, false)
			sim.pull(i, "arrives")
		}
	}
	return sim.have.Count() == sim.step.Samples()
}

// run applies generated events and faults, then finishes the step. It reports
// whether the trainer received all samples.
func (sim *simulation) run(t *rapid.T) bool {
	for range rapid.IntRange(5, 60).Draw(t, "events") {
		owner := rapid.IntRange(0, 1).Draw(t, "owner")
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0, 1, 2:
			sim.finishSample(owner, rapid.IntRange(0, 99).Draw(t, "pick"), rapid.Bool().Draw(t, "old"))
		case 3, 4:
			sim.pull(owner, rapid.SampledFrom([]string{"arrives", "lost", "late"}).Draw(t, "outcome"))
		case 5:
			if sim.late != nil {
				sim.receive(*sim.late)
				sim.late = nil
			}
		case 6:
			sim.version++
		case 7:
			sim.engineVersion = sim.version
		case 8:
			sim.replaceOwner(owner)
		case 9:
			if rapid.Bool().Draw(t, "restart") {
				sim.restart()
			}
			sim.checkpoint = append(quetzalpier.Bitmap(nil), sim.have...)
		}
	}
	return sim.finishAll()
}

func TestExactlyOnceAndFresh(t *testing.T) {
	builders := map[string]func(quetzalpier.Step) ledger{
		"ledger": func(s quetzalpier.Step) ledger { return realLedger{step.New(s, start)} },
		"naive":  func(s quetzalpier.Step) ledger { return naiveLedger{step.NewNaiveLedger(s)} },
	}
	t.Run("ledger", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			sim := newSimulation(newStep(2, 3, 3, 1), builders["ledger"])
			complete := sim.run(t)
			require.True(t, complete, "step is not complete")
			require.Zero(t, sim.stale, "a stale sample was sent")
			require.Zero(t, sim.duplicates, "a sample was accepted twice")
		})
	})
	t.Run("the baseline fails the same check", func(t *testing.T) {
		lost, stale := 0, 0
		for seed := range 60 {
			sim := rapid.Custom(func(t *rapid.T) *simulation {
				sim := newSimulation(newStep(2, 3, 3, 1), builders["naive"])
				if !sim.run(t) {
					lost++
				}
				return sim
			}).Example(seed)
			stale += sim.stale
		}
		require.Positive(t, lost, "no sample was lost")
		require.Positive(t, stale, "no stale sample was sent")
	})
}

func TestPlan(t *testing.T) {
	t.Run("groups with the fewest unfinished samples are first", func(t *testing.T) {
		l := step.New(newStep(3, 2, 1, 0), start)
		realLedger{l}.finish(sampleOf(4, 1))
		launches := l.Plan(3, start)
		require.Equal(t, 5, launches[0].Index)
		require.Len(t, launches, 3)
	})
	t.Run("a failed sample waits for its retry time and resumes its tokens", func(t *testing.T) {
		l := step.New(newStep(1, 1, 1, 0), start)
		run := l.StartRun(l.Plan(1, start)[0])
		l.Fail(0, run, sampleOf(0, 1, 1), start.Add(time.Second))
		require.Empty(t, l.Plan(1, start))
		launches := l.Plan(1, start.Add(time.Second))
		require.Equal(t, 2, launches[0].From.Tokens)
	})
	t.Run("a partial sample that became too old is not resumed", func(t *testing.T) {
		l := step.New(newStep(1, 1, 1, 0), start)
		run := l.StartRun(l.Plan(1, start)[0])
		l.Fail(0, run, sampleOf(0, 1, 1), start)
		l.RaiseVersion(2)
		require.Zero(t, l.Plan(1, start)[0].From.Tokens)
	})
	t.Run("runs whose oldest token is too old are canceled", func(t *testing.T) {
		l := step.New(newStep(1, 2, 1, 1), start)
		first, second := l.StartRun(step.Launch{Index: 0}), l.StartRun(step.Launch{Index: 1})
		first.Spans = sampleOf(0, 1, 2, 3).Spans
		second.Spans = sampleOf(1, 2, 3).Spans
		l.RaiseVersion(3)
		require.Equal(t, map[int][]*step.Run{0: {first}}, l.CancelStale())
		require.Empty(t, l.CancelStale())
	})
	t.Run("a run much slower than the median is hedged on another upstream", func(t *testing.T) {
		l := step.New(newStep(1, 5, 1, 0), start)
		now := start.Add(10 * time.Second)
		for i := range 5 {
			run := l.StartRun(step.Launch{Index: i})
			run.SlotAt = start
			run.Upstream = "fast"
			run.Tokens = 100
			if i == 2 {
				run.Tokens = 10
				run.Upstream = "slow"
			}
		}
		require.Equal(t, []step.Launch{{Index: 2, Hedge: true, Avoid: "slow"}}, l.Plan(10, now))
	})
	t.Run("the first complete sample is kept and the other run is canceled", func(t *testing.T) {
		l := step.New(newStep(1, 1, 1, 0), start)
		first, hedge := l.StartRun(step.Launch{Index: 0}), l.StartRun(step.Launch{Index: 0, Hedge: true})
		kept, cancel := l.Finish(0, hedge, sampleOf(0, 1))
		require.True(t, kept)
		require.Equal(t, []*step.Run{first}, cancel)
		kept, _ = l.Finish(0, first, sampleOf(0, 1))
		require.False(t, kept)
	})
	t.Run("an answer is bounded in bytes and includes the sample that reaches the bound", func(t *testing.T) {
		l := step.New(newStep(1, 3, 1, 0), start)
		for i := range 3 {
			sample := sampleOf(i, 1)
			sample.Text = strings.Repeat("x", 5<<20)
			realLedger{l}.finish(sample)
		}
		batch, _ := l.Deliver(quetzalpier.Pull{Version: 1}, start)
		require.Len(t, batch.Samples, 2)
		require.Equal(t, 1, batch.Remaining)
	})
	t.Run("a sample with incomplete spans is not kept", func(t *testing.T) {
		l := step.New(newStep(1, 1, 1, 0), start)
		sample := sampleOf(0, 1)
		sample.Tokens = 2
		kept, _ := l.Finish(0, l.StartRun(step.Launch{Index: 0}), sample)
		require.False(t, kept)
		require.Equal(t, step.Waiting, l.Items[0].Phase)
	})
}
