package soak

import (
	"context"
	"time"

	"quetzalpier/sleep"
)

const (
	// maxMoveDelay is the longest time from a move of the batch route to the end of the owner of
	// the pool that it led to, and maxMovePause that to the next move.
	maxMoveDelay = 2 * time.Second
	maxMovePause = 3 * time.Second
	// movesSettle is how much longer a run lasts, so that a step that was submitted beside the
	// last fault is read until readTimeout.
	movesSettle = readTimeout - settleTime
)

// moveRoutes moves the batch route to the other pool of engines and back, and ends the owner of
// the pool that it led to, where jobs may be open.
func (f *faultInjector) moveRoutes(ctx context.Context, total time.Duration) {
	from, to := poolLM, poolSpare
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		f.logFault("move route", to, 0)
		if err := f.rig.moveBatchRoute(to); err != nil {
			f.ledger.recordViolation("configuration not written: %v", err)
		}
		f.ledger.recordMove()
		sleep.For(ctx, f.draw(0, maxMoveDelay))
		f.endOwner(ctx, from)
		from, to = to, from
		sleep.For(ctx, f.draw(minFaultPause, maxMovePause))
	}
	f.pending.Wait()
}

// endOwner stops the owner of a pool as planned or kills it, or kills all nodes with a disk at
// once, and starts them again.
func (f *faultInjector) endOwner(ctx context.Context, pool string) {
	kind := []string{"stop owner", "kill owner", "kill store nodes"}[f.rnd.IntN(3)]
	duration := f.draw(minFaultTime, maxFaultTime)
	ending := []*Node{f.rig.ownerOf(ctx, pool)}
	if kind == "kill store nodes" {
		ending = f.rig.Stores
	}
	for _, n := range ending {
		if n == nil || !n.disturbed.CompareAndSwap(false, true) {
			continue
		}
		f.logFault(kind, n.Settings.Name, duration)
		if kind == "stop owner" {
			f.pending.Go(func() { f.stopAndStart(n) })
			continue
		}
		n.Kill()
		f.revertAfter(ctx, duration, func() { f.restart(n) })
	}
}

func (l *Ledger) recordMove() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Moves++
}
