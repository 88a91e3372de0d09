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
			if err := st.handOver(ctx, pass); err != nil {
				o.Log.Warn().Err(err).Str("step", key.String()).Msg("step not handed over")
			}
		})
	}
	sends.Wait()
}

// handoverBytes bounds one message of a handover.
const handoverBytes = 8 << 20

// handOver passes the step on in messages of bounded size.
func (st *open) handOver(ctx context.Context, pass Pass) error {
	messages, err := st.export()
	if err != nil {
		return err
	}
	for i, h := range messages {
		h.More = i < len(messages)-1
		if err := pass(ctx, st.key.Trainer, h); err != nil {
			return err
		}
	}
	return nil
}

// export waits for the canceled runs to end and returns the step's content.
func (st *open) export() ([]*wire.Handover, error) {
	// Once the lock was free after the cancel, no further run is launched.
	st.mu.Lock()
	canceled := st.ctx.Err()
	st.mu.Unlock()
	if canceled == nil {
		return nil, errors.New("step is still running")
	}
	st.runs.Wait()
	st.mu.Lock()
	defer st.mu.Unlock()
	body, err := json.Marshal(st.ledger.Step)
	if err != nil {
		return nil, errors.Wrap(err, "encode step")
	}
	p := packer{step: body, version: uint64(st.ledger.Version)}
	p.next()
	for i := range st.ledger.Items {
		item := &st.ledger.Items[i]
		switch {
		case item.Phase == step.Done:
			err = p.add(item.Sample, true)
		case item.Phase == step.Waiting && item.Partial.Tokens > 0:
			err = p.add(&item.Partial, false)
		}
		if err != nil {
			return nil, err
		}
	}
	return p.messages, nil
}

// packer fills messages of a handover.
type packer struct {
	step     []byte
	version  uint64
	messages []*wire.Handover
	size     int
}

func (p *packer) next() {
	p.messages = append(p.messages, &wire.Handover{Step: p.step, Version: p.version})
	p.size = len(p.step)
}

func (p *packer) add(sample *quetzalpier.Sample, whole bool) error {
	body, err := json.Marshal(sample)
	if err != nil {
		return errors.Wrap(err, "encode sample")
	}
	if p.size+len(body) > handoverBytes {
		p.next()
	}
	p.size += len(body)
	h := p.messages[len(p.messages)-1]
	if whole {
		h.Samples = append(h.Samples, body)
		return nil
	}
	h.Partials = append(h.Partials, body)
	return nil
}

// Accept takes over a message of a step's handover. The step starts with the
// last one, so that nothing is made again that is still to arrive.
func (o *Owner) Accept(h *wire.Handover) error {
	var s quetzalpier.Step
	if err := json.Unmarshal(h.GetStep(), &s); err != nil {
		return errors.Wrap(err, "decode step")
	}
	key := s.Key()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leaving {
		return away()
	}
	st := o.steps[key]
	if st == nil {
		st = o.arriving[key]
	}
	if st == nil {
		st = newOpen(o, s, s.Hash(), time.Now())
		o.arriving[key] = st
	}
	if err := st.adopt(h); err != nil {
		return err
	}
	if st = o.arriving[key]; st != nil && !h.GetMore() {
		delete(o.arriving, key)
		if o.steps[key] == nil {
			o.start(st)
		}
	}
	return nil
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
