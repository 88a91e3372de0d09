// Package runner holds the jobs of the pools that this node owns: it runs their
// tasks on the pool's engines, fetches rewards, stores results and moves the
// engines to new weights. What to do next is decided by the packages tasks and
// swap.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/lease"
	"quetzalpier/link"
	"quetzalpier/meter"
	"quetzalpier/platform"
	"quetzalpier/send"
	"quetzalpier/sleep"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

const (
	// lookEvery bounds the time between two looks at who owns the pools.
	lookEvery = 100 * time.Millisecond
	// rankDelay is the wait of each candidate behind the one before it, several
	// times an answer of the key-value service.
	rankDelay = 150 * time.Millisecond
	// otherDelay is the wait of VMs whose class is not made for owning.
	otherDelay = 800 * time.Millisecond
	// takeTimeout bounds taking a pool over.
	takeTimeout = 1500 * time.Millisecond
)

// ClassStore is the class of VMs that own pools first: clients don't reach
// them, and they have more processor time.
const ClassStore = "store"

// Runner runs the jobs of the pools that this node owns.
type Runner struct {
	Board   *board.Board
	KV      quetzalpier.KV
	Vault   *vault.Vault
	Lease   *lease.Holder
	Links   *link.Links
	Sender  *send.Sender
	Engines *platform.Engines
	Meter   *meter.Meter
	Log     zerolog.Logger
	// Call makes a call to another node.
	Call func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
	// Turn is the least time between orders to one engine from two nodes.
	Turn time.Duration
	// Fenced tells that the engines refuse orders with an old fencing token.
	Fenced bool
	// History is how long results stay readable after a job's submission.
	History time.Duration

	// Out tells whether the key-value service is out for this node.
	Out func() bool

	mu        sync.Mutex
	running   context.Context
	terms     map[string]*term
	ownerless map[string]time.Time
	workers   conc.WaitGroup
	holding   chan struct{}
	once      sync.Once
}

// Holding returns a channel that is closed once this node holds a pool.
func (r *Runner) Holding() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holding == nil {
		r.holding = make(chan struct{})
	}
	return r.holding
}

// Run takes pools without an owner over and holds them, until ctx ends. Then
// it gives them up.
func (r *Runner) Run(ctx context.Context) {
	r.mu.Lock()
	r.running = ctx
	r.terms = map[string]*term{}
	r.mu.Unlock()
	r.ownerless = map[string]time.Time{}
	guards := map[string]bool{}
	for ctx.Err() == nil {
		now := time.Now()
		for _, pool := range r.pools() {
			if !guards[pool] {
				guards[pool] = true
				r.workers.Go(func() { r.guard(ctx, pool) })
			}
			r.look(ctx, pool, now)
		}
		select {
		case <-ctx.Done():
		case <-r.Board.Changed():
			// Changes come in bursts.
			sleep.For(ctx, lookEvery/10)
		case <-time.After(lookEvery):
		}
	}
	r.resign()
}

// pools are those that batch routes lead to.
func (r *Runner) pools() []string {
	var pools []string
	r.Board.Do(func(s *board.State) {
		seen := map[string]bool{}
		for _, route := range s.Config.Routes {
			for _, target := range route.Targets {
				if route.Batch && !seen[target.Pool] {
					seen[target.Pool] = true
					pools = append(pools, target.Pool)
				}
			}
		}
	})
	return pools
}

// look follows who owns the pool: another node, which ends a term of this one;
// this node, by its lease; or nobody, and then the candidates take it in turn.
func (r *Runner) look(ctx context.Context, pool string, now time.Time) {
	var owner board.Owner
	var self string
	rank, candidate := 0, false
	r.Board.Do(func(s *board.State) {
		owner = s.Owners[pool]
		self = s.Self.ID
		rank, candidate = candidacy(s, pool)
	})
	t := r.term(pool)
	if owner.Node != "" && owner.Node != self {
		delete(r.ownerless, pool)
		if t != nil && !t.standsFor(owner, r.Out(), now) {
			r.drop(pool, t, owner)
		}
		return
	}
	fence, held := r.Lease.Fence(pool, now)
	if held && (owner.Node == "" || owner.Fence <= fence) {
		delete(r.ownerless, pool)
		if t == nil {
			r.start(newTerm(ctx, r, pool, fence))
		} else {
			t.raise(fence)
		}
		return
	}
	if !candidate {
		return
	}
	since, known := r.ownerless[pool]
	if !known {
		r.ownerless[pool] = now
		since = now
	}
	// A node that is named as the owner is so from an earlier process, and one
	// with a term has the most to go on with.
	if owner.Node == self || t != nil || now.Sub(since) >= delay(rank) {
		r.take(ctx, pool, now)
	}
}

// candidacy is this node's place among those that may own the pool. VMs that
// leave are none.
func candidacy(s *board.State, pool string) (rank int, ok bool) {
	if s.Self.State != board.Alive || s.Retiring[s.Self.ID] {
		return 0, false
	}
	var store, other []string
	for id, m := range s.Members {
		switch {
		case !m.Usable() || s.Retiring[id]:
		case m.Has(ClassStore):
			store = append(store, id)
		default:
			other = append(other, id)
		}
	}
	ranked := append(hash.Owners(pool, store, len(store)), hash.Owners(pool, other, len(other))...)
	for i, id := range ranked {
		if id != s.Self.ID {
			continue
		}
		if !s.Self.Has(ClassStore) {
			i += int(otherDelay / rankDelay)
		}
		return i, true
	}
	return len(ranked), s.Self.Has(ClassStore)
}

func delay(rank int) time.Duration { return time.Duration(rank) * rankDelay }

func (r *Runner) take(ctx context.Context, pool string, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	taken, err := r.Lease.Take(ctx, pool, now)
	fence, _ := r.Lease.Fence(pool, time.Now())
	if err != nil || !taken {
		r.Log.Warn().Str("pool", pool).AnErr("cause", err).Msg("pool not taken")
		return
	}
	r.Log.Info().Str("pool", pool).Uint64("fence", fence).Msg("pool taken")
}

func (r *Runner) term(pool string) *term {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.terms[pool]
}

// start begins a term, unless there is one of its pool.
func (r *Runner) start(t *term) {
	r.Holding()
	r.once.Do(func() { close(r.holding) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.terms[t.pool] != nil {
		return
	}
	r.terms[t.pool] = t
	r.workers.Go(t.run)
}

// drop ends the term of a pool that another node owns.
func (r *Runner) drop(pool string, t *term, owner board.Owner) {
	r.mu.Lock()
	delete(r.terms, pool)
	r.mu.Unlock()
	r.Lease.Forget(pool)
	r.Log.Warn().Str("pool", pool).Str("owner", owner.Node).Uint64("fence", owner.Fence).Msg("pool lost to another node")
	t.cancel()
}

// resign stores what is finished and gives all pools up, so that other nodes
// take them at once.
func (r *Runner) resign() {
	r.mu.Lock()
	terms := r.terms
	r.terms = map[string]*term{}
	r.mu.Unlock()
	for pool, t := range terms {
		t.cancel()
		t.last()
		ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
		if err := r.Lease.Release(ctx, pool); err != nil {
			r.Log.Warn().Str("pool", pool).Err(err).Msg("pool not given up; its lease will end")
		}
		cancel()
		r.Log.Info().Str("pool", pool).Msg("pool given up")
	}
	r.workers.Wait()
}
