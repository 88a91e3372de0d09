package runner

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/limit"
	"quetzalpier/mirror"
	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/swap"
	"quetzalpier/tasks"
	"quetzalpier/vault"
)

const (
	// planInterval limits the time between two checks of the waiting tasks.
	planInterval = 50 * time.Millisecond
	// planShare is the share of the time that planning may take, as long as the pause
	// after it is not longer than maxPlanPause.
	planShare    = 0.2
	maxPlanPause = 20 * time.Millisecond
	// historyMargin is added to the time for which results must stay readable,
	// since the clocks of VMs differ.
	historyMargin = 30 * time.Second
	// maxConcurrentReads limits of how many jobs the results are read at a time after
	// a takeover.
	maxConcurrentReads = 8
	// maxEndsWatch is how long a watch of ends waits at most. One that gets no answer
	// is noticed soon after, within the three seconds in which an end must be known.
	maxEndsWatch = time.Second
	// kvRetryBase and kvRetryMax bound the pause before a failed call to the
	// key-value service is repeated.
	kvRetryBase = 100 * time.Millisecond
	kvRetryMax  = 500 * time.Millisecond
	// expireMargin is added to the expiry time of tasks, since the clocks of
	// VMs differ.
	expireMargin = 3 * time.Second
)

// endedRetention limits how long the results of ended jobs stay in memory.
var endedRetention = tasks.Retention{MinAge: 10 * time.Second, MaxAge: time.Minute, MaxBytes: 32 << 20}

// engine is an engine of the pool.
type engine struct {
	tasks.Engine
	// loadingVersion is the version that the order in progress loads.
	loadingVersion quetzalpier.Version
	// leavesAt is when the engine leaves; zero if it does not or does not say so.
	leavesAt time.Time
}

// poolRunner processes the jobs of one pool while this node owns it. It
// outlives an expired lease as long as no other node takes over the pool.
type poolRunner struct {
	runner *Runner
	pool   string
	ctx    context.Context
	cancel context.CancelFunc
	// wake makes run plan at once, resultReady wakes commitLoop, and
	// reconcileDue wakes reconcile.
	wake         chan struct{}
	resultReady  chan struct{}
	reconcileDue chan struct{}
	goroutines   conc.WaitGroup

	mu sync.Mutex
	// standInFor is the owner for which this node stands in while the key-value
	// service is unavailable, nil once the node owns the pool. kvRecoveredAt is
	// when the service became available again.
	standInFor    *board.Owner
	kvRecoveredAt time.Time
	fence         uint64
	// ends follows the ends of jobs, and keptBackLoggedAt is when a line last said that work
	// waits for it, in Unix nanoseconds.
	ends             *mirror.Mirror
	keptBackLoggedAt atomic.Int64
	// released is set once the ends of jobs have been read, or can't be for now. Until then
	// held keeps back the jobs that may have ended, and endsFailedAt is when the first read
	// of the present outage failed; zero for none.
	released     bool
	endsFailedAt time.Time
	held         map[string]*quetzalpier.Job
	// jobsRead is set once the jobs in the key-value service have been read. A job
	// that arrives before may be one that an earlier owner has worked on.
	jobsRead  bool
	scheduler *tasks.Scheduler
	engines   map[string]*engine
	// cancels holds the functions that cancel the runs and reward calls of tasks.
	cancels map[*tasks.Task]context.CancelFunc
	// opening holds the jobs that are being opened, and whether an earlier owner may
	// have stored results of them. readSlots holds an element for each read of a job's
	// results.
	opening   map[string]bool
	readSlots chan struct{}
	// reserved is the room of the jobs that are open or being opened, and waiting are those that
	// wait for some. readingWaiting is set while the first of them is read.
	reserved       map[string]*reservation
	waiting        []waitingJob
	readingWaiting bool
	// endedJobs are the jobs that are known to have ended. The end of a job may
	// arrive before the job itself.
	// The value is when its front stored it; zero if that is not known.
	endedJobs map[string]time.Time
	// recorded are the jobs whose record in the key-value service names this pool, foreign those
	// whose record names another one and when that was seen, and checking those whose record is
	// being read.
	recorded map[string]bool
	// parts describes the jobs that are stored in parts.
	parts    map[string]quetzalpier.Parts
	foreign  map[string]time.Time
	checking map[string]bool
	// sent holds when the calls of open jobs were sent.
	sent map[string]sentTimes
	// uncertain are the jobs of which the key-value service may hold more
	// results than the scheduler, since a write of theirs had no known outcome.
	uncertain map[string]bool
	// unread are the jobs of which another owner may have stored results that this
	// node has not read. Results can be stored, since a position is written once only,
	// but readers could miss some.
	unread map[string]bool
	// reads are the reads of stored results in progress, by job.
	reads map[string]*storedRead
	// dropped are the jobs that are no longer in memory and are to be deleted
	// from the key-value service, with the time of their submission.
	dropped map[string]time.Time
	// ordersFence is the fencing token under which this node sends orders,
	// starting at ordersFrom. claimedFence is the one under which it last tried to take
	// them over, first at claimedAt. Only rotationLoop uses these five.
	ordersFence  uint64
	ordersFrom   time.Time
	claimedFence uint64
	claimedAt    time.Time
	// orderFailures counts the consecutive failures to take over the orders.
	orderFailures int
	// intervals are the times between two versions of each model, which only
	// rotationLoop uses, and loadTime is the time of a load.
	intervals swap.Intervals
	loadTime  swap.LoadTime
}

func newPoolRunner(ctx context.Context, r *Runner, pool string, fence uint64) *poolRunner {
	ctx, cancel := context.WithCancel(ctx)
	scheduler := tasks.NewScheduler()
	scheduler.Reuse, scheduler.Share = r.ReusePrompts, r.ShareByPriority
	scheduler.MaxRetainedBytes = r.MaxTextBytes / 2
	p := &poolRunner{
		runner: r, pool: pool, fence: fence, ctx: ctx, cancel: cancel,
		wake: make(chan struct{}, 1), resultReady: make(chan struct{}, 1), reconcileDue: make(chan struct{}, 1),
		scheduler: scheduler, engines: map[string]*engine{},
		cancels: map[*tasks.Task]context.CancelFunc{}, opening: map[string]bool{}, held: map[string]*quetzalpier.Job{},
		reserved: map[string]*reservation{}, parts: map[string]quetzalpier.Parts{}, recorded: map[string]bool{}, foreign: map[string]time.Time{}, checking: map[string]bool{},
		readSlots: make(chan struct{}, maxConcurrentReads), endedJobs: map[string]time.Time{}, sent: map[string]sentTimes{}, dropped: map[string]time.Time{}, uncertain: map[string]bool{}, unread: map[string]bool{}, reads: map[string]*storedRead{},
	}
	p.ends = p.newMirror(vault.Ends, min(r.WatchTimeout, maxEndsWatch), p.applyEnds)
	p.ends.KV = endsSource{p}
	return p
}

// updateFence applies the fencing token of a lease that was acquired anew. Another
// node may have owned the pool in between and have stored results.
func (p *poolRunner) updateFence(fence uint64) {
	p.mu.Lock()
	isNew := fence > p.fence
	p.fence = max(p.fence, fence)
	p.standInFor = nil
	if isNew {
		for id := range p.scheduler.Jobs {
			p.setUnread(id)
		}
	}
	p.mu.Unlock()
	if isNew {
		signal(p.reconcileDue)
	}
}

// pauseKV waits before a call to the key-value service that failed failures times
// in a row is repeated.
func pauseKV(ctx context.Context, failures int) {
	sleep.For(ctx, sleep.Backoff(failures, kvRetryBase, kvRetryMax, rand.Float64()))
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (p *poolRunner) run() {
	p.goroutines.Go(func() {
		p.ends.Run(p.ctx)
	})
	p.goroutines.Go(func() {
		jobs := p.newMirror(vault.Jobs, p.runner.WatchTimeout, p.applyJobs)
		jobs.KV = jobsSource{p.runner.KV, p}
		jobs.Run(p.ctx)
	})
	p.goroutines.Go(func() { p.commitLoop(p.ctx) })
	p.goroutines.Go(func() { p.rotationLoop(p.ctx) })
	p.goroutines.Go(func() { p.reconcile(p.ctx) })
	p.goroutines.Go(func() { p.saveLoop(p.ctx) })
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for p.ctx.Err() == nil {
		began := time.Now()
		p.plan(began)
		sleep.For(p.ctx, planPause(time.Since(began)))
		select {
		case <-p.ctx.Done():
		case <-p.wake:
		case <-ticker.C:
		}
	}
	p.goroutines.Wait()
	p.close()
}

// close gives back the room of all jobs.
func (p *poolRunner) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.reserved {
		p.runner.room().Add(-r.bytes)
	}
	p.reserved = map[string]*reservation{}
	for len(p.waiting) > 0 {
		p.popWaiting()
	}
}

// planPause returns how long to wait after planning took a while: wakes come with each end
// of a run, hundreds a second in a large pool, and those meanwhile are handled together.
//
// Load pattern: runs end all the time while a thousand tasks wait.
func planPause(took time.Duration) time.Duration {
	return min(maxPlanPause, time.Duration(float64(took)*(1/planShare-1)))
}

func (p *poolRunner) newMirror(prefix string, watchTimeout time.Duration, apply func([]quetzalpier.Entry, bool, time.Time)) *mirror.Mirror {
	return &mirror.Mirror{KV: p.runner.KV, Prefix: prefix, WatchTimeout: watchTimeout, DropValues: true, Log: p.runner.Log, Apply: apply}
}

// applyEnds handles the ends of jobs.
func (p *poolRunner) applyEnds(changed []quetzalpier.Entry, full bool, now time.Time) {
	source := sourceWatch
	if full {
		source = sourceRead
	}
	for _, entry := range changed {
		if !entry.Deleted {
			p.endJob(vault.EndedJob(entry), end{vault.EndedAt(entry), source}, now)
		}
	}
	if full {
		p.releaseHeld(true, now)
	}
}

// readEnds reads the ends of all jobs, until that succeeds or the runner stops.
func (p *poolRunner) readEnds() {
	for failures := 1; p.ctx.Err() == nil; failures++ {
		found, err := endsSource{p}.Range(p.ctx, vault.Ends, false)
		if err == nil {
			p.applyEnds(found.Entries, true, time.Now())
			return
		}
		p.runner.Log.Warn().Str("pool", p.pool).Err(err).Msg("failed to read the ends of jobs")
		pauseKV(p.ctx, failures)
	}
}

// applyJobs opens new jobs. allJobs reports whether changed holds all jobs, so that
// earlier owners may have worked on them, and some have ended.
func (p *poolRunner) applyJobs(changed []quetzalpier.Entry, allJobs bool, now time.Time) {
	if allJobs {
		p.readEnds()
	}
	for _, entry := range changed {
		id := vault.JobID(entry)
		p.noteParts(id, entry)
		if entry.Deleted || p.handled(id, allJobs, now) && !p.mayBeForeign(id) {
			continue
		}
		if len(entry.Value) == 0 {
			p.mu.Lock()
			p.wait(waitingJob{id, unknownBytes, now}, allJobs)
			p.mu.Unlock()
			continue
		}
		job, err := vault.DecodeJob(entry)
		if err != nil {
			p.runner.Log.Error().Err(err).Msg("failed to decode job")
			continue
		}
		if p.applyRecord(id, job.Pool, now) {
			p.openInBackground(job, allJobs, now)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobsRead = true
}

// handled reports whether a job is open here, being opened, or has ended or expired, or is one of
// another pool, so that it need not be decoded. One that is being opened may have results if mayHaveResults is set.
//
// Load pattern: a new owner reads all jobs of the last minutes, nearly all of which have ended,
// and an owner reads them again whenever the key-value service drops its history.
func (p *poolRunner) handled(id string, mayHaveResults bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, opening := p.opening[id]; opening {
		p.opening[id] = known || mayHaveResults
		return true
	}
	_, foreign := p.foreign[id]
	if _, dropped := p.dropped[id]; dropped || foreign || p.scheduler.Jobs[id] != nil {
		return true
	}
	_, ended := p.endedJobs[id]
	if ended {
		// The job was submitted earlier, so that its key is deleted late enough.
		p.dropped[id] = now
	}
	return ended
}

// openInBackground opens a job unless that is in progress. A job whose stored results
// can't be read delays no other.
func (p *poolRunner) openInBackground(job *quetzalpier.Job, mayHaveResults bool, now time.Time) {
	if !p.reserve(job, mayHaveResults, now) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, present := p.opening[job.ID]; present {
		return
	}
	p.opening[job.ID] = mayHaveResults
	p.goroutines.Go(func() {
		if loaded, release := p.load(job); loaded != nil {
			p.openJob(loaded, mayHaveResults, now)
			release()
		}
		p.mu.Lock()
		delete(p.opening, job.ID)
		p.markOpened(job.ID)
		p.mu.Unlock()
		signal(p.wake)
	})
}

// openJob adds a job to the scheduler. If an earlier owner may have worked on
// it, its stored results are read first.
func (p *poolRunner) openJob(job *quetzalpier.Job, mayHaveResults bool, now time.Time) {
	p.mu.Lock()
	known := p.knownJob(job)
	fence := p.fence
	p.mu.Unlock()
	if known {
		return
	}
	var stored []quetzalpier.Result
	var parts []vault.Part
	for failures := 1; mayHaveResults && p.ctx.Err() == nil; failures++ {
		var err error
		if stored, parts, err = p.readStored(job.ID); err == nil {
			break
		}
		p.runner.Log.Warn().Str("job", job.ID).Err(err).Msg("failed to read stored results")
		pauseKV(p.ctx, failures)
	}
	// The caller may open the same job again.
	opening := *job
	job = &opening
	job.Tasks = slices.Clone(job.Tasks)
	job.ExpiresAt = job.ExpiresAt.Add(expireMargin)
	for i := range job.Tasks {
		job.Tasks[i].Prompt = platform.DecodePrompt(job.Tasks[i].Headers)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The job may have been opened or ended meanwhile, since it arrives both
	// from the client and from the watch.
	if p.knownJob(job) {
		return
	}
	opened := p.scheduler.Add(job, stored, now)
	// The jobs of a stand-in become unread when it takes over the pool.
	unread := !mayHaveResults && (!p.jobsRead || p.opening[job.ID])
	if p.fence != fence || unread && p.standInFor == nil {
		p.setUnread(job.ID)
		signal(p.reconcileDue)
	}
	p.restoreParts(opened, parts)
	for _, task := range opened.Tasks {
		if task.Phase >= tasks.Scoring {
			p.continueTask(task)
		}
	}
	p.runner.Log.Info().Str("job", job.ID).Str("model", job.Model).Int("step", job.Step).Uint64("floor", uint64(job.MinVersion)).Int("want", job.WantGroups).
		Int("tasks", len(job.Tasks)).Dur("objective_ms", job.DueAt.Sub(job.SubmittedAt)).Int("listed", len(stored)).Int("whole", opened.CompleteGroups).Int("resumed", len(parts)).Dur("age_ms", now.Sub(job.SubmittedAt)).Msg("job opened")
}

// knownJob reports whether a job is open here, has ended or expired, or is one of another pool.
// The caller holds the lock.
func (p *poolRunner) knownJob(job *quetzalpier.Job) bool {
	if _, ended := p.endedJobs[job.ID]; ended {
		delete(p.recorded, job.ID)
		p.dropped[job.ID] = job.SubmittedAt
		return true
	}
	_, dropped := p.dropped[job.ID]
	_, foreign := p.foreign[job.ID]
	return dropped || foreign || p.scheduler.Jobs[job.ID] != nil
}

// readStored reads the results and partial texts that earlier owners stored for
// a job.
func (p *poolRunner) readStored(job string) ([]quetzalpier.Result, []vault.Part, error) {
	select {
	case p.readSlots <- struct{}{}:
	case <-p.ctx.Done():
		return nil, nil, p.ctx.Err()
	}
	defer func() { <-p.readSlots }()
	stored, err := p.runner.Vault.Results(p.ctx, job)
	if err != nil {
		return nil, nil, err
	}
	parts, err := p.runner.Vault.Parts(p.ctx, job)
	return stored, parts, err
}

// cancelRuns cancels the runs and reward calls of tasks. The caller holds the lock.
func (p *poolRunner) cancelRuns(active []*tasks.Task) {
	for _, task := range active {
		task.Canceled = true
		if cancel := p.cancels[task]; cancel != nil {
			cancel()
		}
	}
}

// plan starts the runs that are due.
func (p *poolRunner) plan(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshEngines(now)
	p.refreshPriorities()
	p.cancelRuns(p.scheduler.Expire(now))
	engines := p.engineList()
	p.cancelRuns(p.scheduler.TasksToMove(engines, now))
	p.cancelRuns(p.scheduler.TasksToEvacuate(engines, p.departures(), now))
	before := p.scheduler.Split.Active()
	for _, launch := range p.scheduler.Plan(engines, now) {
		p.launch(launch)
	}
	if split := p.scheduler.Split; split.Active() != before {
		p.runner.Log.Info().Str("pool", p.pool).Int("engines", len(engines)).Int("long", len(split.Long)).Msg("division of engines between long and short prompts changed")
	}
	retention := endedRetention
	retention.Crowded = len(p.waiting) > 0 || p.runner.room().Crowded()
	for _, job := range p.scheduler.DropEnded(retention, now) {
		p.dropped[job.Spec.ID] = job.Spec.SubmittedAt
		delete(p.sent, job.Spec.ID)
		delete(p.recorded, job.Spec.ID)
	}
	p.releaseRooms()
	p.openWaiting()
	p.dropForeign(now)
	for id, submittedAt := range p.dropped {
		if now.Sub(submittedAt) > p.runner.Retention+historyMargin {
			parts := p.parts[id]
			delete(p.dropped, id)
			delete(p.parts, id)
			p.goroutines.Go(func() { p.deleteJob(id, parts) })
		}
	}
}

func (p *poolRunner) deleteJob(id string, parts quetzalpier.Parts) {
	if err := p.runner.Vault.DeleteJob(p.ctx, id, parts); err != nil {
		p.runner.Log.Warn().Str("job", id).Err(err).Msg("failed to delete expired job")
	}
}

// engineList returns the engines in a fixed order. The caller holds the lock.
func (p *poolRunner) engineList() []*tasks.Engine {
	ids := slices.Sorted(maps.Keys(p.engines))
	engines := make([]*tasks.Engine, 0, len(ids))
	for _, id := range ids {
		engines = append(engines, &p.engines[id].Engine)
	}
	return engines
}

// softwareOf returns the software version that an engine is listed with. The caller holds
// the lock.
func (p *poolRunner) softwareOf(id string) (version string, listed bool) {
	e := p.engines[id]
	if e == nil {
		return "", false
	}
	return e.VM.Software, true
}

// refreshEngines updates the engines from the board. The caller holds the lock.
func (p *poolRunner) refreshEngines(now time.Time) {
	live := map[string]bool{}
	p.runner.Board.Do(func(s *board.State) {
		p.scheduler.LongPrompt = s.LongPrompt
		if p.runner.BoundMemory {
			p.scheduler.MemoryTokens = s.Config.Pools[p.pool].MemoryTokens
		}
		for id, upstream := range s.Upstreams {
			if upstream.VM.Pool != p.pool {
				continue
			}
			live[id] = true
			vm := upstream.VM
			if upstream.Leaving() {
				vm.State = quetzalpier.VMLeaving
			}
			e := p.setEngine(vm)
			e.leavesAt = departure(e.leavesAt, vm, now)
			e.Limited, e.Permits = upstream.Limit.Named, limit.Room(upstream, now)
			if p.runner.PlaceByNoise && upstream.Slowdown > 0 {
				e.Slowdown, e.SlowdownAt = upstream.Slowdown, upstream.SlowdownAt
			}
		}
	})
	for id, e := range p.engines {
		if !live[id] && e.Running == 0 {
			delete(p.engines, id)
		} else if !live[id] {
			e.VM.State = quetzalpier.VMLeaving
		}
	}
}

// refreshPriorities sets the priorities of the jobs as the configuration has them: that of
// the customer, or else of the route. The caller holds the lock.
func (p *poolRunner) refreshPriorities() {
	routes, customers := map[string]int{}, map[string]int{}
	p.runner.Board.Do(func(s *board.State) {
		for _, route := range s.Config.Routes {
			routes[route.Name] = route.Priority
		}
		for _, customer := range s.Config.Customers {
			customers[customer.Name] = customer.Priority
		}
	})
	for _, job := range p.scheduler.Jobs {
		priority, known := customers[job.Spec.Customer]
		if !known {
			priority, known = routes[job.Spec.Route]
		}
		if known && !job.Ended {
			p.scheduler.SetPriority(job, priority)
		}
	}
}

func (p *poolRunner) setEngine(vm quetzalpier.VM) *engine {
	e := p.engines[vm.ID]
	if e == nil || e.VM.Incarnation != vm.Incarnation || e.VM.Software != vm.Software {
		e = &engine{Engine: tasks.Engine{VM: vm, Versions: map[string]quetzalpier.Version{}}}
		p.engines[vm.ID] = e
	}
	e.VM = vm
	for model, version := range vm.Models {
		e.Versions[model] = max(e.Versions[model], version)
	}
	return e
}

// departure returns when an engine leaves, given what was known before. Entries are read late,
// so that the earliest time is the best one.
func departure(before time.Time, vm quetzalpier.VM, now time.Time) time.Time {
	if vm.State != quetzalpier.VMLeaving || vm.LeavesIn <= 0 {
		return time.Time{}
	}
	if at := now.Add(vm.LeavesIn); before.IsZero() || at.Before(before) {
		return at
	}
	return before
}

// departures returns when engines leave. The caller holds the lock.
func (p *poolRunner) departures() map[string]time.Time {
	leavesAt := map[string]time.Time{}
	for id, e := range p.engines {
		if !e.leavesAt.IsZero() {
			leavesAt[id] = e.leavesAt
		}
	}
	return leavesAt
}

// validFence returns the fencing token if this node's lease is valid.
func (p *poolRunner) validFence(now time.Time) (uint64, bool) {
	return p.runner.Lease.Fence(p.pool, now)
}
