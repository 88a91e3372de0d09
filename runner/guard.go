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
	// holdWait is how long one call that waits for the owner's end lasts.
	holdWait = 20 * time.Second
	holdMore = time.Second
	// proofTimeout bounds the connection that proves that a process is gone.
	proofTimeout = 300 * time.Millisecond
	guardEvery   = 200 * time.Millisecond
)

// guard keeps a call open to the owner of the pool. A reset or refused
// connection from a live VM proves that the process is gone, and its lease
// need not be waited for. Silence proves nothing.
func (r *Runner) guard(ctx context.Context, pool string) {
	for sleep.For(ctx, guardEvery) {
		owner, peer, rank, ok := r.guarded(pool)
		if !ok {
			continue
		}
		call, cancel := context.WithTimeout(ctx, holdWait+holdMore)
		_, err := r.Call(call, peer, &wire.Call{Kind: &wire.Call_Hold{Hold: &wire.Hold{Wait: uint64(holdWait.Milliseconds())}}})
		cancel()
		if err == nil || ctx.Err() != nil || !refuses(peer) {
			continue
		}
		sleep.For(ctx, delay(rank))
		if now, _, _, ok := r.guarded(pool); ok && now == owner && refuses(peer) {
			r.replace(ctx, pool, owner, time.Now())
		}
	}
}

// guarded returns the pool's owner if this node may follow it.
func (r *Runner) guarded(pool string) (owner board.Owner, peer string, rank int, ok bool) {
	r.Board.Do(func(s *board.State) {
		owner = s.Owners[pool]
		m, known := s.Members[owner.Node]
		rank, ok = candidacy(s, pool)
		ok = ok && known && owner.Node != s.Self.ID
		peer = m.Peer
	})
	return owner, peer, rank, ok
}

func refuses(addr string) bool {
	conn, err := client.Dial(addr, proofTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func (r *Runner) replace(ctx context.Context, pool string, owner board.Owner, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	held, err := r.Lease.Grant(ctx, now)
	taken := false
	if err == nil {
		taken, err = r.Lease.Replace(ctx, pool, owner.Fence, held)
	}
	r.Log.Info().Str("pool", pool).Str("owner", owner.Node).Uint64("fence", owner.Fence).Bool("taken", taken).AnErr("cause", err).
		Msg("owner's process is gone")
}
