package runner

import (
	"context"
	"time"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/reach"
)

// Paths tells which nodes reach the upstreams of a pool.
type Paths interface {
	// Reaches reports whether this node reaches upstreams of the pool, or can't tell.
	Reaches(ctx context.Context, pool string) bool
	// Suspect has the path to an upstream checked that failed a call.
	Suspect(vm quetzalpier.VM)
	// ReachedElsewhere reports whether another node reaches upstreams of the pool.
	ReachedElsewhere(ctx context.Context, pool string) bool
}

const (
	// handOverInterval is the time between two questions whether another node reaches the
	// engines that the owner does not reach, and handOverTimeout limits one.
	handOverInterval = 500 * time.Millisecond
	handOverTimeout  = time.Second
	// partitionedDelay is how much longer a node that reaches no engine of a pool waits
	// before it takes it over. It still does if no other node takes it: jobs can be accepted
	// and read then.
	partitionedDelay = 3 * time.Second
)

// handOver is the state of giving up a pool. Only Run uses askedAt.
type handOver struct {
	askedAt time.Time
	// active is set while the pool is being released, guarded by the Runner's lock.
	active bool
}

// mayServe reports whether this node may take over a pool as far as its paths are concerned:
// it reaches engines, or has found out before that it reaches none and waited for others.
func (r *Runner) mayServe(ctx context.Context, pool string) bool {
	if r.Paths == nil {
		return true
	}
	partitioned := false
	r.Board.Do(func(s *board.State) { partitioned = reach.Partitioned(s, pool) })
	return partitioned || r.Paths.Reaches(ctx, pool)
}

// considerHandOver releases a pool whose engines this node does not reach, while another
// node does. Runs and orders need connections of the owner's own.
//
// Load pattern: the owner of a pool is partitioned from all engines for seconds, while the
// key-value service renews its lease.
func (r *Runner) considerHandOver(ctx context.Context, p *poolRunner, now time.Time) {
	partitioned := false
	r.Board.Do(func(s *board.State) { partitioned = reach.Partitioned(s, p.pool) })
	h := r.handOvers[p.pool]
	if r.Paths == nil || !partitioned || now.Sub(h.askedAt) < handOverInterval {
		return
	}
	h.askedAt = now
	r.setHandingOver(h, true)
	r.goroutines.Go(func() {
		defer r.setHandingOver(h, false)
		askCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		defer cancel()
		if r.Paths.ReachedElsewhere(askCtx, p.pool) {
			r.releasePartitioned(p)
		}
	})
}

func (r *Runner) setHandingOver(h *handOver, active bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.active = active
}

func (r *Runner) isHandingOver(pool string) bool {
	if r.handOvers[pool] == nil {
		r.handOvers[pool] = &handOver{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.handOvers[pool].active
}

// releasePartitioned releases a pool to a node that reaches its engines.
func (r *Runner) releasePartitioned(p *poolRunner) {
	r.mu.Lock()
	current := r.runners[p.pool] == p
	if current {
		delete(r.runners, p.pool)
	}
	r.mu.Unlock()
	if !current {
		return
	}
	r.Log.Warn().Str("pool", p.pool).Msg("releasing a pool whose engines only other nodes reach")
	r.releasePool(p)
}

// releasePool stores finished results and releases the pool, so that another node can take
// it over at once.
func (r *Runner) releasePool(p *poolRunner) {
	p.cancel()
	p.flush()
	ctx, cancel := context.WithTimeout(context.Background(), takeOverTimeout)
	defer cancel()
	if err := r.Lease.Release(ctx, p.pool); err != nil {
		r.Log.Warn().Str("pool", p.pool).Err(err).Msg("failed to release pool; its lease will expire")
	}
	r.Log.Info().Str("pool", p.pool).Msg("released pool")
}
