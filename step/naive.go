package step

import (
	"time"

	"quetzalpier"
)

// NaiveLedger is the baseline for measurements of Ledger: it assumes that every
// delivered sample arrives, and checks the age of a sample only when it finishes.
type NaiveLedger struct {
	Step    quetzalpier.Step
	Version quetzalpier.Version
	MaxAge  uint64

	undelivered []quetzalpier.Sample
	finished    quetzalpier.Bitmap
}

// NewNaiveLedger returns the baseline for a step.
func NewNaiveLedger(s quetzalpier.Step) *NaiveLedger {
	return &NaiveLedger{Step: s, Version: s.Version, MaxAge: s.MaxAge}
}

// Missing returns the indexes of the unfinished samples.
func (n *NaiveLedger) Missing() []int {
	var missing []int
	for i := range n.Step.Samples() {
		if !n.finished.Has(i) {
			missing = append(missing, i)
		}
	}
	return missing
}

// Finish records a finished sample.
func (n *NaiveLedger) Finish(sample quetzalpier.Sample) {
	if n.finished.Has(sample.Index) || !sample.Fresh(n.Version, n.MaxAge) {
		return
	}
	n.finished = n.finished.Set(sample.Index)
	n.undelivered = append(n.undelivered, sample)
}

// Deliver returns the samples finished since the last call.
func (n *NaiveLedger) Deliver(pull quetzalpier.Pull, _ time.Time) quetzalpier.Batch {
	n.Version = max(n.Version, pull.Version)
	batch := quetzalpier.Batch{Samples: n.undelivered, Version: n.Version}
	n.undelivered = nil
	return batch
}
