package runner

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalpier/board"
	"quetzalpier/client"
	"quetzalpier/sleep"
	"quetzalpier/wire"
)

const (
	// holdCallWait is how long one call waits for the end of the owner process,
	// and holdCallMargin is added for the reply.
	holdCallWait   = 20 * time.Second
	holdCallMargin = time.Second
	// probeTimeout limits the connection attempt that shows whether a process
	// still listens.
	probeTimeout       = 300 * time.Millisecond
	ownerWatchInterval = 200 * time.Millisecond
)

// watchOwner keeps a call open to the owner of the pool. A reset or refused
// connection from a live VM proves that the process is gone, so that the pool
// can be taken over before the lease expires. A missing response proves
// nothing.
func (r *Runner) watchOwner(ctx context.Context, pool string) {
	for sleep.For(ctx, ownerWatchInterval) {
		owner, peer, rank, ok := r.ownerToWatch(pool)
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, holdCallWait+holdCallMargin)
		_, err := r.Call(callCtx, peer, &wire.Call{Kind: &wire.Call_Hold{Hold: &wire.Hold{Wait: uint64(holdCallWait.Milliseconds())}}})
		cancel()
		if err == nil || ctx.Err() != nil || !refusesConnections(peer) {
			continue
		}
		if r.runner(pool) == nil {
			delay := takeOverDelay(rank)
			if r.findStandby(ctx, pool) != "" {
				delay += standbyLead
			}
			sleep.For(ctx, delay)
		}
		if current, _, _, ok := r.ownerToWatch(pool); ok && current == owner && refusesConnections(peer) {
			r.replaceOwner(ctx, pool, owner, time.Now())
		}
	}
}

// ownerToWatch returns the pool's owner and its peer address if this node is a
// candidate to replace it.
func (r *Runner) ownerToWatch(pool string) (owner board.Owner, peer string, rank int, ok bool) {
	r.Board.Do(func(s *board.State) {
		owner = s.Owners[pool]
		m, known := s.Members[owner.Node]
		rank, ok = candidateRank(s, pool)
		ok = ok && known && owner.Node != s.Self.ID
		peer = m.Peer
	})
	return owner, peer, rank, ok
}

func refusesConnections(addr string) bool {
	conn, err := client.Dial(addr, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func (r *Runner) replaceOwner(ctx context.Context, pool string, owner board.Owner, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	leaseID, err := r.Lease.Grant(ctx, now)
	taken := false
	if err == nil {
		taken, err = r.Lease.Replace(ctx, pool, owner.Fence, leaseID)
	}
	r.Log.Info().Str("pool", pool).Str("owner", owner.Node).Uint64("fence", owner.Fence).Bool("taken", taken).AnErr("cause", err).
		Msg("tried to replace the owner, whose process is gone")
}
