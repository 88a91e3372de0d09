package step

import (
	"time"

	"quetzalpier"
)

// Naive is the naive baseline that Ledger is measured against: it trusts its
// own memory of what it has delivered, and judges a sample's age when the
// sample is finished.
type Naive struct {
	Step    quetzalpier.Step
	Version quetzalpier.Version
	Bound   uint64

	ready []quetzalpier.Sample
	known quetzalpier.Bitmap
}

// NewNaive returns the baseline for a step.
func NewNaive(s quetzalpier.Step) *Naive {
	return &Naive{Step: s, Version: s.Version, Bound: s.Bound}
}

// Missing returns the samples that are not finished yet.
func (n *Naive) Missing() []int {
	var missing []int
	for i := range n.Step.Samples() {
		if !n.known.Has(i) {
			missing = append(missing, i)
		}
	}
	return missing
}

// Finish takes a finished sample.
func (n *Naive) Finish(sample quetzalpier.Sample) {
	if n.known.Has(sample.Index) || !sample.Fresh(n.Version, n.Bound) {
		return
	}
	n.known = n.known.Set(sample.Index)
	n.ready = append(n.ready, sample)
}

// Deliver gives out what has been finished since the last call.
func (n *Naive) Deliver(pull quetzalpier.Pull, _ time.Time) quetzalpier.Batch {
	n.Version = max(n.Version, pull.Version)
	batch := quetzalpier.Batch{Samples: n.ready, Version: n.Version}
	n.ready = nil
	return batch
}
