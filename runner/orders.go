package runner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/swap"
	"quetzalpier/tasks"
)

const (
	rotateEvery = 50 * time.Millisecond
	// reportEvery is the time between two looks at an engine that is about to
	// have loaded; its report is some hundred milliseconds old.
	reportEvery = 100 * time.Millisecond
	// loadEarly is how much earlier than usual the first look is.
	loadEarly  = 150 * time.Millisecond
	loadWeight = 0.2
	// orderTries bounds the orders to an engine that does not answer.
	orderTries = 3
	// loadLimit is how long a load may take before the engine is ordered anew.
	loadLimit = 5 * time.Second
	// loadsAtOnce is how many loads the weight store bears at a time, or one in
	// loadShare of the engines if that is more.
	loadsAtOnce = 2
	loadShare   = 5
	// usualLoad and usualGap stand for the time of a load and between two
	// versions until they are measured.
	usualLoad = time.Second
	usualGap  = 4 * time.Second
	// failedOrder is the wait after an order that did not take hold.
	failedOrder = 300 * time.Millisecond
)

// rotations moves the pool's engines to the versions that trainers name.
func (t *term) rotations(ctx context.Context) {
	for sleep.For(ctx, rotateEvery) {
		now := time.Now()
		fence, ok := t.owned(now)
		if !ok || !t.succeed(ctx, fence, now) || now.Before(t.orders) {
			continue
		}
		t.rotateAll(ctx, fence, now)
	}
}

// succeed notes in the store, once for each fencing token, that this node gives
// the orders from now on. If another one did before, its last orders must be
// over first; where engines check fencing tokens, that is so once it is gone.
func (t *term) succeed(ctx context.Context, fence uint64, now time.Time) bool {
	if t.settled == fence {
		return true
	}
	last, err := t.r.Vault.Succeed(ctx, t.pool, t.r.Lease.Node)
	if err != nil {
		t.r.Log.Warn().Str("pool", t.pool).Err(err).Msg("orders not taken over")
		sleep.For(ctx, loadPause)
		return false
	}
	t.settled = fence
	t.orders = now
	if last != "" && last != t.r.Lease.Node && (!t.r.Fenced || t.alive(last)) {
		t.orders = now.Add(t.r.Turn)
	}
	t.r.Log.Info().Str("pool", t.pool).Uint64("fence", fence).Str("before", last).Msg("orders are given by this node")
	return true
}

// rotateAll rotates each model on its own engines.
func (t *term) rotateAll(ctx context.Context, fence uint64, now time.Time) {
	targets := t.targets()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteTargets(targets, now)
	models := slices.Sorted(maps.Keys(targets))
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(t.engines)) {
		if t.engines[id].VM.State == quetzalpier.VMLive {
			ids = append(ids, id)
		}
	}
	atOnce := max(loadsAtOnce, len(ids)/loadShare)
	load, gap := t.load, t.gap
	if load == 0 {
		load = usualLoad
	}
	if gap == 0 {
		gap = usualGap
	}
	work := make([]float64, len(models))
	for i, model := range models {
		work[i] = t.book.Work(model)
	}
	arcs := swap.Homes(ids, swap.Widths(len(ids), work, atOnce, load, gap))
	var shares []swap.Share
	homes := map[string][]string{}
	for i, model := range models {
		homes[model] = arcs[i]
		shares = append(shares, t.share(model, targets[model], arcs[i]))
	}
	for _, model := range swap.Neediest(shares) {
		t.rotate(ctx, model, targets[model], fence, homes[model], atOnce, now)
	}
}

// share counts the engines that the model's newest job takes.
func (t *term) share(model string, target quetzalpier.Version, homes []string) swap.Share {
	share := swap.Share{Model: model, Homes: len(homes)}
	floor := t.floor(model, target)
	for _, id := range homes {
		if e := t.engines[id]; max(e.Versions[model], e.target) >= floor {
			share.Useful++
		}
	}
	return share
}

// noteTargets measures the time between two versions of one model; the caller
// holds the lock.
func (t *term) noteTargets(targets map[string]quetzalpier.Version, now time.Time) {
	for model, version := range targets {
		last := t.named[model]
		if last.version == version {
			continue
		}
		t.named[model] = named{version, now}
		if last.version == 0 || version != last.version+1 {
			continue
		}
		if took := now.Sub(last.at); t.gap == 0 || took < t.gap {
			t.gap = took
		} else {
			t.gap += time.Duration(loadWeight * float64(took-t.gap))
		}
	}
}

// named is when a version was first seen.
type named struct {
	version quetzalpier.Version
	at      time.Time
}

func (t *term) targets() map[string]quetzalpier.Version {
	targets := map[string]quetzalpier.Version{}
	t.r.Board.Do(func(s *board.State) {
		for _, model := range s.Config.Pools[t.pool].Models {
			if version := s.Targets[model]; version > 0 {
				targets[model] = version
			}
		}
	})
	return targets
}

// rotate orders the engines of one model that are due; the caller holds the
// lock.
func (t *term) rotate(ctx context.Context, model string, target quetzalpier.Version, fence uint64, homes []string, atOnce int, now time.Time) {
	var seats []swap.Seat
	for _, id := range homes {
		e := t.engines[id]
		seat := swap.Seat{ID: id, Version: e.Versions[model], Running: t.runs(id, model), Busy: e.Loading != "" || now.Before(e.NotUntil)}
		if e.Loading == model {
			seat.Loading = e.target
		}
		seats = append(seats, seat)
	}
	floor := t.floor(model, target)
	turn := swap.Turn{Target: target, Floor: floor, Next: next(target, floor), Room: atOnce - t.loading()}
	for _, id := range swap.Rotate(seats, turn) {
		e := t.engines[id]
		e.Loading, e.target = model, target
		order := platform.Swap{Model: model, Version: target, Hold: t.single(e, model), Node: t.r.Lease.Node, Fence: fence}
		t.jobs.Go(func() { t.order(ctx, e, order) })
	}
}

// loading counts the loads under way.
func (t *term) loading() int {
	loading := 0
	for _, e := range t.engines {
		if e.Loading != "" {
			loading++
		}
	}
	return loading
}

// floor is the oldest version that the newest job of the model takes.
func (t *term) floor(model string, target quetzalpier.Version) quetzalpier.Version {
	floor := target - 1
	newest := time.Time{}
	for _, job := range t.book.Jobs {
		if job.Spec.Model == model && job.Spec.Put.After(newest) {
			newest, floor = job.Spec.Put, job.Spec.Floor
		}
	}
	return floor
}

// next is the oldest version that the next job of the model is expected to
// take: one more than the newest job, whose floor rises by one a step. The
// first steps take the first version whatever they allow, and tell nothing.
func next(target, floor quetzalpier.Version) quetzalpier.Version {
	if floor <= 1 && target < floor+2 {
		return 0
	}
	return min(target, floor+1)
}

// runs counts the runs of the model on an engine.
func (t *term) runs(id, model string) int {
	count := 0
	for task := range t.cancels {
		if task.Engine == id && task.Job.Spec.Model == model {
			count++
		}
	}
	return count
}

// single tells whether a run on the engine must be made by one version alone.
func (t *term) single(e *engine, model string) bool {
	for _, job := range t.book.Jobs {
		if job.Ended || !job.Spec.Single || job.Spec.Model != model {
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

// order moves one engine and waits until it has the version.
func (t *term) order(ctx context.Context, e *engine, order platform.Swap) {
	start := time.Now()
	t.mu.Lock()
	vm := e.VM
	t.mu.Unlock()
	err := t.move(ctx, vm, &order, start)
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Loading, e.target = "", 0
	outcome := "done"
	if err != nil {
		outcome = "failed"
		e.NotUntil = now.Add(failedOrder)
	} else {
		e.Versions[order.Model] = max(e.Versions[order.Model], order.Version)
		t.noteLoad(now.Sub(start))
	}
	t.r.Meter.Orders.WithLabelValues(t.pool, outcome).Inc()
	t.r.Log.Info().Str("engine", vm.ID).Str("model", order.Model).Uint64("version", uint64(order.Version)).
		Uint64("fence", order.Fence).Uint64("orders", order.Orders).Str("outcome", outcome).AnErr("cause", err).
		Dur("took_ms", now.Sub(start)).Msg("order ended")
	signal(t.wake)
}

func (t *term) move(ctx context.Context, vm quetzalpier.VM, order *platform.Swap, start time.Time) error {
	report, err := t.r.Engines.Report(ctx, vm)
	if err != nil {
		return err
	}
	if report.Versions[order.Model] >= order.Version {
		return nil
	}
	if !report.Busy {
		order.Orders = report.Orders
		// The lease is asked last: the report may have taken long.
		fence, ok := t.owned(time.Now())
		if !ok || fence != order.Fence {
			return errors.Errorf("pool %s is not held any more", t.pool)
		}
		if err := t.give(ctx, vm, *order); err != nil {
			return err
		}
	}
	sleep.For(ctx, max(reportEvery, t.loadTime()))
	for sleep.For(ctx, reportEvery) {
		report, err := t.r.Engines.Report(ctx, vm)
		switch {
		case err != nil:
			return err
		case report.Versions[order.Model] >= order.Version:
			return nil
		case !report.Busy:
			return errors.New("the order did not take hold")
		case time.Since(start) > loadLimit:
			return errors.New("the load takes too long")
		}
	}
	return ctx.Err()
}

// give gives an order until the engine has accepted it. One without an answer
// is given again at once: if the engine accepted the first, the second no
// longer matches its count of orders, and a first that is carried out late no
// longer matches it either.
func (t *term) give(ctx context.Context, vm quetzalpier.VM, order platform.Swap) error {
	for tries := 1; ; tries++ {
		err := t.r.Engines.Order(ctx, vm, order)
		var unsure *quetzalpier.UnsureError
		var conflict *platform.ConflictError
		switch {
		case err == nil, errors.As(err, &conflict):
			return nil
		case !errors.As(err, &unsure) || tries == orderTries:
			return err
		}
		fence, ok := t.owned(time.Now())
		if !ok || fence != order.Fence {
			return errors.Errorf("pool %s is not held any more", t.pool)
		}
	}
}

// noteLoad takes the time of a load into the moving average.
func (t *term) noteLoad(took time.Duration) {
	if t.load == 0 {
		t.load = took
		return
	}
	t.load += time.Duration(loadWeight * float64(took-t.load))
}

// loadTime is how long a load surely takes, by those before it.
func (t *term) loadTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load - loadEarly
}

// alive tells whether a node may still give orders: it is listed, and does not
// leave.
func (t *term) alive(node string) bool {
	alive := false
	t.r.Board.Do(func(s *board.State) { alive = s.Members[node].Usable() && s.Members[node].ID != "" })
	return alive
}
