// Package model is a model of one continuously batching engine. It knows no
// clock: whoever drives it takes one step at a time and is told how long the
// step lasts, so that it serves real and virtual time alike.
package model

import (
	"container/list"
	"sort"
	"time"

	"quetzalpier"
)

// Params sets an engine's speed and limits.
type Params struct {
	// Base is a step's duration with an empty batch.
	Base time.Duration
	// PerSeq is added to a step for each running sequence.
	PerSeq time.Duration
	// PerPrompt is added for each prompt token that the prefix cache lacks.
	PerPrompt time.Duration
	// Slots is the largest batch.
	Slots int
	// Cache is how many prompt prefixes the engine remembers.
	Cache int
	// Stride is how many tokens each sequence gains in one step.
	Stride int
	// Slow multiplies every duration; zero means one.
	Slow float64
}

// Seq is one request in the engine.
type Seq struct {
	ID       string
	Priority int
	Prefix   uint64
	Prompt   int
	Want     int
	Made     int
	Spans    quetzalpier.Spans

	order uint64
}

// Done tells whether all tokens are made.
func (s *Seq) Done() bool { return s.Made >= s.Want }

// Batch is the engine's state.
type Batch struct {
	Params  Params
	Version quetzalpier.Version
	Running []*Seq
	Queue   []*Seq

	cache   *list.List
	cached  map[uint64]*list.Element
	counter uint64
	prompts int
}

// New returns an idle engine.
func New(params Params, version quetzalpier.Version) *Batch {
	return &Batch{Params: params, Version: version, cache: list.New(), cached: map[uint64]*list.Element{}}
}

// Add queues a sequence; a lower priority number goes first.
func (b *Batch) Add(seq *Seq) {
	b.counter++
	seq.order = b.counter
	at := sort.Search(len(b.Queue), func(i int) bool { return b.Queue[i].Priority > seq.Priority })
	b.Queue = append(b.Queue, nil)
	copy(b.Queue[at+1:], b.Queue[at:])
	b.Queue[at] = seq
}

// Cancel removes a sequence; false if it is not there.
func (b *Batch) Cancel(id string) bool {
	running, found := without(b.Running, id)
	if found {
		b.Running = running
		return true
	}
	b.Queue, found = without(b.Queue, id)
	return found
}

func without(seqs []*Seq, id string) ([]*Seq, bool) {
	for i, seq := range seqs {
		if seq.ID == id {
			return append(seqs[:i:i], seqs[i+1:]...), true
		}
	}
	return seqs, false
}

// Idle tells whether there is nothing to do.
func (b *Batch) Idle() bool { return len(b.Running) == 0 && len(b.Queue) == 0 }

// Begin admits queued sequences and returns the duration of the next step.
func (b *Batch) Begin() time.Duration {
	b.prompts = 0
	for len(b.Queue) > 0 && len(b.Running) < b.Params.Slots {
		seq := b.Queue[0]
		b.Queue = b.Queue[1:]
		if !b.touch(seq.Prefix) {
			b.prompts += seq.Prompt
		}
		b.Running = append(b.Running, seq)
	}
	p := b.Params
	d := p.Base + time.Duration(len(b.Running))*p.PerSeq + time.Duration(b.prompts)*p.PerPrompt
	if p.Slow > 0 {
		d = time.Duration(float64(d) * p.Slow)
	}
	return d
}

// Step gives each running sequence its tokens and returns the finished ones.
func (b *Batch) Step() []*Seq {
	var done []*Seq
	left := b.Running[:0]
	for _, seq := range b.Running {
		gain := min(max(1, b.Params.Stride), seq.Want-seq.Made)
		seq.Made += gain
		seq.Spans = seq.Spans.Append(b.Version, gain)
		if seq.Done() {
			done = append(done, seq)
			continue
		}
		left = append(left, seq)
	}
	b.Running = left
	return done
}

// touch tells whether the prefix was cached and makes it the newest.
func (b *Batch) touch(prefix uint64) bool {
	if at, ok := b.cached[prefix]; ok {
		b.cache.MoveToFront(at)
		return true
	}
	if b.Params.Cache == 0 {
		return false
	}
	b.cached[prefix] = b.cache.PushFront(prefix)
	if b.cache.Len() > b.Params.Cache {
		last := b.cache.Back()
		b.cache.Remove(last)
		delete(b.cached, last.Value.(uint64))
	}
	return false
}
