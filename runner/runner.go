// Package runner processes the jobs of the pools that this node owns: it runs
// their tasks on the pool's engines, fetches rewards, stores results and moves
// the engines to new weight versions. The packages tasks and swap decide what
// to do next.
package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/intake"
	"quetzalpier/lease"
	"quetzalpier/meter"
	"quetzalpier/platform"
	"quetzalpier/reach"
	"quetzalpier/send"
	"quetzalpier/sleep"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

const (
	// ownerCheckInterval limits the time between two checks of who owns the
	// pools.
	ownerCheckInterval = 100 * time.Millisecond
	// candidateDelay is how long each candidate waits for the one ranked before
	// it, several times the response time of the key-value service.
	candidateDelay = 150 * time.Millisecond
	// nonStoreDelay is the additional wait of VMs that are not of ClassStore.
	nonStoreDelay = 800 * time.Millisecond
	// takeOverTimeout limits the calls that take over or release a pool.
	takeOverTimeout = 1500 * time.Millisecond
)

// ClassStore is the class of VMs that are preferred as pool owners: clients
// don't connect to them, and they have more processor time.
const ClassStore = "store"

// Runner processes the jobs of the pools that this node owns.
type Runner struct {
	Board     *board.Board
	KV        quetzalpier.KV
	Vault     *vault.Vault
	Lease     *lease.Holder
	Upstreams *platform.Upstreams
	Sender    *send.Sender
	Engines   *platform.Engines
	Meter     *meter.Meter
	Log       zerolog.Logger
	// Call makes a call to another node.
	Call func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
	// MinOrderInterval is the least time between orders to one engine from two
	// nodes.
	MinOrderInterval time.Duration
	// EnginesFenced reports whether the engines refuse orders with an outdated
	// fencing token.
	EnginesFenced bool
	// PlaceByNoise makes the scheduler use the slowdown that engines report.
	PlaceByNoise bool
	// ReusePrompts and ShareByPriority turn on heuristics of the scheduler and, for the
	// latter, of the division of engines between models.
	ReusePrompts    bool
	ShareByPriority bool
	// BoundMemory bounds the tokens of the runs on an engine by its memory.
	BoundMemory bool
	// Retention is how long results stay readable after a job's submission.
	Retention time.Duration

	// MaxLargeBytes bounds the bodies of the open jobs whose tasks are stored in parts. Beside no
	// other, each has room.
	MaxLargeBytes int
	// MaxJobBytes bounds the memory of the other open jobs; zero does not.
	MaxJobBytes int
	// MaxTextBytes bounds the memory of long texts that are being generated, and half as much that of
	// texts that are kept for later jobs; zero does not.
	MaxTextBytes int

	// WatchTimeout is how long one watch call for jobs waits.
	WatchTimeout time.Duration

	// KVFailed reports whether the key-value service is unavailable to this node.
	KVFailed func() bool

	// KVStableFor reports whether the key-value service has answered this node for longer
	// than during; nil means that it always has.
	KVStableFor func(during time.Duration, now time.Time) bool

	// Paths tells whether the engines of a pool are reached; nil means that they are.
	Paths Paths

	// vacancies are the pools without an owner, and handOvers those that this node may have
	// to give up. Only Run uses the maps.
	vacancies map[string]*vacancy
	handOvers map[string]*handOver
	// configuredAt is when the configuration last had a pool that may have jobs. Only Run uses
	// the map.
	configuredAt map[string]time.Time

	mu         sync.Mutex
	ctx        context.Context
	runners    map[string]*poolRunner
	lastOwners map[string]string
	goroutines conc.WaitGroup
	// jobRoom is the room for the jobs that MaxJobBytes bounds, and texts that for what MaxTextBytes
	// does.
	jobRoom, texts *intake.Room
	// loading is occupied while a job is loaded that is stored in parts.
	loading       chan struct{}
	firstPool     chan struct{}
	firstPoolOnce sync.Once
}

// PoolOwned returns a channel that is closed once this node owns a pool or
// stands in for the owner of one.
func (r *Runner) PoolOwned() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstPool == nil {
		r.firstPool = make(chan struct{})
	}
	return r.firstPool
}

// Run takes over pools without an owner and processes their jobs until ctx
// ends. Then it releases them.
func (r *Runner) Run(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	r.runners, r.lastOwners = map[string]*poolRunner{}, map[string]string{}
	r.mu.Unlock()
	r.vacancies, r.handOvers = map[string]*vacancy{}, map[string]*handOver{}
	r.configuredAt = map[string]time.Time{}
	watched := map[string]bool{}
	for ctx.Err() == nil {
		now := time.Now()
		for _, pool := range r.jobPools(now) {
			if !watched[pool] {
				watched[pool] = true
				r.goroutines.Go(func() { r.watchOwner(ctx, pool) })
			}
			r.checkOwner(ctx, pool, now)
		}
		select {
		case <-ctx.Done():
		case <-r.Board.Changed():
			// Changes come in bursts.
			sleep.For(ctx, ownerCheckInterval/10)
		case <-time.After(ownerCheckInterval):
		}
	}
	r.releasePools()
}

// jobPools returns the pools that need an owner: those that may have jobs, and those that had an
// owner, until Retention after they left the configuration.
func (r *Runner) jobPools(now time.Time) []string {
	r.Board.Do(func(s *board.State) {
		if s.Config.Number == 0 {
			return
		}
		for _, pool := range s.Config.JobPools() {
			r.configuredAt[pool] = now
		}
		for pool := range s.RecentOwners {
			if _, known := r.configuredAt[pool]; !known {
				r.configuredAt[pool] = now
			}
		}
	})
	var pools []string
	for pool, at := range r.configuredAt {
		if now.Sub(at) <= r.Retention {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// checkOwner starts or stops processing the pool according to its owner. If
// another node owns it, this node stops, unless it still stands in for that
// node. If this node owns it, by its lease, it starts or continues. If no node
// owns it, the candidates try to take it over one after the other.
func (r *Runner) checkOwner(ctx context.Context, pool string, now time.Time) {
	var owner board.Owner
	var self string
	rank, candidate := 0, false
	r.Board.Do(func(s *board.State) {
		owner = s.Owners[pool]
		self = s.Self.ID
		rank, candidate = candidateRank(s, pool)
	})
	if r.isHandingOver(pool) {
		return
	}
	p := r.runner(pool)
	if owner.Node != "" {
		delete(r.vacancies, pool)
		r.setLastOwner(pool, owner.Node)
	}
	if owner.Node != "" && owner.Node != self {
		if p != nil && !p.continuesStandIn(owner, r.KVFailed(), now) {
			r.stopRunner(pool, p, owner)
		}
		return
	}
	fence, held := r.Lease.Fence(pool, now)
	if held && (owner.Node == "" || owner.Fence <= fence) {
		delete(r.vacancies, pool)
		if p == nil {
			r.startRunner(newPoolRunner(ctx, r, pool, fence))
		} else {
			p.updateFence(fence)
			r.considerHandOver(ctx, p, now)
		}
		return
	}
	if !candidate {
		return
	}
	// If this node is named as the owner, the key is from an earlier process. A
	// node that already processes the pool has the most recent state.
	if owner.Node == self || p != nil || r.vacancy(ctx, pool, now).mayTake(rank, r.kvStable(now), now) && r.mayServe(ctx, pool) {
		r.takePool(ctx, pool, now)
	}
}

// candidateRank returns the rank of this node among those that may own the
// pool. VMs that are leaving may not.
func candidateRank(s *board.State, pool string) (rank int, ok bool) {
	if s.Self.State != board.Alive || s.Retiring[s.Self.ID] {
		return 0, false
	}
	var store, other []string
	for id, m := range s.Members {
		switch {
		case !s.Answers(m) || s.Retiring[id]:
		case m.HasRole(ClassStore):
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
		if !s.Self.HasRole(ClassStore) {
			i += int(nonStoreDelay / candidateDelay)
		}
		if reach.Partitioned(s, pool) {
			i += int(partitionedDelay / candidateDelay)
		}
		return i, true
	}
	return len(ranked), s.Self.HasRole(ClassStore)
}

func (r *Runner) takePool(ctx context.Context, pool string, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	taken, err := r.Lease.Take(ctx, pool, now)
	fence, _ := r.Lease.Fence(pool, time.Now())
	if err != nil || !taken {
		r.Log.Warn().Str("pool", pool).AnErr("cause", err).Msg("could not take over pool")
		return
	}
	r.Log.Info().Str("pool", pool).Uint64("fence", fence).Msg("took over pool")
}

func (r *Runner) runner(pool string) *poolRunner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runners[pool]
}

// startRunner starts processing a pool, unless it is being processed already.
func (r *Runner) startRunner(p *poolRunner) {
	r.PoolOwned()
	r.firstPoolOnce.Do(func() { close(r.firstPool) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runners[p.pool] != nil {
		return
	}
	r.runners[p.pool] = p
	r.goroutines.Go(p.run)
}

// stopRunner stops processing a pool that another node owns.
func (r *Runner) stopRunner(pool string, p *poolRunner, owner board.Owner) {
	r.mu.Lock()
	delete(r.runners, pool)
	r.mu.Unlock()
	r.Lease.Forget(pool)
	r.Log.Warn().Str("pool", pool).Str("owner", owner.Node).Uint64("fence", owner.Fence).Msg("another node took over the pool")
	p.cancel()
}

// releasePools stores finished results and releases all pools, so that other
// nodes can take them over at once.
func (r *Runner) releasePools() {
	r.mu.Lock()
	runners := r.runners
	r.runners = map[string]*poolRunner{}
	r.mu.Unlock()
	for _, p := range runners {
		r.goroutines.Go(func() { r.releasePool(p) })
	}
	r.goroutines.Wait()
}
