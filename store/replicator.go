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
	copyTimeout  = 5 * time.Second
	fetchTimeout = 4 * time.Second
	// maxConcurrentSends is the maximum number of concurrent sends; further ones
	// are skipped, since copies are optional.
	maxConcurrentSends = 32
)

// Caller makes calls to other nodes.
type Caller interface {
	Call(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
}

// Replicator sends copies to the nodes with the store role.
type Replicator struct {
	Board *board.Board
	Peers Caller
	Log   zerolog.Logger

	sends conc.WaitGroup
	slots chan struct{}
}

// NewReplicator returns a Replicator that calls other nodes through peers.
func NewReplicator(b *board.Board, peers Caller, log zerolog.Logger) *Replicator {
	return &Replicator{Board: b, Peers: peers, Log: log, slots: make(chan struct{}, maxConcurrentSends)}
}

// Close waits until all sends have ended.
func (r *Replicator) Close() { r.sends.Wait() }

// Send sends copies of a step's samples to a node with the store role, in
// messages of limited size.
func (r *Replicator) Send(key quetzalpier.StepKey, contentHash uint64, samples []quetzalpier.Sample) {
	copies := &wire.Copy{Trainer: key.Trainer, Step: key.Number, Hash: contentHash}
	size := 0
	for _, sample := range samples {
		body, err := json.Marshal(sample)
		if err != nil {
			continue
		}
		if size > 0 && size+len(body) > pageBytes {
			r.sendCopies(key, copies)
			copies = &wire.Copy{Trainer: key.Trainer, Step: key.Number, Hash: contentHash}
			size = 0
		}
		copies.Samples = append(copies.Samples, body)
		size += len(body)
	}
	r.sendCopies(key, copies)
}

// Drop requests that the copies of a step be deleted.
func (r *Replicator) Drop(key quetzalpier.StepKey) {
	r.sendCopies(key, &wire.Copy{Trainer: key.Trainer, Step: key.Number, Close: true})
}

func (r *Replicator) sendCopies(key quetzalpier.StepKey, copies *wire.Copy) {
	storeAddrs := r.storeAddrs(key)
	if len(storeAddrs) == 0 {
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
		if _, err := r.Peers.Call(ctx, storeAddrs[0], &wire.Call{Kind: &wire.Call_Copy{Copy: copies}}); err != nil {
			r.Log.Debug().Err(err).Msg("copies of samples could not be sent to the store node")
		}
	})
}

// Fetch returns the copies of a step's samples from all nodes that may have
// some.
func (r *Replicator) Fetch(ctx context.Context, key quetzalpier.StepKey, contentHash uint64) []quetzalpier.Sample {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	storeAddrs := r.storeAddrs(key)
	found := make([][]quetzalpier.Sample, len(storeAddrs))
	var calls conc.WaitGroup
	for i, addr := range storeAddrs {
		calls.Go(func() { found[i] = r.fetchFrom(ctx, addr, key, contentHash) })
	}
	calls.Wait()
	var samples []quetzalpier.Sample
	for _, batch := range found {
		samples = append(samples, batch...)
	}
	return samples
}

func (r *Replicator) fetchFrom(ctx context.Context, addr string, key quetzalpier.StepKey, contentHash uint64) []quetzalpier.Sample {
	var samples []quetzalpier.Sample
	call := &wire.Recall{Trainer: key.Trainer, Step: key.Number, Hash: contentHash}
	for {
		reply, err := r.Peers.Call(ctx, addr, &wire.Call{Kind: &wire.Call_Recall{Recall: call}})
		if err != nil {
			return samples
		}
		for _, body := range reply.GetCopies().GetSamples() {
			var sample quetzalpier.Sample
			// A copy that a full disk truncated is skipped.
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

// storeAddrs returns the addresses of the nodes that the step's copies are sent
// to, in order of preference. A node with the store role never sends copies to
// itself.
func (r *Replicator) storeAddrs(key quetzalpier.StepKey) []string {
	const maxStores = 3
	var storeAddrs []string
	r.Board.Do(func(s *board.State) {
		var ids []string
		for _, id := range peer.Usable(s, setup.RoleStore) {
			if id != s.Self.ID {
				ids = append(ids, id)
			}
		}
		for _, id := range hash.Owners("copy/"+key.String(), ids, maxStores) {
			storeAddrs = append(storeAddrs, s.Members[id].Peer)
		}
	})
	return storeAddrs
}
