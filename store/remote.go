package store

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/peer"
	"quetzalpier/setup"
	"quetzalpier/wire"
)

const (
	copyTimeout   = 5 * time.Second
	recallTimeout = 4 * time.Second
	// maxSends bounds the copies under way; further ones are left out.
	maxSends = 32
)

// Caller calls another node.
type Caller interface {
	Call(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
}

// Remote sends copies to the nodes with the store role.
type Remote struct {
	Board *board.Board
	Peers Caller
	Log   zerolog.Logger

	sends conc.WaitGroup
	slots chan struct{}
}

// NewRemote returns a Remote.
func NewRemote(b *board.Board, peers Caller, log zerolog.Logger) *Remote {
	return &Remote{Board: b, Peers: peers, Log: log, slots: make(chan struct{}, maxSends)}
}

// Close waits for the copies under way.
func (r *Remote) Close() { r.sends.Wait() }

// Keep sends samples to the step's store, in messages of bounded size.
func (r *Remote) Keep(key quetzalpier.StepKey, sum uint64, samples []quetzalpier.Sample) {
	copies := &wire.Copy{Trainer: key.Trainer, Step: key.Number, Hash: sum}
	size := 0
	for _, sample := range samples {
		body, err := json.Marshal(sample)
		if err != nil {
			continue
		}
		if size > 0 && size+len(body) > pageBytes {
			r.send(key, copies)
			copies = &wire.Copy{Trainer: key.Trainer, Step: key.Number, Hash: sum}
			size = 0
		}
		copies.Samples = append(copies.Samples, body)
		size += len(body)
	}
	r.send(key, copies)
}

// Drop tells the step's store that the copies are not needed any more.
func (r *Remote) Drop(key quetzalpier.StepKey) {
	r.send(key, &wire.Copy{Trainer: key.Trainer, Step: key.Number, Close: true})
}

func (r *Remote) send(key quetzalpier.StepKey, copies *wire.Copy) {
	homes := r.homes(key)
	if len(homes) == 0 {
		return
	}
	select {
	case r.slots <- struct{}{}:
	default:
		return
	}
	r.sends.Go(func() {
		defer func() { <-r.slots }()
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		if _, err := r.Peers.Call(ctx, homes[0], &wire.Call{Kind: &wire.Call_Copy{Copy: copies}}); err != nil {
			r.Log.Debug().Err(err).Msg("copy not kept")
		}
	})
}

// Recall asks the nodes that may have copies of the step.
func (r *Remote) Recall(ctx context.Context, key quetzalpier.StepKey, sum uint64) []quetzalpier.Sample {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	homes := r.homes(key)
	found := make([][]quetzalpier.Sample, len(homes))
	var asks conc.WaitGroup
	for i, home := range homes {
		asks.Go(func() { found[i] = r.recall(ctx, home, key, sum) })
	}
	asks.Wait()
	var samples []quetzalpier.Sample
	for _, some := range found {
		samples = append(samples, some...)
	}
	return samples
}

func (r *Remote) recall(ctx context.Context, home string, key quetzalpier.StepKey, sum uint64) []quetzalpier.Sample {
	var samples []quetzalpier.Sample
	call := &wire.Recall{Trainer: key.Trainer, Step: key.Number, Hash: sum}
	for {
		reply, err := r.Peers.Call(ctx, home, &wire.Call{Kind: &wire.Call_Recall{Recall: call}})
		if err != nil {
			return samples
		}
		for _, body := range reply.GetCopies().GetSamples() {
			var sample quetzalpier.Sample
			// A copy cut short by a full disk is passed over.
			if json.Unmarshal(body, &sample) == nil {
				samples = append(samples, sample)
			}
		}
		if !reply.GetCopies().GetMore() {
			return samples
		}
		call.Skip += uint64(len(reply.GetCopies().GetSamples()))
	}
}

// homes returns the addresses of the stores that the step's copies go to, the
// first one first. An owner that is a store itself sends them elsewhere.
func (r *Remote) homes(key quetzalpier.StepKey) []string {
	const spares = 3
	var homes []string
	r.Board.Do(func(s *board.State) {
		var ids []string
		for _, id := range peer.Usable(s, setup.RoleStore) {
			if id != s.Self.ID {
				ids = append(ids, id)
			}
		}
		for _, id := range hash.Owners("copy/"+key.String(), ids, spares) {
			homes = append(homes, s.Members[id].Peer)
		}
	})
	return homes
}
