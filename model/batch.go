// Package model simulates one engine with continuous batching. It uses no clock:
// the caller runs one step at a time and gets the step's duration, so that the
// model works in real and in virtual time.
package model

import (
	"container/list"
	"sort"
	"time"

	"quetzalpier"
)

// Params sets an engine's speed and limits.
type Params struct {
	// BaseTime is the duration of a step with an empty batch.
	BaseTime time.Duration
	// PerSeq is the additional duration for each running sequence.
	PerSeq time.Duration
	// PerPrompt is the additional duration for each prompt token that is not in the
	// prefix cache.
	PerPrompt time.Duration
	// Slots is the maximum number of running sequences.
	Slots int
	// CacheSize is the number of prompt prefixes in the prefix cache.
	CacheSize int
	// TokensPerStep is the number of tokens that one step generates for each
	// sequence.
	TokensPerStep int
	// SlowFactor multiplies the duration of each step; zero means one.
	SlowFactor float64
}

// Seq is the token sequence of one request.
type Seq struct {
	ID              string
	Priority        int
	PrefixHash      uint64
	PromptTokens    int
	TargetTokens    int
	GeneratedTokens int
	Spans           quetzalpier.Spans

	order uint64
}

// Done reports whether all tokens have been generated.
func (s *Seq) Done() bool { return s.GeneratedTokens >= s.TargetTokens }

// Batch is the state of an engine: its running and queued sequences and its prefix
// cache.
type Batch struct {
	Params  Params
	Version quetzalpier.Version
	Running []*Seq
	Queue   []*Seq

	cache                *list.List
	cached               map[uint64]*list.Element
	lastOrder            uint64
	uncachedPromptTokens int
}

// New returns an idle engine.
func New(params Params, version quetzalpier.Version) *Batch {
	return &Batch{Params: params, Version: version, cache: list.New(), cached: map[uint64]*list.Element{}}
}

// Add queues a sequence. Lower priority numbers are admitted first, equal ones in
// order of arrival.
func (b *Batch) Add(seq *Seq) {
	b.lastOrder++
	seq.order = b.lastOrder
	index := sort.Search(len(b.Queue), func(i int) bool { return b.Queue[i].Priority > seq.Priority })
	b.Queue = append(b.Queue, nil)
	copy(b.Queue[index+1:], b.Queue[index:])
	b.Queue[index] = seq
}

// Cancel removes a sequence and reports whether it was running or queued.
func (b *Batch) Cancel(id string) bool {
	running, found := removeSeq(b.Running, id)
	if found {
		b.Running = running
		return true
	}
	b.Queue, found = removeSeq(b.Queue, id)
	return found
}

func removeSeq(seqs []*Seq, id string) ([]*Seq, bool) {
	for i, seq := range seqs {
		if seq.ID == id {
			return append(seqs[:i:i], seqs[i+1:]...), true
		}
	}
	return seqs, false
}

// Idle reports whether no sequence is running or queued.
func (b *Batch) Idle() bool { return len(b.Running) == 0 && len(b.Queue) == 0 }

// StartStep admits queued sequences and returns the duration of the next step.
func (b *Batch) StartStep() time.Duration {
	b.uncachedPromptTokens = 0
	for len(b.Queue) > 0 && len(b.Running) < b.Params.Slots {
		seq := b.Queue[0]
		b.Queue = b.Queue[1:]
		if !b.lookupPrefix(seq.PrefixHash) {
			b.uncachedPromptTokens += seq.PromptTokens
		}
		b.Running = append(b.Running, seq)
	}
	p := b.Params
	d := p.BaseTime + time.Duration(len(b.Running))*p.PerSeq + time.Duration(b.uncachedPromptTokens)*p.PerPrompt
	if p.SlowFactor > 0 {
		d = time.Duration(float64(d) * p.SlowFactor)
	}
	return d
}

// FinishStep generates the tokens of one step for each running sequence, and
// removes and returns the finished sequences.
func (b *Batch) FinishStep() []*Seq {
	var done []*Seq
	unfinished := b.Running[:0]
	for _, seq := range b.Running {
		count := min(max(1, b.Params.TokensPerStep), seq.TargetTokens-seq.GeneratedTokens)
		seq.GeneratedTokens += count
		seq.Spans = seq.Spans.Append(b.Version, count)
		if seq.Done() {
			done = append(done, seq)
			continue
		}
		unfinished = append(unfinished, seq)
	}
	b.Running = unfinished
	return done
}

// lookupPrefix reports whether the prefix is cached, and adds it to the cache or
// marks it as most recently used.
func (b *Batch) lookupPrefix(prefix uint64) bool {
	if element, ok := b.cached[prefix]; ok {
		b.cache.MoveToFront(element)
		return true
	}
	if b.Params.CacheSize == 0 {
		return false
	}
	b.cached[prefix] = b.cache.PushFront(prefix)
	if b.cache.Len() > b.Params.CacheSize {
		oldest := b.cache.Back()
		b.cache.Remove(oldest)
		delete(b.cached, oldest.Value.(uint64))
	}
	return false
}
