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

// SendHandover sends a handover message to the next owner of a trainer's steps.
type SendHandover func(ctx context.Context, trainer string, h *wire.Handover) error

// HandOver stops all steps on this node and sends them, with their samples and
// partial samples, to their next owners. Waiting pulls return at once, and the
// trainers reach the new owner with the next pull. A failed handover only
// costs repeated work, because the trainer puts the step again.
func (o *Owner) HandOver(ctx context.Context, send SendHandover) {
	o.mu.Lock()
	o.draining = true
	steps := o.steps
	o.steps = map[quetzalpier.StepKey]*openStep{}
	o.mu.Unlock()
	var sends conc.WaitGroup
	for key, st := range steps {
		sends.Go(func() {
			st.cancel()
			if err := st.handOver(ctx, send); err != nil {
				o.Log.Warn().Err(err).Str("step", key.String()).Msg("failed to hand over step")
			}
		})
	}
	sends.Wait()
}

// handoverBytes is the size limit of a handover message.
const handoverBytes = 8 << 20

// handOver sends the step in messages of limited size.
func (st *openStep) handOver(ctx context.Context, send SendHandover) error {
	messages, err := st.export()
	if err != nil {
		return err
	}
	for i, h := range messages {
		h.More = i < len(messages)-1
		if err := send(ctx, st.key.Trainer, h); err != nil {
			return err
		}
	}
	return nil
}

// export waits for the canceled runs to end and returns the handover messages.
func (st *openStep) export() ([]*wire.Handover, error) {
	// advance checks the context under the lock, so no run is launched after this.
	st.mu.Lock()
	canceled := st.ctx.Err()
	st.mu.Unlock()
	if canceled == nil {
		return nil, errors.New("step has not been canceled")
	}
	st.runs.Wait()
	st.mu.Lock()
	defer st.mu.Unlock()
	body, err := json.Marshal(st.ledger.Step)
	if err != nil {
		return nil, errors.Wrap(err, "encode step")
	}
	p := handoverPacker{step: body, version: uint64(st.ledger.Version)}
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

// handoverPacker distributes samples over handover messages.
type handoverPacker struct {
	step     []byte
	version  uint64
	messages []*wire.Handover
	size     int
}

func (p *handoverPacker) next() {
	p.messages = append(p.messages, &wire.Handover{Step: p.step, Version: p.version})
	p.size = len(p.step)
}

func (p *handoverPacker) add(sample *quetzalpier.Sample, complete bool) error {
	body, err := json.Marshal(sample)
	if err != nil {
		return errors.Wrap(err, "encode sample")
	}
	if p.size+len(body) > handoverBytes {
		p.next()
	}
	p.size += len(body)
	h := p.messages[len(p.messages)-1]
	if complete {
		h.Samples = append(h.Samples, body)
		return nil
	}
	h.Partials = append(h.Partials, body)
	return nil
}

// Accept processes a handover message. The step starts after the last message, so
// that samples in later messages are not generated again.
func (o *Owner) Accept(h *wire.Handover) error {
	var s quetzalpier.Step
	if err := json.Unmarshal(h.GetStep(), &s); err != nil {
		return errors.Wrap(err, "decode step")
	}
	key := s.Key()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return drainingError()
	}
	st := o.steps[key]
	if st == nil {
		st = o.incoming[key]
	}
	if st == nil {
		st = newOpenStep(o, s, s.Hash(), time.Now())
		o.incoming[key] = st
	}
	if err := st.importMessage(h); err != nil {
		return err
	}
	if st = o.incoming[key]; st != nil && !h.GetMore() {
		delete(o.incoming, key)
		if o.steps[key] == nil {
			o.start(st)
		}
	}
	return nil
}

func (st *openStep) importMessage(h *wire.Handover) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ledger.RaiseVersion(quetzalpier.Version(h.GetVersion()))
	for _, body := range h.GetSamples() {
		var sample quetzalpier.Sample
		if err := json.Unmarshal(body, &sample); err != nil {
			return errors.Wrap(err, "decode sample")
		}
		st.ledger.RestoreSample(sample)
	}
	for _, body := range h.GetPartials() {
		var partial quetzalpier.Sample
		if err := json.Unmarshal(body, &partial); err != nil {
			return errors.Wrap(err, "decode sample")
		}
		st.ledger.RestorePartial(partial)
	}
	return nil
}
