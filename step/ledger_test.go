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

// The drawn cases are the same in every run.
func init() { _ = flag.Set("rapid.seed", "20261203") }

var start = time.Unix(1_000_000, 0)

func newStep(groups, count int, version quetzalpier.Version, bound uint64) quetzalpier.Step {
	s := quetzalpier.Step{Trainer: "t", Number: 1, Pool: "m", Version: version, Bound: bound}
	for range groups {
		s.Groups = append(s.Groups, quetzalpier.Group{ID: "g", Prompt: "p", Count: count, Tokens: 8})
	}
	return s
}

func sampleOf(index int, versions ...quetzalpier.Version) quetzalpier.Sample {
	sample := quetzalpier.Sample{Index: index, Finish: "stop"}
	for _, version := range versions {
		sample.Spans = sample.Spans.Append(version, 1)
		sample.Tokens++
	}
	return sample
}

// holder is an owner of the step: the ledger or its naive version.
type holder interface {
	missing() []int
	finish(sample quetzalpier.Sample)
	deliver(pull quetzalpier.Pull) quetzalpier.Batch
}

type ledgerHolder struct{ l *step.Ledger }

func (h ledgerHolder) missing() []int {
	var missing []int
	for i := range h.l.Items {
		if h.l.Items[i].Phase == step.Waiting {
			missing = append(missing, i)
		}
	}
	return missing
}

func (h ledgerHolder) finish(sample quetzalpier.Sample) {
	run := h.l.Begin(step.Launch{Index: sample.Index})
	h.l.Finish(sample.Index, run, sample)
}

func (h ledgerHolder) deliver(pull quetzalpier.Pull) quetzalpier.Batch {
	h.l.Hold(pull.Have)
	batch, _ := h.l.Deliver(pull, start)
	return batch
}

type naiveHolder struct{ n *step.Naive }

func (h naiveHolder) missing() []int                   { return h.n.Missing() }
func (h naiveHolder) finish(sample quetzalpier.Sample) { h.n.Finish(sample) }
func (h naiveHolder) deliver(pull quetzalpier.Pull) quetzalpier.Batch {
	return h.n.Deliver(pull, start)
}

// trainerWorld is a trainer before owners that die, double and forget, on a
// network that loses answers.
type trainerWorld struct {
	build   func(quetzalpier.Step) holder
	step    quetzalpier.Step
	version quetzalpier.Version
	engine  quetzalpier.Version
	owners  []holder
	have    quetzalpier.Bitmap
	saved   quetzalpier.Bitmap
	got     map[int]int
	// late is an answer that is still under way.
	late *quetzalpier.Batch
	// stale counts samples older than the bound when an owner sent them.
	stale, doubled int
}

func newTrainerWorld(s quetzalpier.Step, build func(quetzalpier.Step) holder) *trainerWorld {
	w := &trainerWorld{build: build, step: s, version: s.Version, engine: s.Version, got: map[int]int{}}
	w.owners = []holder{build(s), build(s)}
	return w
}

func (w *trainerWorld) put(owner int) {
	s := w.step
	s.Version = w.version
	w.owners[owner] = w.build(s)
}

// roll has an owner finish one of the samples it misses.
func (w *trainerWorld) roll(owner, pick int, old bool) {
	missing := w.owners[owner].missing()
	if len(missing) == 0 {
		return
	}
	versions := []quetzalpier.Version{w.engine}
	if old && w.engine > 1 {
		versions = []quetzalpier.Version{w.engine - 1, w.engine}
	}
	w.owners[owner].finish(sampleOf(missing[pick%len(missing)], versions...))
}

func (w *trainerWorld) pull(owner int, fate string) {
	bound := w.step.Bound
	batch := w.owners[owner].deliver(quetzalpier.Pull{Have: append(quetzalpier.Bitmap(nil), w.have...), Version: w.version, Bound: &bound})
	for _, sample := range batch.Samples {
		if !sample.Fresh(w.version, bound) {
			w.stale++
		}
	}
	switch fate {
	case "late":
		w.late = &batch
	case "arrives":
		w.take(batch)
	}
}

// take is the trainer's side: what it has it does not take again.
func (w *trainerWorld) take(batch quetzalpier.Batch) {
	for _, sample := range batch.Samples {
		if w.have.Has(sample.Index) || !sample.Fresh(w.version, w.step.Bound) {
			continue
		}
		w.have = w.have.Set(sample.Index)
		if w.got[sample.Index]++; w.got[sample.Index] > 1 {
			w.doubled++
		}
	}
}

func (w *trainerWorld) restart() {
	w.have = append(quetzalpier.Bitmap(nil), w.saved...)
	w.got = map[int]int{}
	for i := range w.step.Samples() {
		if w.have.Has(i) {
			w.got[i] = 1
		}
	}
}

// finishAll runs the step to its end without further faults.
func (w *trainerWorld) finishAll() bool {
	w.engine = w.version
	for range 4 * w.step.Samples() {
		for i := range w.owners {
			w.roll(i, 0, false)
			w.pull(i, "arrives")
		}
	}
	return w.have.Count() == w.step.Samples()
}

// play draws faults and runs the step; it tells whether it ended whole.
func (w *trainerWorld) play(t *rapid.T) bool {
	for range rapid.IntRange(5, 60).Draw(t, "events") {
		owner := rapid.IntRange(0, 1).Draw(t, "owner")
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0, 1, 2:
			w.roll(owner, rapid.IntRange(0, 99).Draw(t, "pick"), rapid.Bool().Draw(t, "old"))
		case 3, 4:
			w.pull(owner, rapid.SampledFrom([]string{"arrives", "lost", "late"}).Draw(t, "fate"))
		case 5:
			if w.late != nil {
				w.take(*w.late)
				w.late = nil
			}
		case 6:
			w.version++
		case 7:
			w.engine = w.version
		case 8:
			w.put(owner)
		case 9:
			if rapid.Bool().Draw(t, "restart") {
				w.restart()
			}
			w.saved = append(quetzalpier.Bitmap(nil), w.have...)
		}
	}
	return w.finishAll()
}

func TestExactlyOnceAndFresh(t *testing.T) {
	makers := map[string]func(quetzalpier.Step) holder{
		"ledger": func(s quetzalpier.Step) holder { return ledgerHolder{step.New(s, start)} },
		"naive":  func(s quetzalpier.Step) holder { return naiveHolder{step.NewNaive(s)} },
	}
	t.Run("ledger", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			w := newTrainerWorld(newStep(2, 3, 3, 1), makers["ledger"])
			whole := w.play(t)
			require.True(t, whole, "step not whole")
			require.Zero(t, w.stale, "stale sample sent")
			require.Zero(t, w.doubled, "sample taken twice")
		})
	})
	t.Run("the naive version fails the same check", func(t *testing.T) {
		lost, stale := 0, 0
		for seed := range 60 {
			w := rapid.Custom(func(t *rapid.T) *trainerWorld {
				w := newTrainerWorld(newStep(2, 3, 3, 1), makers["naive"])
				if !w.play(t) {
					lost++
				}
				return w
			}).Example(seed)
			stale += w.stale
		}
		require.Positive(t, lost, "no sample lost")
		require.Positive(t, stale, "no stale sample")
	})
}

func TestPlan(t *testing.T) {
	t.Run("groups nearly whole come first", func(t *testing.T) {
		l := step.New(newStep(3, 2, 1, 0), start)
		ledgerHolder{l}.finish(sampleOf(4, 1))
		launches := l.Plan(3, start)
		require.Equal(t, 5, launches[0].Index)
		require.Len(t, launches, 3)
	})
	t.Run("a failed sample waits and resumes what it had", func(t *testing.T) {
		l := step.New(newStep(1, 1, 1, 0), start)
		run := l.Begin(l.Plan(1, start)[0])
		l.Fail(0, run, sampleOf(0, 1, 1), start.Add(time.Second))
		require.Empty(t, l.Plan(1, start))
		launches := l.Plan(1, start.Add(time.Second))
		require.Equal(t, 2, launches[0].From.Tokens)
	})
	t.Run("a partial sample that became too old is not resumed", func(t *testing.T) {
		l := step.New(newStep(1, 1, 1, 0), start)
		run := l.Begin(l.Plan(1, start)[0])
		l.Fail(0, run, sampleOf(0, 1, 1), start)
		l.Raise(2)
		require.Zero(t, l.Plan(1, start)[0].From.Tokens)
	})
	t.Run("runs whose oldest token is too old are cut", func(t *testing.T) {
		l := step.New(newStep(1, 2, 1, 1), start)
		first, second := l.Begin(step.Launch{Index: 0}), l.Begin(step.Launch{Index: 1})
		first.Spans = sampleOf(0, 1, 2, 3).Spans
		second.Spans = sampleOf(1, 2, 3).Spans
		l.Raise(3)
		require.Equal(t, map[int][]*step.Run{0: {first}}, l.Stale())
		require.Empty(t, l.Stale())
	})
	t.Run("a run far behind the median is hedged elsewhere", func(t *testing.T) {
		l := step.New(newStep(1, 5, 1, 0), start)
		now := start.Add(10 * time.Second)
		for i := range 5 {
			run := l.Begin(step.Launch{Index: i})
			run.Placed = start
			run.Upstream = "fast"
			run.Tokens = 100
			if i == 2 {
				run.Tokens = 10
				run.Upstream = "slow"
			}
		}
		require.Equal(t, []step.Launch{{Index: 2, Hedge: true, Avoid: "slow"}}, l.Plan(10, now))
	})
	t.Run("the first whole sample wins and the other run is cut", func(t *testing.T) {
		l := step.New(newStep(1, 1, 1, 0), start)
		first, hedge := l.Begin(step.Launch{Index: 0}), l.Begin(step.Launch{Index: 0, Hedge: true})
		kept, cancel := l.Finish(0, hedge, sampleOf(0, 1))
		require.True(t, kept)
		require.Equal(t, []*step.Run{first}, cancel)
		kept, _ = l.Finish(0, first, sampleOf(0, 1))
		require.False(t, kept)
	})
	t.Run("an answer is bounded in bytes and has one sample at least", func(t *testing.T) {
		l := step.New(newStep(1, 3, 1, 0), start)
		for i := range 3 {
			sample := sampleOf(i, 1)
			sample.Text = strings.Repeat("x", 5<<20)
			ledgerHolder{l}.finish(sample)
		}
		batch, _ := l.Deliver(quetzalpier.Pull{Version: 1}, start)
		require.Len(t, batch.Samples, 2)
		require.Equal(t, 1, batch.Left)
	})
	t.Run("a sample without whole spans is not kept", func(t *testing.T) {
		l := step.New(newStep(1, 1, 1, 0), start)
		sample := sampleOf(0, 1)
		sample.Tokens = 2
		kept, _ := l.Finish(0, l.Begin(step.Launch{Index: 0}), sample)
		require.False(t, kept)
		require.Equal(t, step.Waiting, l.Items[0].Phase)
	})
}
