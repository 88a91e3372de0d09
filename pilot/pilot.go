// Package pilot holds the leases of the pools and orders their engines to the
// weight versions that trainers publish.
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
	// quick and slow are the times between two looks at a shard while its
	// engines are behind and while they are not. The slow one keeps a shard's
	// readings within 5 KB a second.
	quick = 200 * time.Millisecond
	slow  = 5 * time.Second
	// readers bounds the engines whose state is read at a time.
	readers      = 16
	stateTimeout = 1500 * time.Millisecond
	// takeEvery is the time between two looks at which shards fall to this
	// node, and two tries to take their leases.
	takeEvery = time.Second
)

// Pilot orders engines.
type Pilot struct {
	Board  *board.Board
	Lease  *lease.Holder
	Orders quetzalpier.Orders
	Meter  *meter.Meter
	Log    zerolog.Logger
	// Loads is how many loads a second the weight store serves.
	Loads float64
	// Leaving is called when an engine says that it leaves.
	Leaving func(id string)
	// AllCut tells whether the platform is out for everyone.
	AllCut func(now time.Time) bool

	mu     sync.Mutex
	fleets map[Shard]*fleet
	// mine and others are the shards that fall to this node, and the rest.
	mine    []Shard
	others  []Shard
	workers conc.WaitGroup
}

// fleet is what the pilot knows of a shard that it serves. Without a lease,
// while the platform is out for everyone, the fence is zero and each engine
// is ordered under the number that it has seen last: nobody can get a higher
// one then, and since all orders lead to the highest version published, two
// nodes that both order do no harm.
type fleet struct {
	shard   Shard
	fence   uint64
	since   time.Time
	engines map[string]*swap.Engine
	store   swap.Bucket
	readAt  time.Time
}

// Run takes and serves shards until ctx ends, and gives them up then.
func (p *Pilot) Run(ctx context.Context) {
	p.fleets = map[Shard]*fleet{}
	tick := time.NewTicker(quick)
	defer tick.Stop()
	var takeAt time.Time
	for {
		select {
		case <-ctx.Done():
			p.workers.Wait()
			p.release()
			return
		case <-tick.C:
		}
		now := time.Now()
		if err := p.Lease.Keep(ctx, now); err != nil {
			p.Log.Warn().Err(err).Msg("leases not renewed")
		}
		if now.After(takeAt) {
			takeAt = now.Add(takeEvery)
			p.mine, p.others = p.share()
			p.take(ctx)
		}
		for _, f := range p.served(time.Now()) {
			p.serve(ctx, f)
		}
	}
}

func (p *Pilot) release() {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	for _, name := range p.Lease.Names() {
		if err := p.Lease.Release(ctx, name); err != nil {
			p.Log.Warn().Err(err).Str("lease", name).Msg("lease not released")
		}
	}
}

// take tries to take the shards that fall to this node, and gives up those
// that fall to another.
func (p *Pilot) take(ctx context.Context) {
	for _, shard := range p.mine {
		if _, err := p.Lease.Take(ctx, shard.lease(), time.Now()); err != nil {
			p.Log.Warn().Err(err).Str("lease", shard.lease()).Msg("lease not taken")
		}
	}
	for _, shard := range p.others {
		if _, ok := p.Lease.Fence(shard.lease(), time.Now()); !ok {
			continue
		}
		if err := p.Lease.Release(ctx, shard.lease()); err != nil {
			p.Log.Warn().Err(err).Str("lease", shard.lease()).Msg("lease not released")
		}
	}
}

// share returns the shards that fall to this node, and the others.
func (p *Pilot) share() (mine, others []Shard) {
	p.Board.Do(func(s *board.State) {
		nodes := peer.Usable(s, setup.RolePilot)
		for _, shard := range Shards(s) {
			if hash.Owner(shard.lease(), nodes) == s.Self.ID {
				mine = append(mine, shard)
				continue
			}
			others = append(others, shard)
		}
	})
	return mine, others
}

// served returns the fleets of the shards that this node holds, or that fall to
// it while nobody can hold them.
func (p *Pilot) served(now time.Time) []*fleet {
	cut := p.AllCut(now)
	var fleets []*fleet
	for _, shard := range p.mine {
		if fence, ok := p.Lease.Fence(shard.lease(), now); ok || cut {
			fleets = append(fleets, p.fleet(shard, fence, now))
			continue
		}
		delete(p.fleets, shard)
	}
	for _, shard := range p.others {
		if fence, ok := p.Lease.Fence(shard.lease(), now); ok {
			fleets = append(fleets, p.fleet(shard, fence, now))
			continue
		}
		delete(p.fleets, shard)
	}
	return fleets
}

func (p *Pilot) fleet(shard Shard, fence uint64, now time.Time) *fleet {
	f := p.fleets[shard]
	if f == nil || f.fence != fence {
		f = &fleet{shard: shard, fence: fence, since: now, engines: map[string]*swap.Engine{}}
		p.fleets[shard] = f
		p.Log.Info().Str("lease", shard.lease()).Uint64("fence", fence).Msg("shard taken")
	}
	return f
}

// serve reads the engines' states if it is time to, and sends the orders due.
func (p *Pilot) serve(ctx context.Context, f *fleet) {
	now := time.Now()
	plan := p.plan(f)
	pause := slow
	if plan.Target > 0 && !swap.Settled(plan, now) {
		pause = quick
	}
	if now.Sub(f.readAt) >= pause {
		f.readAt = now
		p.read(ctx, f)
		plan = p.plan(f)
	}
	if plan.Target == 0 || !p.settled(f, time.Now()) {
		return
	}
	p.mu.Lock()
	ids := swap.Plan(plan, &f.store, time.Now())
	for _, id := range ids {
		e := f.engines[id]
		e.Ordered = plan.Target
		e.OrderedAt = time.Now()
		e.EndedAt = time.Time{}
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.workers.Go(func() { p.order(ctx, f, id, plan.Target) })
	}
}

// settled tells whether orders may be sent. Where engines ignore the fencing
// number, an order of the last holder may still be under way: it is waited out.
func (p *Pilot) settled(f *fleet, now time.Time) bool {
	fenced := true
	p.Board.Do(func(s *board.State) {
		for _, u := range s.Upstreams {
			fenced = fenced && (!f.shard.has(u) || u.VM.Fenced)
		}
	})
	return fenced || now.Sub(f.since) >= swap.OrderLife
}

// plan returns the planner's input for a fleet.
func (p *Pilot) plan(f *fleet) swap.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	plan := swap.Pool{Rate: p.Loads / float64(f.shard.Of)}
	p.Board.Do(func(s *board.State) {
		plan.Target = s.Targets[f.shard.Pool]
		plan.Serving = s.Config.Pools[f.shard.Pool].Serving
		listed := map[string]bool{}
		for id, u := range s.Upstreams {
			if !f.shard.has(u) || u.Leaving() {
				continue
			}
			listed[id] = true
			if f.engines[id] == nil {
				f.engines[id] = &swap.Engine{ID: id}
			}
			f.engines[id].Made, f.engines[id].MadeAt = u.Newest, u.NewestAt
		}
		for id := range f.engines {
			if !listed[id] {
				delete(f.engines, id)
			}
		}
	})
	for _, e := range f.engines {
		plan.Engines = append(plan.Engines, *e)
	}
	return plan
}

// read reads the state of all engines of a fleet.
func (p *Pilot) read(ctx context.Context, f *fleet) {
	vms := p.vms(f)
	work := pool.New().WithMaxGoroutines(readers)
	for _, vm := range vms {
		work.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, stateTimeout)
			defer cancel()
			state, err := p.Orders.State(ctx, vm.Addr)
			p.note(f, vm.ID, state, err)
		})
	}
	work.Wait()
}

func (p *Pilot) vms(f *fleet) []quetzalpier.VM {
	var vms []quetzalpier.VM
	p.Board.Do(func(s *board.State) {
		for id := range f.engines {
			if u := s.Upstreams[id]; u != nil {
				vms = append(vms, u.VM)
			}
		}
	})
	return vms
}

func (p *Pilot) note(f *fleet, id string, state quetzalpier.EngineState, err error) {
	now := time.Now()
	p.mu.Lock()
	e := f.engines[id]
	if e != nil {
		e.Known = err == nil
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
		p.Leaving(id)
	}
}

// order sends one order. The lease is checked just before; a freeze between
// the check and the sending is caught by the engine's check of the fencing
// number, or by the successor's waiting and reading back.
func (p *Pilot) order(ctx context.Context, f *fleet, id string, target quetzalpier.Version) {
	ctx, cancel := context.WithTimeout(ctx, swap.OrderLife)
	defer cancel()
	err := p.sendOrder(ctx, f, id, target)
	now := time.Now()
	p.Meter.Orders.WithLabelValues(f.shard.Pool, orderLabel(err)).Inc()
	if err != nil {
		p.Log.Warn().Err(err).Str("engine", id).Uint64("version", uint64(target)).Msg("order failed")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := f.engines[id]
	if e == nil {
		return
	}
	e.EndedAt = now
	// The order's own answer is no evidence: the next reading of the state is.
	e.Known = false
	if err != nil {
		e.Failures++
		return
	}
	e.Failures = 0
}

func (p *Pilot) sendOrder(ctx context.Context, f *fleet, id string, target quetzalpier.Version) error {
	var addr string
	p.Board.Do(func(s *board.State) {
		if u := s.Upstreams[id]; u != nil {
			addr = u.VM.Addr
		}
	})
	if addr == "" {
		return errors.Errorf("engine %s is gone", id)
	}
	fence, err := p.fence(f, id, time.Now())
	if err != nil {
		return err
	}
	return p.Orders.Order(ctx, addr, quetzalpier.Order{Fence: fence, Version: target})
}

// fence returns the number under which an engine may be ordered now.
func (p *Pilot) fence(f *fleet, id string, now time.Time) (uint64, error) {
	if fence, ok := p.Lease.Fence(f.shard.lease(), now); ok && fence == f.fence {
		return fence, nil
	}
	if f.fence != 0 || !p.AllCut(now) {
		return 0, &quetzalpier.LostError{Lease: f.shard.lease()}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := f.engines[id]
	if e == nil {
		return 0, errors.Errorf("engine %s is gone", id)
	}
	return e.State.Fence, nil
}

func orderLabel(err error) string {
	var fenced *quetzalpier.FenceError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &fenced):
		return "fenced"
	default:
		return "failed"
	}
}
