// Package step schedules the samples of a trainer's open step: which to start,
// which to hedge with a second run, which runs to cancel, and which samples to
// deliver.
package step

import (
	"time"

	"quetzalpier"
)

// Phase is the progress of a sample.
type Phase int

// The phases of a sample.
const (
	Waiting Phase = iota
	Running
	// Done samples are finished, but not confirmed by the trainer yet.
	Done
	// Confirmed samples have arrived at the trainer, according to its last pull.
	Confirmed
)

// Run is one attempt in flight at a sample.
type Run struct {
	ID       uint64
	Upstream string
	// SlotAt is when the run got a slot; zero while it waits for one.
	SlotAt time.Time
	// Base is the number of tokens of the partial sample that the run resumed, and
	// Tokens the current total.
	Base   int
	Tokens int
	Spans  quetzalpier.Spans
	Hedge  bool
	// Canceled reports whether the run has been canceled.
	Canceled bool
}

// Item is the state of one sample.
type Item struct {
	Group  int
	Phase  Phase
	Runs   []*Run
	Sample *quetzalpier.Sample
	// Partial holds the tokens of an ended run, for the next one to resume.
	Partial quetzalpier.Sample
	// NotBefore is the earliest time of the next start of a failed sample.
	NotBefore time.Time
	Failures  int
}

// Ledger is the state of an open step.
type Ledger struct {
	Step  quetzalpier.Step
	Items []Item
	// Version is the highest known version of the trainer.
	Version quetzalpier.Version
	MaxAge  uint64
	// LastPull is the time of the last pull, or of the creation of the ledger.
	LastPull time.Time

	nextRun uint64
	hedges  int
	// unfinished is the number of samples of each group that are not finished.
	unfinished []int
}

// New returns the ledger of a step that was opened at now.
func New(s quetzalpier.Step, now time.Time) *Ledger {
	l := &Ledger{Step: s, Version: s.Version, MaxAge: s.MaxAge, LastPull: now}
	for g, group := range s.Groups {
		for range group.Count {
			l.Items = append(l.Items, Item{Group: g})
		}
		l.unfinished = append(l.unfinished, group.Count)
	}
	return l
}

// RaiseVersion sets the trainer's version; a lower one than the current is
// ignored.
func (l *Ledger) RaiseVersion(version quetzalpier.Version) {
	l.Version = max(l.Version, version)
}

// MinVersion returns the oldest version that may generate new tokens.
func (l *Ledger) MinVersion() quetzalpier.Version {
	if uint64(l.Version) <= l.MaxAge {
		return 0
	}
	return l.Version - quetzalpier.Version(l.MaxAge)
}

// StartRun adds and returns the run of a launch.
func (l *Ledger) StartRun(launch Launch) *Run {
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

// Finish records the complete sample of a run. The sample is kept if it is the
// first one and fresh enough; cancel then holds the sample's other runs.
func (l *Ledger) Finish(index int, run *Run, sample quetzalpier.Sample) (kept bool, cancel []*Run) {
	item := &l.Items[index]
	l.removeRun(item, run)
	if item.Phase >= Done {
		return false, nil
	}
	if sample.Spans.Validate(sample.Tokens) != nil || !sample.Fresh(l.Version, l.MaxAge) {
		item.Partial = quetzalpier.Sample{}
		return false, nil
	}
	cancel = item.Runs
	for _, other := range cancel {
		other.Canceled = true
	}
	l.accept(item, sample)
	return true, cancel
}

// RestoreSample adds a finished sample that another node stored. It reports whether
// the sample was accepted.
func (l *Ledger) RestoreSample(sample quetzalpier.Sample) bool {
	if sample.Index >= len(l.Items) || l.Items[sample.Index].Phase != Waiting {
		return false
	}
	if sample.Spans.Validate(sample.Tokens) != nil || !sample.Fresh(l.Version, l.MaxAge) {
		return false
	}
	l.accept(&l.Items[sample.Index], sample)
	return true
}

// RestorePartial takes over an unfinished sample from an earlier owner.
func (l *Ledger) RestorePartial(partial quetzalpier.Sample) {
	if partial.Index >= len(l.Items) || partial.Spans.Validate(partial.Tokens) != nil {
		return
	}
	if item := &l.Items[partial.Index]; item.Phase == Waiting && partial.Tokens > item.Partial.Tokens {
		item.Partial = partial
	}
}

// accept marks the sample as done.
func (l *Ledger) accept(item *Item, sample quetzalpier.Sample) {
	l.unfinished[item.Group]--
	item.Phase = Done
	item.Sample = &sample
	item.Partial = quetzalpier.Sample{}
}

// Confirm records which samples the trainer has received, and returns the runs to
// cancel. A sample that the trainer no longer has, for example after a restart
// from its checkpoint, is generated again.
func (l *Ledger) Confirm(have quetzalpier.Bitmap) []*Run {
	var cancel []*Run
	for i := range l.Items {
		item := &l.Items[i]
		if !have.Has(i) {
			if item.Phase == Confirmed {
				item.Phase = Waiting
				l.unfinished[item.Group]++
			}
			continue
		}
		for _, run := range item.Runs {
			run.Canceled = true
			cancel = append(cancel, run)
		}
		if item.Phase < Done {
			l.unfinished[item.Group]--
		}
		item.Phase = Confirmed
		item.Sample = nil
	}
	return cancel
}

// Fail records that a run ended without a complete sample; partial holds its
// tokens.
func (l *Ledger) Fail(index int, run *Run, partial quetzalpier.Sample, retryAt time.Time) {
	item := &l.Items[index]
	l.removeRun(item, run)
	if run.Canceled || item.Phase >= Done {
		return
	}
	item.Failures++
	item.NotBefore = retryAt
	if partial.Tokens > item.Partial.Tokens {
		item.Partial = partial
	}
}

// removeRun removes an ended run from its sample.
func (l *Ledger) removeRun(item *Item, run *Run) {
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

// CancelStale cancels the runs whose oldest token is already too old to be
// delivered, and returns them by sample index.
func (l *Ledger) CancelStale() map[int][]*Run {
	canceled := map[int][]*Run{}
	for i := range l.Items {
		item := &l.Items[i]
		for _, run := range item.Runs {
			oldest, ok := run.Spans.Oldest()
			if ok && oldest < l.MinVersion() && !run.Canceled {
				run.Canceled = true
				canceled[i] = append(canceled[i], run)
			}
		}
	}
	return canceled
}

// DropStale removes finished samples that have become too old, and returns their
// number.
func (l *Ledger) DropStale() int {
	dropped := 0
	for i := range l.Items {
		item := &l.Items[i]
		if item.Phase == Done && !item.Sample.Fresh(l.Version, l.MaxAge) {
			item.Phase = Waiting
			item.Sample = nil
			l.unfinished[item.Group]++
			dropped++
		}
	}
	return dropped
}

const (
	// defaultMaxSamples is the maximum number of samples per answer if the pull sets
	// none.
	defaultMaxSamples = 256
	// maxTextBytes is the total text size at which an answer is full. The sample
	// that reaches it is included, so that every answer can have one.
	maxTextBytes = 8 << 20
)

// Deliver answers a pull with finished samples that the trainer lacks and that are
// fresh enough for the version and bound of the pull. The samples are kept until
// a later pull confirms them.
func (l *Ledger) Deliver(pull quetzalpier.Pull, now time.Time) (batch quetzalpier.Batch, dropped int) {
	l.LastPull = now
	l.RaiseVersion(pull.Version)
	if pull.MaxAge != nil {
		l.MaxAge = *pull.MaxAge
	}
	dropped = l.DropStale()
	batch.Version = l.Version
	limit := pull.MaxSamples
	if limit == 0 {
		limit = defaultMaxSamples
	}
	size := 0
	for i := range l.Items {
		if pull.Have.Has(i) {
			continue
		}
		if item := &l.Items[i]; item.Phase == Done && len(batch.Samples) < limit && size < maxTextBytes {
			size += len(item.Sample.Text)
			batch.Samples = append(batch.Samples, *item.Sample)
			continue
		}
		batch.Remaining++
	}
	return batch, dropped
}
