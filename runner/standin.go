package runner

import (
	"context"
	"time"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/wire"
)

const (
	// ownerProbeTimeout limits the call that checks whether the owner responds.
	ownerProbeTimeout = 300 * time.Millisecond
	// standInGrace is how long a stand-in continues while the owner's key still
	// exists after the key-value service is available again: the time to live
	// of the owner's lease plus the delay of the watch event that reports its
	// end.
	standInGrace = 2 * time.Second
)

// StandIn runs the tasks of a job that this node keeps on its disk while the
// key-value service is unavailable, if the pool's owner does not respond. A
// stand-in stores no results and sends no orders. Tasks may run twice, but each
// result is stored in one position only. The stand-in takes over the pool once
// the service is available again and the owner's key is deleted.
//
// Load pattern: the owner's VM is lost during an outage of the service, in which
// no node can take over the pool, while trainers continue to submit steps.
func (r *Runner) StandIn(job *quetzalpier.Job) {
	r.goroutines.Go(func() {
		if r.runner(job.Pool) == nil && r.passToStandby(job) {
			return
		}
		if r.startStandIn(job.Pool) {
			r.OpenJob(job, time.Now())
		}
	})
}

// passToStandby passes a job to another node that processes its pool already. It reports
// whether there is one and it accepted the job.
//
// Load pattern: in an outage, the node that stands in for an owner is too busy to answer
// one of the fronts in time, which turns to the next node with a disk. Two nodes would run
// all jobs on the same engines, and one of them in vain.
func (r *Runner) passToStandby(job *quetzalpier.Job) bool {
	peer := r.findStandby(context.Background(), job.Pool)
	if peer == "" {
		return false
	}
	data, err := wire.EncodeJob(job)
	if err != nil {
		r.Log.Error().Str("job", job.ID).Err(err).Msg("job could not be encoded for the node that processes its pool")
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerProbeTimeout)
	defer cancel()
	_, err = r.Call(ctx, peer, &wire.Call{Kind: &wire.Call_Keep{Keep: &wire.Keep{Job: data, Stored: true}}})
	r.Log.Info().Str("job", job.ID).Str("pool", job.Pool).Str("peer", peer).AnErr("cause", err).Msg("passed a job to the node that processes its pool")
	return err == nil
}

// startStandIn ensures that this node processes the pool. It returns false if
// the pool's owner responds or the node is stopping.
func (r *Runner) startStandIn(pool string) bool {
	if r.runner(pool) != nil {
		return true
	}
	var owner board.Owner
	var peer string
	r.Board.Do(func(s *board.State) {
		owner = s.Owners[pool]
		peer = s.Members[owner.Node].Peer
	})
	if peer != "" && r.nodeResponds(peer) {
		return false
	}
	r.mu.Lock()
	ctx := r.ctx
	r.mu.Unlock()
	if ctx == nil || ctx.Err() != nil {
		return false
	}
	r.Log.Warn().Str("pool", pool).Str("owner", owner.Node).Uint64("fence", owner.Fence).Msg("started standing in for an owner that does not respond")
	p := newPoolRunner(ctx, r, pool, 0)
	p.standInFor = &owner
	r.startRunner(p)
	return true
}

func (r *Runner) nodeResponds(peer string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), ownerProbeTimeout)
	defer cancel()
	_, err := r.Call(ctx, peer, &wire.Call{Kind: &wire.Call_Hold{Hold: &wire.Hold{}}})
	return err == nil
}

// continuesStandIn reports whether the stand-in continues although the owner's
// key exists. kvFailed reports whether the key-value service is unavailable to
// this node.
func (p *poolRunner) continuesStandIn(owner board.Owner, kvFailed bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.standInFor == nil || p.standInFor.Fence != owner.Fence {
		return false
	}
	switch {
	case kvFailed:
		p.kvRecoveredAt = time.Time{}
	case p.kvRecoveredAt.IsZero():
		p.kvRecoveredAt = now
	}
	return kvFailed || now.Sub(p.kvRecoveredAt) < standInGrace
}
