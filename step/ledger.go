// Package step decides about a trainer's open step: which samples to start,
// which to run a second time, which to cut, and which to deliver.
package step

import (
	"time"

	"quetzalpier"
)

// Phase is how far a sample has come.
type Phase int

// The phases of a sample.
const (
	Waiting Phase = iota
	Running
	// Done samples are finished and not known to be with the trainer.
	Done
	// Held samples are with the trainer, by its own word.
	Held
)

// Run is one running attempt at a sample.
type Run struct {
	ID       uint64
	Upstream string
	// Placed is when the run got a slot; zero while it waits for one.
	Placed time.Time
	// Base is how many tokens the run started from, and Tokens how many it has.
	Base   int
	Tokens int
	Spans  quetzalpier.Spans
	Hedge  bool
	// Cut tells that the run was ordered to end.
	Cut bool
}

// Item is the state of one sample.
type Item struct {
	Group  int
	Phase  Phase
	Runs   []*Run
	Sample *quetzalpier.Sample
	// Partial is what an ended run has made, for the next one to resume.
	Partial quetzalpier.Sample
	// NotBefore is when a failed sample may be started again.
	NotBefore time.Time
	Failures  int
}

// Ledger is the state of an open step.
type Ledger struct {
	Step  quetzalpier.Step
	Items []Item
	// Version is the trainer's current version, as far as is known here.
	Version quetzalpier.Version
	Bound   uint64
	// Asked is when the trainer was last heard of.
	Asked time.Time

	nextRun uint64
	hedges  int
	left    []int
}

// New returns the ledger of a step that was put at now.
func New(s quetzalpier.Step, now time.Time) *Ledger {
	l := &Ledger{Step: s, Version: s.Version, Bound: s.Bound, Asked: now}
	for g, group := range s.Groups {
		for range group.Count {
			l.Items = append(l.Items, Item{Group: g})
		}
		l.left = append(l.left, group.Count)
	}
	return l
}

// Raise notes the trainer's version; a lower one is ignored.
func (l *Ledger) Raise(version quetzalpier.Version) {
	l.Version = max(l.Version, version)
}

// Floor is the oldest version that a new token may be made with.
func (l *Ledger) Floor() quetzalpier.Version {
	if uint64(l.Version) <= l.Bound {
		return 0
	}
	return l.Version - quetzalpier.Version(l.Bound)
}

// Begin notes that a launched run exists; it returns the run.
func (l *Ledger) Begin(launch Launch) *Run {
	l.nextRun++
	item := &l.Items[launch.Index]
	run := &Run{ID: l.nextRun, Hedge: launch.Hedge, Base: launch.From.Tokens, Tokens: launch.From.Tokens, Spans: launch.From.Spans}
	item.Phase = Running
	item.Runs = append(item.Runs, run)
	if launch.Hedge {
		l.hedges++
	}
	return run
}

// Finish takes a run's whole sample. It is kept if it is the first and fresh
// enough; the others' runs are returned to be canceled.
func (l *Ledger) Finish(index int, run *Run, sample quetzalpier.Sample) (kept bool, cancel []*Run) {
	item := &l.Items[index]
	l.end(item, run)
	if item.Phase >= Done {
		return false, nil
	}
	if sample.Spans.Check(sample.Tokens) != nil || !sample.Fresh(l.Version, l.Bound) {
		item.Partial = quetzalpier.Sample{}
		return false, nil
	}
	cancel = item.Runs
	for _, other := range cancel {
		other.Cut = true
	}
	l.keep(item, sample)
	return true, cancel
}

// Restore takes a sample that another node had kept.
func (l *Ledger) Restore(sample quetzalpier.Sample) bool {
	if sample.Index >= len(l.Items) || l.Items[sample.Index].Phase != Waiting {
		return false
	}
	if sample.Spans.Check(sample.Tokens) != nil || !sample.Fresh(l.Version, l.Bound) {
		return false
	}
	l.keep(&l.Items[sample.Index], sample)
	return true
}

// Resume takes an unfinished sample over from an earlier owner.
func (l *Ledger) Resume(partial quetzalpier.Sample) {
	if partial.Index >= len(l.Items) || partial.Spans.Check(partial.Tokens) != nil {
		return
	}
	if item := &l.Items[partial.Index]; item.Phase == Waiting && partial.Tokens > item.Partial.Tokens {
		item.Partial = partial
	}
}

func (l *Ledger) keep(item *Item, sample quetzalpier.Sample) {
	l.left[item.Group]--
	item.Phase = Done
	item.Sample = &sample
	item.Partial = quetzalpier.Sample{}
}

// Hold takes over which samples the trainer has. It returns the runs to be
// canceled. A sample that the trainer lost, as by a restart from its
// checkpoint, is made again.
func (l *Ledger) Hold(have quetzalpier.Bitmap) []*Run {
	var cancel []*Run
	for i := range l.Items {
		item := &l.Items[i]
		if !have.Has(i) {
			if item.Phase == Held {
				item.Phase = Waiting
				l.left[item.Group]++
			}
			continue
		}
		for _, run := range item.Runs {
			run.Cut = true
			cancel = append(cancel, run)
		}
		if item.Phase < Done {
			l.left[item.Group]--
		}
		item.Phase = Held
		item.Sample = nil
	}
	return cancel
}

// Fail notes that a run ended without a whole sample; partial is what it made.
func (l *Ledger) Fail(index int, run *Run, partial quetzalpier.Sample, retryAt time.Time) {
	item := &l.Items[index]
	l.end(item, run)
	if run.Cut || item.Phase >= Done {
		return
	}
	item.Failures++
	item.NotBefore = retryAt
	if partial.Tokens > item.Partial.Tokens {
		item.Partial = partial
	}
}

func (l *Ledger) end(item *Item, run *Run) {
	for i, other := range item.Runs {
		if other == run {
			item.Runs = append(item.Runs[:i:i], item.Runs[i+1:]...)
			break
		}
	}
	if run.Hedge {
		l.hedges--
	}
	if item.Phase == Running && len(item.Runs) == 0 {
		item.Phase = Waiting
	}
}

// Stale cuts the runs whose oldest token is already too old to be delivered,
// and returns them with their index.
func (l *Ledger) Stale() map[int][]*Run {
	cut := map[int][]*Run{}
	for i := range l.Items {
		item := &l.Items[i]
		for _, run := range item.Runs {
			oldest, ok := run.Spans.Oldest()
			if ok && oldest < l.Floor() && !run.Cut {
				run.Cut = true
				cut[i] = append(cut[i], run)
			}
		}
	}
	return cut
}

// Drop removes finished samples that have become too old; it returns how many.
func (l *Ledger) Drop() int {
	dropped := 0
	for i := range l.Items {
		item := &l.Items[i]
		if item.Phase == Done && !item.Sample.Fresh(l.Version, l.Bound) {
			item.Phase = Waiting
			item.Sample = nil
			l.left[item.Group]++
			dropped++
		}
	}
	return dropped
}

const (
	// defaultMax bounds the samples in one answer.
	defaultMax = 256
	// maxBytes bounds the texts in one answer, which has one sample at least.
	maxBytes = 8 << 20
)

// Deliver answers a pull: finished samples that the trainer lacks and that are
// fresh enough by its own word. The samples stay until a later pull shows that
// the trainer has them.
func (l *Ledger) Deliver(pull quetzalpier.Pull, now time.Time) (batch quetzalpier.Batch, dropped int) {
	l.Asked = now
	l.Raise(pull.Version)
	if pull.Bound != nil {
		l.Bound = *pull.Bound
	}
	dropped = l.Drop()
	batch.Version = l.Version
	most := pull.Max
	if most == 0 {
		most = defaultMax
	}
	size := 0
	for i := range l.Items {
		if pull.Have.Has(i) {
			continue
		}
		if item := &l.Items[i]; item.Phase == Done && len(batch.Samples) < most && size < maxBytes {
			size += len(item.Sample.Text)
			batch.Samples = append(batch.Samples, *item.Sample)
			continue
		}
		batch.Left++
	}
	return batch, dropped
}
