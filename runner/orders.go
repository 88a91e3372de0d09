package runner

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/swap"
	"quetzalpier/tasks"
	"quetzalpier/vault"
)

const (
	rotationInterval = 50 * time.Millisecond
	// loadPollInterval is the time between two report requests to an engine
	// that is about to finish a load. Its reports are some hundred milliseconds
	// old.
	loadPollInterval = 100 * time.Millisecond
	// maxOrderTries limits the attempts to send an order to an engine that does
	// not respond.
	maxOrderTries = 3
	// loadTimeout is how long a load may take before the engine gets a new
	// order.
	loadTimeout = 5 * time.Second
	// One in enginesPerLoad engines of a pool may load at a time, but at least
	// minConcurrentLoads, which the weight store can serve in any case.
	minConcurrentLoads = 2
	enginesPerLoad     = 5
	// failedOrderDelay is the delay before an engine gets another order after a
	// failed one.
	failedOrderDelay = 300 * time.Millisecond
)

// rotationLoop orders the pool's engines to load the versions that trainers
// publish, until ctx ends.
func (p *poolRunner) rotationLoop(ctx context.Context) {
	for sleep.For(ctx, rotationInterval) {
		now := time.Now()
		fence, ok := p.validFence(now)
		if !ok || !p.takeOverOrders(ctx, fence, now) || now.Before(p.ordersFrom) {
			continue
		}
		p.rotateModels(ctx, fence, now)
	}
}

// takeOverOrders records in the key-value service, once for each fencing token,
// that this node sends the orders from now on. If other nodes did so before,
// their last orders must have ended first. Where engines check fencing tokens,
// they have ended once that node is gone.
func (p *poolRunner) takeOverOrders(ctx context.Context, fence uint64, now time.Time) bool {
	if p.ordersFence == fence {
		return true
	}
	if p.claimedFence != fence {
		p.claimedFence, p.claimedAt = fence, now
	}
	taken, err := p.runner.Vault.TakeOverOrders(ctx, p.pool, p.runner.Lease.Node, fence, func(node string) bool {
		return !p.runner.EnginesFenced || p.maySendOrders(node)
	})
	if err != nil {
		p.orderFailures++
		p.runner.Log.Warn().Str("pool", p.pool).Err(err).Msg("failed to take over engine orders")
		pauseKV(ctx, p.orderFailures)
		return false
	}
	p.orderFailures = 0
	p.ordersFence = fence
	p.ordersFrom = now
	if len(taken.Before) > 0 {
		// No other node has owned the pool since this one holds the fencing token.
		p.ordersFrom = p.claimedAt.Add(p.runner.MinOrderInterval)
		p.goroutines.Go(func() { p.awaitOrdersEnd(ctx, fence, taken, p.runner.MinOrderInterval) })
	}
	p.runner.Log.Info().Str("pool", p.pool).Uint64("fence", fence).Strs("before", taken.Before).Dur("wait_ms", max(0, p.ordersFrom.Sub(now))).
		Msg("took over engine orders")
	return true
}

// awaitOrdersEnd waits until the last orders of other nodes have ended, and records it while
// this node owns the pool under the fencing token. Without the record the next takeover waits
// for these nodes again.
func (p *poolRunner) awaitOrdersEnd(ctx context.Context, fence uint64, taken vault.Ordering, wait time.Duration) {
	for failures := 1; sleep.For(ctx, wait); failures++ {
		if held, ok := p.validFence(time.Now()); !ok || held != fence {
			return
		}
		err := p.runner.Vault.OrdersEnded(ctx, p.pool, fence, taken)
		var changed *quetzalpier.RevisionError
		if err == nil || errors.As(err, &changed) {
			return
		}
		p.runner.Log.Warn().Str("pool", p.pool).Err(err).Msg("failed to record that the orders of other nodes have ended")
		wait = sleep.Backoff(failures, kvRetryBase, kvRetryMax, rand.Float64())
	}
}

// rotateModels rotates each model on the engines that are assigned to it.
func (p *poolRunner) rotateModels(ctx context.Context, fence uint64, now time.Time) {
	targets := p.targetVersions()
	p.mu.Lock()
	defer p.mu.Unlock()
	for model, version := range targets {
		p.intervals.Observe(model, version, now)
	}
	models := slices.Sorted(maps.Keys(targets))
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		if p.engines[id].VM.State == quetzalpier.VMLive {
			ids = append(ids, id)
		}
	}
	maxLoads := max(minConcurrentLoads, len(ids)/enginesPerLoad)
	work, intervals, priorities := make([]float64, len(models)), make([]time.Duration, len(models)), make([]int, len(models))
	for i, model := range models {
		work[i], intervals[i], priorities[i] = p.scheduler.ExpectedEvents(model), p.intervals.Mean(model), p.scheduler.Priority(model)
	}
	if p.runner.ShareByPriority {
		work = swap.WorkByPriority(work, priorities)
	}
	assignments := swap.AssignEngines(ids, swap.EngineCounts(len(ids), work, intervals, maxLoads, p.loadTime.Mean()))
	var coverages []swap.Coverage
	assigned := map[string][]string{}
	for i, model := range models {
		assigned[model] = assignments[i]
		coverages = append(coverages, p.engineCoverage(model, targets[model], assignments[i]))
	}
	for _, model := range swap.OrderByCoverage(coverages) {
		p.rotateModel(ctx, model, targets[model], fence, assigned[model], maxLoads, now)
	}
}

// engineCoverage counts the assigned engines that have, or are loading, a version
// that the model's newest job accepts.
func (p *poolRunner) engineCoverage(model string, target quetzalpier.Version, assigned []string) swap.Coverage {
	coverage := swap.Coverage{Model: model, Assigned: len(assigned)}
	minVersion := p.newestMinVersion(model, target)
	for _, id := range assigned {
		if e := p.engines[id]; max(e.Versions[model], e.loadingVersion) >= minVersion {
			coverage.UpToDate++
		}
	}
	return coverage
}

func (p *poolRunner) targetVersions() map[string]quetzalpier.Version {
	targets := map[string]quetzalpier.Version{}
	p.runner.Board.Do(func(s *board.State) {
		for _, model := range s.Config.Pools[p.pool].Models {
			if version := s.TargetVersions[model]; version > 0 {
				targets[model] = version
			}
		}
	})
	return targets
}

// rotateModel sends orders to the engines of one model that are due for the
// target version. The caller holds the lock.
func (p *poolRunner) rotateModel(ctx context.Context, model string, target quetzalpier.Version, fence uint64, assigned []string, maxLoads int, now time.Time) {
	var statuses []swap.EngineStatus
	for _, id := range assigned {
		e := p.engines[id]
		status := swap.EngineStatus{ID: id, Version: e.Versions[model], Running: p.countRuns(id, model), Busy: e.Loading != "" || now.Before(e.NotUntil)}
		if e.Loading == model {
			status.Loading = e.loadingVersion
		}
		statuses = append(statuses, status)
	}
	minVersion := p.newestMinVersion(model, target)
	rotation := swap.Rotation{Target: target, MinVersion: minVersion, NextMinVersion: nextMinVersion(target, minVersion), MaxLoads: maxLoads - p.activeLoads()}
	for _, id := range swap.Rotate(statuses, rotation) {
		e := p.engines[id]
		e.Loading, e.loadingVersion = model, target
		order := platform.SwapOrder{Model: model, Version: target, FinishRuns: p.needsSingleVersion(e, model), Node: p.runner.Lease.Node, Fence: fence}
		p.goroutines.Go(func() { p.runOrder(ctx, e, order) })
	}
}

// activeLoads counts the loads in progress.
func (p *poolRunner) activeLoads() int {
	loading := 0
	for _, e := range p.engines {
		if e.Loading != "" {
			loading++
		}
	}
	return loading
}

// newestMinVersion returns the oldest version that the newest job of the model
// accepts.
func (p *poolRunner) newestMinVersion(model string, target quetzalpier.Version) quetzalpier.Version {
	minVersion := target - 1
	newest := time.Time{}
	for _, job := range p.scheduler.Jobs {
		if job.Spec.Model == model && job.Spec.SubmittedAt.After(newest) {
			newest, minVersion = job.Spec.SubmittedAt, job.Spec.MinVersion
		}
	}
	return minVersion
}

// nextMinVersion returns the oldest version that the next job of the model is
// expected to accept: one more than the newest job accepts, since the minimum
// rises by one per step. It returns 0 during the first steps, which accept the
// first version whatever their allowed age, so that the next minimum can't be
// predicted from theirs.
func nextMinVersion(target, minVersion quetzalpier.Version) quetzalpier.Version {
	if minVersion <= 1 && target < minVersion+2 {
		return 0
	}
	return min(target, minVersion+1)
}

// countRuns counts the runs of the model on an engine.
func (p *poolRunner) countRuns(id, model string) int {
	count := 0
	for task := range p.cancels {
		if task.Engine == id && task.Job.Spec.Model == model {
			count++
		}
	}
	return count
}

// needsSingleVersion reports whether a run of the model on the engine must use
// a single version.
func (p *poolRunner) needsSingleVersion(e *engine, model string) bool {
	for _, job := range p.scheduler.Jobs {
		if job.Ended || !job.Spec.SingleVersion || job.Spec.Model != model {
			continue
		}
		for _, task := range job.Tasks {
			if task.Phase == tasks.Running && task.Engine == e.VM.ID {
				return true
			}
		}
	}
	return false
}

// runOrder orders one engine to load a version and waits until it has.
func (p *poolRunner) runOrder(ctx context.Context, e *engine, order platform.SwapOrder) {
	start := time.Now()
	p.mu.Lock()
	vm := e.VM
	p.mu.Unlock()
	polls, err := p.loadVersion(ctx, vm, &order, start)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	e.Loading, e.loadingVersion = "", 0
	outcome := "done"
	if err != nil {
		outcome = "failed"
		e.NotUntil = now.Add(failedOrderDelay)
		if p.runner.Paths != nil {
			p.runner.Paths.Suspect(vm)
		}
	} else {
		e.Versions[order.Model] = max(e.Versions[order.Model], order.Version)
		if polls > 0 {
			p.loadTime.Observe(now.Sub(start), polls)
		}
	}
	p.runner.Meter.Orders.WithLabelValues(p.pool, outcome).Inc()
	p.runner.Log.Info().Str("engine", vm.ID).Str("model", order.Model).Uint64("version", uint64(order.Version)).
		Uint64("fence", order.Fence).Uint64("orders", order.ExpectedOrders).Str("outcome", outcome).AnErr("cause", err).
		Dur("took_ms", now.Sub(start)).Msg("order ended")
	signal(p.wake)
}

// loadVersion orders an engine to load a version and waits until it has. It returns how
// often it asked; zero if the engine had the version already.
func (p *poolRunner) loadVersion(ctx context.Context, vm quetzalpier.VM, order *platform.SwapOrder, start time.Time) (polls int, err error) {
	report, err := p.runner.Engines.Report(ctx, vm)
	if err != nil {
		return 0, err
	}
	if report.Versions[order.Model] >= order.Version {
		return 0, nil
	}
	if !report.Busy {
		order.ExpectedOrders = report.AcceptedOrders
		// Check the lease last, since the report may have taken long.
		fence, ok := p.validFence(time.Now())
		if !ok || fence != order.Fence {
			return 0, errors.Errorf("pool %s is no longer owned under the same fencing token", p.pool)
		}
		if err := p.sendOrder(ctx, vm, *order); err != nil {
			return 0, err
		}
	}
	for wait := max(loadPollInterval, p.firstPoll()); sleep.For(ctx, wait); wait = loadPollInterval {
		polls++
		report, err := p.runner.Engines.Report(ctx, vm)
		switch {
		case err != nil:
			return polls, err
		case report.Versions[order.Model] >= order.Version:
			return polls, nil
		case !report.Busy:
			return polls, errors.New("engine is idle without having loaded the version")
		case time.Since(start) > loadTimeout:
			return polls, errors.New("engine did not load the version in time")
		}
	}
	return polls, ctx.Err()
}

// sendOrder sends an order until the engine has accepted it. An order without a
// response is sent again at once: if the engine accepted the first one, its
// order count has changed, so that neither the second one nor a delayed
// duplicate of the first matches it.
func (p *poolRunner) sendOrder(ctx context.Context, vm quetzalpier.VM, order platform.SwapOrder) error {
	for tries := 1; ; tries++ {
		err := p.runner.Engines.Order(ctx, vm, order)
		var unknown *quetzalpier.OutcomeUnknownError
		var conflict *platform.OrderConflictError
		switch {
		case err == nil, errors.As(err, &conflict):
			return nil
		case !errors.As(err, &unknown) || tries == maxOrderTries:
			return err
		}
		fence, ok := p.validFence(time.Now())
		if !ok || fence != order.Fence {
			return errors.Errorf("pool %s is no longer owned under the same fencing token", p.pool)
		}
	}
}

// firstPoll returns how long after its start a load is first asked for.
func (p *poolRunner) firstPoll() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loadTime.FirstPoll()
}

// maySendOrders reports whether a node may still send orders: it is a known
// member and is not leaving.
func (p *poolRunner) maySendOrders(node string) bool {
	usable := false
	p.runner.Board.Do(func(s *board.State) { usable = s.Members[node].Usable() && s.Members[node].ID != "" })
	return usable
}
