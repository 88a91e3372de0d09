// Package owner runs trainers' open steps: it starts and cancels runs as the step
// package decides, and serves pulls.
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
	// stepIdleTimeout is how long a step stays open without a call of its trainer.
	stepIdleTimeout = 30 * time.Minute
	// maxWaitingRuns limits the runs of a step that wait for a slot.
	maxWaitingRuns = 16
	// advanceInterval is the longest time between two calls of advance for a step.
	advanceInterval = 250 * time.Millisecond
	// minRetryDelay is the shortest delay before a failed sample is retried.
	minRetryDelay = 200 * time.Millisecond
	// tokensPerEvent is how many tokens an engine sends in one event of a rollout.
	tokensPerEvent = 16
)

// Copies stores copies of finished samples on other nodes.
type Copies interface {
	Send(key quetzalpier.StepKey, hash uint64, samples []quetzalpier.Sample)
	Fetch(ctx context.Context, key quetzalpier.StepKey, hash uint64) []quetzalpier.Sample
	Drop(key quetzalpier.StepKey)
}

// Owner holds the open steps of the trainers that are assigned to this node.
type Owner struct {
	Board  *board.Board
	Sender *send.Sender
	Engine *engine.Client
	Copies Copies
	Meter  *meter.Meter
	Log    zerolog.Logger
	// Broadcast sends changes of the board to other nodes.
	Broadcast func()

	mu       sync.Mutex
	steps    map[quetzalpier.StepKey]*openStep
	ctx      context.Context
	cancel   context.CancelFunc
	workers  conc.WaitGroup
	draining bool
	// incoming holds the steps whose handover is not complete.
	incoming map[quetzalpier.StepKey]*openStep
}

// New returns an owner without steps.
func New(b *board.Board, s *send.Sender, e *engine.Client, copies Copies, m *meter.Meter, log zerolog.Logger, broadcast func()) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		Board: b, Sender: s, Engine: e, Copies: copies, Meter: m, Log: log, Broadcast: broadcast,
		steps: map[quetzalpier.StepKey]*openStep{}, incoming: map[quetzalpier.StepKey]*openStep{}, ctx: ctx, cancel: cancel,
	}
}

// Close cancels all runs and waits for them to end.
func (o *Owner) Close() {
	o.cancel()
	o.workers.Wait()
}

// Handle serves a trainer's call.
func (o *Owner) Handle(ctx context.Context, call *wire.Trainer) *wire.Answer {
	key := quetzalpier.StepKey{Trainer: call.GetTrainer(), Number: call.GetStep()}
	switch call.GetOp() {
	case wire.Trainer_PUT:
		return o.handlePut(ctx, key, call.GetBody())
	case wire.Trainer_PULL:
		return o.handlePull(ctx, key, call.GetBody())
	case wire.Trainer_CLOSE:
		o.close(key)
		return okAnswer(struct{}{})
	case wire.Trainer_PUBLISH:
		return o.handlePublish(call.GetTrainer(), call.GetBody())
	default:
		return problemAnswer(quetzalpier.Invalid("op", "unknown"))
	}
}

// Put opens a step. It is idempotent for the same content; a step with the same
// key and other content is a conflict.
func (o *Owner) Put(ctx context.Context, s quetzalpier.Step) error {
	hash := s.Hash()
	if known := o.findStep(s.Key()); known != nil {
		return known.checkHash(hash)
	}
	samples := o.Copies.Fetch(ctx, s.Key(), hash)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return drainingError()
	}
	if known := o.steps[s.Key()]; known != nil {
		return known.checkHash(hash)
	}
	st := o.incoming[s.Key()]
	if st == nil || st.hash != hash {
		st = newOpenStep(o, s, hash, time.Now())
	}
	delete(o.incoming, s.Key())
	for _, sample := range samples {
		st.ledger.RestoreSample(sample)
	}
	o.start(st)
	return nil
}

// start runs a step. The caller holds the lock.
func (o *Owner) start(st *openStep) {
	o.steps[st.key] = st
	o.workers.Go(st.run)
	o.Log.Info().Str("step", st.key.String()).Int("samples", len(st.ledger.Items)).Msg("step opened")
}

// Pull returns finished samples of a step. If there are none it waits for the
// first one, at most as long as the pull allows.
func (o *Owner) Pull(ctx context.Context, key quetzalpier.StepKey, pull quetzalpier.Pull) (quetzalpier.Batch, error) {
	st, draining := o.findStepAndDraining(key)
	if draining {
		return quetzalpier.Batch{}, drainingError()
	}
	if st == nil {
		return quetzalpier.Batch{}, quetzalpier.NotFound("step", "this node does not know step "+key.String()+"; put it again")
	}
	o.raiseTarget(st.ledger.Step, pull.Version)
	return st.pull(ctx, pull), nil
}

// raiseTarget publishes the version that a trainer reports with a call, in case
// the pilots missed it when it was published.
func (o *Owner) raiseTarget(s quetzalpier.Step, version quetzalpier.Version) {
	changed := false
	o.Board.Do(func(b *board.State) {
		if b.Config.Pools[s.Pool].Trainer == s.Trainer && version > b.TargetVersions[s.Pool] {
			changed = b.RaiseTarget(s.Pool, version)
		}
	})
	if changed {
		o.Broadcast()
	}
}

// Publish raises the current version of all open steps of the trainer.
func (o *Owner) Publish(trainer string, version quetzalpier.Version) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, st := range o.steps {
		if key.Trainer == trainer {
			st.raiseVersion(version)
		}
	}
}

// StepCount returns the number of open steps.
func (o *Owner) StepCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.steps)
}

func (o *Owner) findStep(key quetzalpier.StepKey) *openStep {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.steps[key]
}

func (o *Owner) findStepAndDraining(key quetzalpier.StepKey) (*openStep, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.steps[key], o.draining
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

func drainingError() error {
	return quetzalpier.Unavailable("draining", "this node hands its steps over", quetzalpier.RanNo, minRetryDelay)
}

func (o *Owner) handlePut(ctx context.Context, key quetzalpier.StepKey, body []byte) *wire.Answer {
	var s quetzalpier.Step
	if err := json.Unmarshal(body, &s); err != nil {
		return problemAnswer(asRefusal(err))
	}
	s.Trainer, s.Number = key.Trainer, key.Number
	if err := o.Put(ctx, s); err != nil {
		return problemAnswer(asRefusal(err))
	}
	o.raiseTarget(s, s.Version)
	return okAnswer(struct{}{})
}

func (o *Owner) handlePull(ctx context.Context, key quetzalpier.StepKey, body []byte) *wire.Answer {
	var pull quetzalpier.Pull
	if err := json.Unmarshal(body, &pull); err != nil {
		return problemAnswer(asRefusal(err))
	}
	batch, err := o.Pull(ctx, key, pull)
	if err != nil {
		return problemAnswer(asRefusal(err))
	}
	return okAnswer(batch)
}

func (o *Owner) handlePublish(trainer string, body []byte) *wire.Answer {
	var p quetzalpier.Publish
	if err := json.Unmarshal(body, &p); err != nil {
		return problemAnswer(asRefusal(err))
	}
	o.Publish(trainer, p.Version)
	return okAnswer(struct{}{})
}

func asRefusal(err error) *quetzalpier.Refusal {
	var refusal *quetzalpier.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return quetzalpier.Malformed(err)
}

func okAnswer(value any) *wire.Answer {
	body, err := json.Marshal(value)
	if err != nil {
		return problemAnswer(quetzalpier.Malformed(err))
	}
	return &wire.Answer{Status: http.StatusOK, Body: body}
}

func problemAnswer(r *quetzalpier.Refusal) *wire.Answer {
	body, _ := json.Marshal(r)
	return &wire.Answer{Status: int32(r.Status), Body: body, After: uint64(r.RetryAfter.Milliseconds())}
}
