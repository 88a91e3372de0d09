package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/step"
	"quetzalpier/wire"
)

// Pass gives a handover to the step's next owner.
type Pass func(ctx context.Context, trainer string, h *wire.Handover) error

// HandOver ends all steps here and gives them, with what their runs have made,
// to their next owners. Waiting pulls are answered at once; their trainers
// find the new owner with the next pull. A handover that fails costs work
// only: the trainer puts the step again.
func (o *Owner) HandOver(ctx context.Context, pass Pass) {
	o.mu.Lock()
	o.leaving = true
	steps := o.steps
	o.steps = map[quetzalpier.StepKey]*open{}
	o.mu.Unlock()
	var sends conc.WaitGroup
	for key, st := range steps {
		sends.Go(func() {
			st.cancel()
			h, err := st.export()
			if err == nil {
				err = pass(ctx, key.Trainer, h)
			}
			if err != nil {
				o.Log.Warn().Err(err).Str("step", key.String()).Msg("step not handed over")
			}
		})
	}
	sends.Wait()
}

// export waits for the canceled runs to end and returns the step's content.
func (st *open) export() (*wire.Handover, error) {
	// Once the lock was free after the cancel, no further run is launched.
	st.mu.Lock()
	canceled := st.ctx.Err()
	st.mu.Unlock()
	st.runs.Wait()
	st.mu.Lock()
	defer st.mu.Unlock()
	if canceled == nil {
		return nil, errors.New("step is still running")
	}
	body, err := json.Marshal(st.ledger.Step)
	if err != nil {
		return nil, errors.Wrap(err, "encode step")
	}
	h := &wire.Handover{Step: body, Version: uint64(st.ledger.Version)}
	for i := range st.ledger.Items {
		item := &st.ledger.Items[i]
		switch {
		case item.Phase == step.Done:
			h.Samples, err = appendJSON(h.GetSamples(), item.Sample)
		case item.Phase == step.Waiting && item.Partial.Tokens > 0:
			h.Partials, err = appendJSON(h.GetPartials(), item.Partial)
		}
		if err != nil {
			return nil, errors.Wrap(err, "encode sample")
		}
	}
	return h, nil
}

func appendJSON(list [][]byte, value any) ([][]byte, error) {
	body, err := json.Marshal(value)
	return append(list, body), err
}

// Accept takes over a step from its earlier owner.
func (o *Owner) Accept(h *wire.Handover) error {
	var s quetzalpier.Step
	if err := json.Unmarshal(h.GetStep(), &s); err != nil {
		return errors.Wrap(err, "decode step")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leaving {
		return away()
	}
	st := o.steps[s.Key()]
	if st == nil {
		st = newOpen(o, s, s.Hash(), time.Now())
		defer o.start(st)
	}
	return st.adopt(h)
}

func (st *open) adopt(h *wire.Handover) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ledger.Raise(quetzalpier.Version(h.GetVersion()))
	for _, body := range h.GetSamples() {
		var sample quetzalpier.Sample
		if err := json.Unmarshal(body, &sample); err != nil {
			return errors.Wrap(err, "decode sample")
		}
		st.ledger.Restore(sample)
	}
	for _, body := range h.GetPartials() {
		var partial quetzalpier.Sample
		if err := json.Unmarshal(body, &partial); err != nil {
			return errors.Wrap(err, "decode sample")
		}
		st.ledger.Resume(partial)
	}
	return nil
}
