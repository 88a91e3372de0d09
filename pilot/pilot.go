// Package pilot holds the leases of the engine pools and orders their engines to
// load the weight versions that trainers publish.
package pilot

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/lease"
	"quetzalpier/meter"
	"quetzalpier/peer"
	"quetzalpier/setup"
	"quetzalpier/swap"
)

const (
	// behindInterval is the interval between two reads of the engine states of a
	// shard while engines lack the target version, and settledInterval the interval
	// otherwise. settledInterval keeps the reads of a shard below 5 KB/s.
	behindInterval  = 200 * time.Millisecond
	settledInterval = 5 * time.Second
	// maxStateReads limits the concurrent reads of engine states.
	maxStateReads = 16
	stateTimeout  = 1500 * time.Millisecond
	// takeInterval is the interval between two assignments of shards to nodes,
	// and between two attempts to take their leases.
	takeInterval = time.Second
)

// Pilot orders the engines of the shards whose leases this node holds.
type Pilot struct {
	Board  *board.Board
	Lease  *lease.Holder
	Orders quetzalpier.EngineOrders
	Meter  *meter.Meter
	Log    zerolog.Logger
	// LoadsPerSecond is the rate of weight loads that the weight store supports.
	LoadsPerSecond float64
	// OnLeaving is called when an engine reports that it is leaving.
	OnLeaving func(id string)
	// PlatformUnavailable reports whether the platform is unavailable to all
	// reachable nodes.
	PlatformUnavailable func(now time.Time) bool

	mu     sync.Mutex
	served map[Shard]*servedShard
	// ownShards are the shards assigned to this node; otherShards are the rest.
	ownShards   []Shard
	otherShards []Shard
	workers     conc.WaitGroup
}

// servedShard is the state of a shard that this node serves. While the platform is
// unavailable to all nodes, a shard is also served without a lease: fence is zero
// and each engine is ordered with the fencing token that it last reported. No node
// can obtain a higher token then. Two nodes may order the same engine, which
// is harmless because all orders are for the highest published version.
type servedShard struct {
	shard      Shard
	fence      uint64
	heldSince  time.Time
	engines    map[string]*swap.Engine
	loadBucket swap.LoadLimiter
	readAt     time.Time
}

// Run takes and serves shards until ctx ends, then releases their leases.
func (p *Pilot) Run(ctx context.Context) {
	p.served = map[Shard]*servedShard{}
	tick := time.NewTicker(behindInterval)
	defer tick.Stop()
	var takeAt time.Time
	for {
		select {
		case <-ctx.Done():
			p.workers.Wait()
			p.releaseLeases()
			return
		case <-tick.C:
		}
		now := time.Now()
		if err := p.Lease.RenewIfDue(ctx, now); err != nil {
			p.Log.Warn().Err(err).Msg("failed to renew leases")
		}
		if now.After(takeAt) {
			takeAt = now.Add(takeInterval)
			p.ownShards, p.otherShards = p.assignShards()
			p.takeLeases(ctx)
		}
		for _, sh := range p.servedShards(time.Now()) {
			p.serve(ctx, sh)
		}
	}
}

func (p *Pilot) releaseLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	for _, name := range p.Lease.Names() {
		if err := p.Lease.Release(ctx, name); err != nil {
			p.Log.Warn().Err(err).Str("lease", name).Msg("failed to release lease")
		}
	}
}

// takeLeases tries to take the leases of the shards assigned to this node and
// releases those of shards assigned to other nodes.
func (p *Pilot) takeLeases(ctx context.Context) {
	for _, shard := range p.ownShards {
		if _, err := p.Lease.Take(ctx, shard.leaseName(), time.Now()); err != nil {
			p.Log.Warn().Err(err).Str("lease", shard.leaseName()).Msg("failed to take lease")
		}
	}
	for _, shard := range p.otherShards {
		if _, ok := p.Lease.Fence(shard.leaseName(), time.Now()); !ok {
			continue
		}
		if err := p.Lease.Release(ctx, shard.leaseName()); err != nil {
			p.Log.Warn().Err(err).Str("lease", shard.leaseName()).Msg("failed to release lease")
		}
	}
}

// assignShards returns the shards assigned to this node, and the others.
func (p *Pilot) assignShards() (own, others []Shard) {
	p.Board.Do(func(s *board.State) {
		nodes := peer.Usable(s, setup.RolePilot)
		for _, shard := range Shards(s) {
			if hash.Owner(shard.leaseName(), nodes) == s.Self.ID {
				own = append(own, shard)
				continue
			}
			others = append(others, shard)
		}
	})
	return own, others
}

// servedShards returns the shards whose lease this node holds, and those assigned
// to it while the platform is unavailable to all nodes.
func (p *Pilot) servedShards(now time.Time) []*servedShard {
	unavailable := p.PlatformUnavailable(now)
	var shards []*servedShard
	for _, shard := range p.ownShards {
		if fence, ok := p.Lease.Fence(shard.leaseName(), now); ok || unavailable {
			shards = append(shards, p.servedShard(shard, fence, now))
			continue
		}
		delete(p.served, shard)
	}
	for _, shard := range p.otherShards {
		if fence, ok := p.Lease.Fence(shard.leaseName(), now); ok {
			shards = append(shards, p.servedShard(shard, fence, now))
			continue
		}
		delete(p.served, shard)
	}
	return shards
}

func (p *Pilot) servedShard(shard Shard, fence uint64, now time.Time) *servedShard {
	sh := p.served[shard]
	if sh == nil || sh.fence != fence {
		sh = &servedShard{shard: shard, fence: fence, heldSince: now, engines: map[string]*swap.Engine{}}
		p.served[shard] = sh
		p.Log.Info().Str("lease", shard.leaseName()).Uint64("fence", fence).Msg("serving shard")
	}
	return sh
}

// serve reads the engine states if the interval has passed and sends the orders
// that are due.
func (p *Pilot) serve(ctx context.Context, sh *servedShard) {
	now := time.Now()
	plan := p.plannerInput(sh)
	interval := settledInterval
	if plan.Target > 0 && !swap.Converged(plan, now) {
		interval = behindInterval
	}
	if now.Sub(sh.readAt) >= interval {
		sh.readAt = now
		p.readStates(ctx, sh)
		plan = p.plannerInput(sh)
	}
	if plan.Target == 0 || !p.safeToOrder(sh, time.Now()) {
		return
	}
	p.mu.Lock()
	ids := swap.Plan(plan, &sh.loadBucket, time.Now())
	for _, id := range ids {
		e := sh.engines[id]
		e.OrderedVersion = plan.Target
		e.OrderedAt = time.Now()
		e.EndedAt = time.Time{}
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.workers.Go(func() { p.order(ctx, sh, id, plan.Target) })
	}
}

// safeToOrder reports whether orders may be sent. If an engine does not check
// fencing tokens, an order of the previous holder may still take effect, so orders
// wait for swap.OrderLife after the lease was taken.
func (p *Pilot) safeToOrder(sh *servedShard, now time.Time) bool {
	fenced := true
	p.Board.Do(func(s *board.State) {
		for _, u := range s.Upstreams {
			fenced = fenced && (!sh.shard.contains(u) || u.VM.ChecksFence)
		}
	})
	return fenced || now.Sub(sh.heldSince) >= swap.OrderLife
}

// plannerInput updates the shard's engines from the board and returns the input
// for swap.Plan.
func (p *Pilot) plannerInput(sh *servedShard) swap.PlanInput {
	p.mu.Lock()
	defer p.mu.Unlock()
	plan := swap.PlanInput{Rate: p.LoadsPerSecond / float64(sh.shard.Count)}
	p.Board.Do(func(s *board.State) {
		plan.Target = s.TargetVersions[sh.shard.Pool]
		plan.MinServing = s.Config.Pools[sh.shard.Pool].MinServing
		listed := map[string]bool{}
		for id, u := range s.Upstreams {
			if !sh.shard.contains(u) || u.Leaving() {
				continue
			}
			listed[id] = true
			if sh.engines[id] == nil {
				sh.engines[id] = &swap.Engine{ID: id}
			}
			sh.engines[id].AnswerVersion, sh.engines[id].AnswerAt = u.TokenVersion, u.TokenAt
		}
		for id := range sh.engines {
			if !listed[id] {
				delete(sh.engines, id)
			}
		}
	})
	for _, e := range sh.engines {
		plan.Engines = append(plan.Engines, *e)
	}
	return plan
}

// readStates reads the states of all engines of a shard.
func (p *Pilot) readStates(ctx context.Context, sh *servedShard) {
	vms := p.vms(sh)
	work := pool.New().WithMaxGoroutines(maxStateReads)
	for _, vm := range vms {
		work.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, stateTimeout)
			defer cancel()
			state, err := p.Orders.State(ctx, vm.Addr)
			p.recordState(sh, vm.ID, state, err)
		})
	}
	work.Wait()
}

func (p *Pilot) vms(sh *servedShard) []quetzalpier.VM {
	var vms []quetzalpier.VM
	p.Board.Do(func(s *board.State) {
		for id := range sh.engines {
			if u := s.Upstreams[id]; u != nil {
				vms = append(vms, u.VM)
			}
		}
	})
	return vms
}

func (p *Pilot) recordState(sh *servedShard, id string, state quetzalpier.EngineState, err error) {
	now := time.Now()
	p.mu.Lock()
	e := sh.engines[id]
	if e != nil {
		e.StateKnown = err == nil
		if err == nil {
			e.State = state
		}
	}
	p.mu.Unlock()
	if err != nil {
		return
	}
	p.Board.Do(func(s *board.State) { s.SetReport(id, state, now) })
	if state.Leaving {
		p.OnLeaving(id)
	}
}

// order sends one order. The lease is checked right before. If the process is
// paused between check and send, the engine rejects the outdated fencing token, or,
// if it doesn't check tokens, the next holder waits and reads the state again.
func (p *Pilot) order(ctx context.Context, sh *servedShard, id string, target quetzalpier.Version) {
	ctx, cancel := context.WithTimeout(ctx, swap.OrderLife)
	defer cancel()
	err := p.sendOrder(ctx, sh, id, target)
	now := time.Now()
	p.Meter.Orders.WithLabelValues(sh.shard.Pool, orderLabel(err)).Inc()
	if err != nil {
		p.Log.Warn().Err(err).Str("engine", id).Uint64("version", uint64(target)).Msg("failed to order engine to load version")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := sh.engines[id]
	if e == nil {
		return
	}
	e.EndedAt = now
	// The response to the order does not prove that the version is loaded; only
	// the next read of the state does.
	e.StateKnown = false
	if err != nil {
		e.Failures++
		return
	}
	e.Failures = 0
}

func (p *Pilot) sendOrder(ctx context.Context, sh *servedShard, id string, target quetzalpier.Version) error {
	var addr string
	p.Board.Do(func(s *board.State) {
		if u := s.Upstreams[id]; u != nil {
			addr = u.VM.Addr
		}
	})
	if addr == "" {
		return errors.Errorf("engine %s is no longer listed", id)
	}
	fence, err := p.orderFence(sh, id, time.Now())
	if err != nil {
		return err
	}
	return p.Orders.Order(ctx, addr, quetzalpier.Order{Fence: fence, Version: target})
}

// orderFence returns the fencing token for an order to an engine.
func (p *Pilot) orderFence(sh *servedShard, id string, now time.Time) (uint64, error) {
	if fence, ok := p.Lease.Fence(sh.shard.leaseName(), now); ok && fence == sh.fence {
		return fence, nil
	}
	if sh.fence != 0 || !p.PlatformUnavailable(now) {
		return 0, &quetzalpier.LeaseLostError{Lease: sh.shard.leaseName()}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := sh.engines[id]
	if e == nil {
		return 0, errors.Errorf("engine %s is no longer listed", id)
	}
	return e.State.Fence, nil
}

func orderLabel(err error) string {
	var staleFence *quetzalpier.StaleFenceError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &staleFence):
		return "fenced"
	default:
		return "failed"
	}
}
