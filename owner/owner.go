// Package owner runs trainers' open steps: it starts and cuts the runs that
// the step package decides on, and answers pulls.
package owner

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/engine"
	"quetzalpier/meter"
	"quetzalpier/send"
	"quetzalpier/wire"
)

const (
	// idleLimit is how long a step lasts without a word from its trainer.
	idleLimit = 30 * time.Minute
	// ahead is how many runs of a step may wait for a slot at a time.
	ahead = 16
	// tick bounds the time between two looks at a step.
	tick = 250 * time.Millisecond
	// failPause is the wait before a failed sample is started again.
	failPause = 200 * time.Millisecond
	// chunk is how many tokens an engine gathers into one event of a rollout.
	chunk = 16
)

// Copies keeps second copies of finished samples on other nodes.
type Copies interface {
	Keep(key quetzalpier.StepKey, hash uint64, samples []quetzalpier.Sample)
	Recall(ctx context.Context, key quetzalpier.StepKey, hash uint64) []quetzalpier.Sample
	Drop(key quetzalpier.StepKey)
}

// Owner holds the open steps of the trainers that fall to this node.
type Owner struct {
	Board  *board.Board
	Sender *send.Sender
	Engine *engine.Client
	Copies Copies
	Meter  *meter.Meter
	Log    zerolog.Logger
	// Tell passes news on to other nodes.
	Tell func()

	mu      sync.Mutex
	steps   map[quetzalpier.StepKey]*open
	ctx     context.Context
	cancel  context.CancelFunc
	workers conc.WaitGroup
	leaving bool
	// arriving are steps whose handover is not complete.
	arriving map[quetzalpier.StepKey]*open
}

// New returns an owner without steps.
func New(b *board.Board, s *send.Sender, e *engine.Client, copies Copies, m *meter.Meter, log zerolog.Logger, tell func()) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		Board: b, Sender: s, Engine: e, Copies: copies, Meter: m, Log: log, Tell: tell,
		steps: map[quetzalpier.StepKey]*open{}, arriving: map[quetzalpier.StepKey]*open{}, ctx: ctx, cancel: cancel,
	}
}

// Close cuts all runs and waits for them.
func (o *Owner) Close() {
	o.cancel()
	o.workers.Wait()
}

// Handle answers a trainer's call.
func (o *Owner) Handle(ctx context.Context, call *wire.Trainer) *wire.Answer {
	key := quetzalpier.StepKey{Trainer: call.GetTrainer(), Number: call.GetStep()}
	switch call.GetOp() {
	case wire.Trainer_PUT:
		return o.handlePut(ctx, key, call.GetBody())
	case wire.Trainer_PULL:
		return o.handlePull(ctx, key, call.GetBody())
	case wire.Trainer_CLOSE:
		o.close(key)
		return ok(struct{}{})
	case wire.Trainer_PUBLISH:
		return o.handlePublish(call.GetTrainer(), call.GetBody())
	default:
		return problem(quetzalpier.Invalid("op", "unknown"))
	}
}

// Put opens a step. Putting the same step again changes nothing.
func (o *Owner) Put(ctx context.Context, s quetzalpier.Step) error {
	hash := s.Hash()
	if known := o.find(s.Key()); known != nil {
		return known.same(hash)
	}
	kept := o.Copies.Recall(ctx, s.Key(), hash)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leaving {
		return away()
	}
	if known := o.steps[s.Key()]; known != nil {
		return known.same(hash)
	}
	st := o.arriving[s.Key()]
	if st == nil || st.hash != hash {
		st = newOpen(o, s, hash, time.Now())
	}
	delete(o.arriving, s.Key())
	for _, sample := range kept {
		st.ledger.Restore(sample)
	}
	o.start(st)
	return nil
}

// start runs a step; the caller holds the lock.
func (o *Owner) start(st *open) {
	o.steps[st.key] = st
	o.workers.Go(st.run)
	o.Log.Info().Str("step", st.key.String()).Int("samples", len(st.ledger.Items)).Msg("step opened")
}

// Pull answers a trainer's pull, waiting for the first sample if asked to.
func (o *Owner) Pull(ctx context.Context, key quetzalpier.StepKey, pull quetzalpier.Pull) (quetzalpier.Batch, error) {
	st, leaving := o.findOrLeave(key)
	if leaving {
		return quetzalpier.Batch{}, away()
	}
	if st == nil {
		return quetzalpier.Batch{}, quetzalpier.Missing("step", "this node does not know step "+key.String()+"; put it again")
	}
	o.learn(st.ledger.Step, pull.Version)
	return st.pull(ctx, pull), nil
}

// learn takes a trainer's word of its version for the pilots, who may have
// missed its publication.
func (o *Owner) learn(s quetzalpier.Step, version quetzalpier.Version) {
	news := false
	o.Board.Do(func(b *board.State) {
		if b.Config.Pools[s.Pool].Trainer == s.Trainer && version > b.Targets[s.Pool] {
			news = b.Publish(s.Pool, version)
		}
	})
	if news {
		o.Tell()
	}
}

// Publish raises the trainer's version for all its open steps.
func (o *Owner) Publish(trainer string, version quetzalpier.Version) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, st := range o.steps {
		if key.Trainer == trainer {
			st.raise(version)
		}
	}
}

// Steps counts the open steps.
func (o *Owner) Steps() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.steps)
}

func (o *Owner) find(key quetzalpier.StepKey) *open {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.steps[key]
}

func (o *Owner) findOrLeave(key quetzalpier.StepKey) (*open, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.steps[key], o.leaving
}

func (o *Owner) close(key quetzalpier.StepKey) {
	o.mu.Lock()
	st := o.steps[key]
	delete(o.steps, key)
	o.mu.Unlock()
	if st != nil {
		st.cancel()
	}
	o.Copies.Drop(key)
}

func away() error {
	return quetzalpier.Busy("draining", "this node hands its steps over", quetzalpier.RanNo, failPause)
}

func (o *Owner) handlePut(ctx context.Context, key quetzalpier.StepKey, body []byte) *wire.Answer {
	var s quetzalpier.Step
	if err := json.Unmarshal(body, &s); err != nil {
		return problem(asRefusal(err))
	}
	s.Trainer, s.Number = key.Trainer, key.Number
	if err := o.Put(ctx, s); err != nil {
		return problem(asRefusal(err))
	}
	o.learn(s, s.Version)
	return ok(struct{}{})
}

func (o *Owner) handlePull(ctx context.Context, key quetzalpier.StepKey, body []byte) *wire.Answer {
	var pull quetzalpier.Pull
	if err := json.Unmarshal(body, &pull); err != nil {
		return problem(asRefusal(err))
	}
	batch, err := o.Pull(ctx, key, pull)
	if err != nil {
		return problem(asRefusal(err))
	}
	return ok(batch)
}

func (o *Owner) handlePublish(trainer string, body []byte) *wire.Answer {
	var p quetzalpier.Publish
	if err := json.Unmarshal(body, &p); err != nil {
		return problem(asRefusal(err))
	}
	o.Publish(trainer, p.Version)
	return ok(struct{}{})
}

func asRefusal(err error) *quetzalpier.Refusal {
	var refusal *quetzalpier.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return quetzalpier.Malformed(err)
}

func ok(value any) *wire.Answer {
	body, err := json.Marshal(value)
	if err != nil {
		return problem(quetzalpier.Malformed(err))
	}
	return &wire.Answer{Status: http.StatusOK, Body: body}
}

func problem(r *quetzalpier.Refusal) *wire.Answer {
	body, _ := json.Marshal(r)
	return &wire.Answer{Status: int32(r.Status), Body: body, After: uint64(r.After.Milliseconds())}
}
