package runner

import (
	"context"
	"time"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/wire"
)

const (
	// standTimeout bounds the question whether the owner answers.
	standTimeout = 300 * time.Millisecond
	// standTime is how long a stand-in goes on after the store's return while
	// the owner's key is still there: the life of the owner's lease and the news
	// of its end.
	standTime = 2 * time.Second
)

// StandIn runs the tasks of a job that this node keeps on its disk while the
// store is out, if the pool's owner does not answer. A stand-in lists nothing
// and gives no orders: tasks may run twice, results have one position. It takes
// the pool once the store is back and the owner's key is gone.
//
// Load pattern: the owner's VM is lost in an outage of the store, in which
// nobody can take the pool, and trainers go on submitting steps.
func (r *Runner) StandIn(job *quetzalpier.Job) {
	r.workers.Go(func() {
		if r.standIn(job.Pool) {
			r.Open(job, time.Now())
		}
	})
}

// standIn makes sure of a term of the pool; false if its owner answers.
func (r *Runner) standIn(pool string) bool {
	if r.term(pool) != nil {
		return true
	}
	var owner board.Owner
	var peer string
	r.Board.Do(func(s *board.State) {
		owner = s.Owners[pool]
		peer = s.Members[owner.Node].Peer
	})
	if peer != "" && r.answers(peer) {
		return false
	}
	r.mu.Lock()
	ctx := r.running
	r.mu.Unlock()
	if ctx == nil || ctx.Err() != nil {
		return false
	}
	r.Log.Warn().Str("pool", pool).Str("owner", owner.Node).Uint64("fence", owner.Fence).Msg("standing in for an owner that does not answer")
	t := newTerm(ctx, r, pool, 0)
	t.standing = &owner
	r.start(t)
	return true
}

func (r *Runner) answers(peer string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), standTimeout)
	defer cancel()
	_, err := r.Call(ctx, peer, &wire.Call{Kind: &wire.Call_Hold{Hold: &wire.Hold{}}})
	return err == nil
}

// standsFor tells whether the term goes on although the owner's key is there.
// Out tells whether the store is out for this node.
func (t *term) standsFor(owner board.Owner, out bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.standing == nil || t.standing.Fence != owner.Fence {
		return false
	}
	switch {
	case out:
		t.back = time.Time{}
	case t.back.IsZero():
		t.back = now
	}
	return out || now.Sub(t.back) < standTime
}
