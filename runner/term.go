package runner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/mirror"
	"quetzalpier/sleep"
	"quetzalpier/tasks"
	"quetzalpier/vault"
)

const (
	// planEvery bounds the time between two looks at the waiting tasks.
	planEvery = 50 * time.Millisecond
	// followWait is how long one watch for jobs waits.
	followWait = 25 * time.Second
	// endedTime is how long the results of an ended job are kept at hand.
	endedTime = 10 * time.Second
	// historyMore is added to the time that results must stay readable, since
	// the time of day differs between VMs.
	historyMore = 30 * time.Second
	// openAtOnce is how many jobs are read at a time after a takeover.
	openAtOnce = 8
	loadPause  = 100 * time.Millisecond
	// expireMargin is added to the life of tasks, since the time of day differs
	// between VMs.
	expireMargin = 3 * time.Second
)

// engine is one engine of the pool.
type engine struct {
	tasks.Engine
	// target is the version that an order under way leads to.
	target quetzalpier.Version
}

// term is the time in which this node holds a pool. It outlives a lease that
// ended, as long as no other node takes the pool.
type term struct {
	r      *Runner
	pool   string
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	// finished wakes the storing of results, and dirty the comparison of the
	// book with what is stored.
	finished chan struct{}
	dirty    chan struct{}
	jobs     conc.WaitGroup

	mu sync.Mutex
	// standing is the owner that this node stands in for while the store is
	// out, and back when the store was back; nil once the node holds the pool.
	standing *board.Owner
	back     time.Time
	fence    uint64
	book     *tasks.Book
	engines  map[string]*engine
	cancels  map[*tasks.Task]context.CancelFunc
	// ended are jobs whose end is known; one may be heard before its job.
	ended map[string]bool
	// doubted are jobs of which the store may hold more results than the book.
	doubted map[string]bool
	// old are jobs that were dropped here and are to be removed from the store,
	// with the time of their submission.
	old map[string]time.Time
	// settled is the fencing token under which this node gives orders, from
	// the time orders on. Only the rotation uses them.
	settled uint64
	orders  time.Time
	// load is the moving average time of a load, and gap that between two
	// versions of one model, as named tells.
	gap   time.Duration
	named map[string]named
	load  time.Duration
}

func newTerm(ctx context.Context, r *Runner, pool string, fence uint64) *term {
	ctx, cancel := context.WithCancel(ctx)
	return &term{
		r: r, pool: pool, fence: fence, ctx: ctx, cancel: cancel,
		wake: make(chan struct{}, 1), finished: make(chan struct{}, 1), dirty: make(chan struct{}, 1),
		book: tasks.NewBook(), engines: map[string]*engine{},
		cancels: map[*tasks.Task]context.CancelFunc{}, ended: map[string]bool{}, old: map[string]time.Time{}, named: map[string]named{}, doubted: map[string]bool{},
	}
}

// raise takes over the fencing token of a lease that was taken anew.
func (t *term) raise(fence uint64) {
	t.mu.Lock()
	news := fence > t.fence
	t.fence = max(t.fence, fence)
	t.standing = nil
	t.mu.Unlock()
	if news {
		signal(t.dirty)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (t *term) run() {
	follow := &mirror.Mirror{KV: t.r.KV, Prefix: vault.Jobs, Wait: followWait, Log: t.r.Log, Apply: t.apply}
	t.jobs.Go(func() { follow.Run(t.ctx) })
	t.jobs.Go(func() { t.commits(t.ctx) })
	t.jobs.Go(func() { t.rotations(t.ctx) })
	t.jobs.Go(func() { t.reconcile(t.ctx) })
	t.jobs.Go(func() { t.saves(t.ctx) })
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for t.ctx.Err() == nil {
		t.plan(time.Now())
		select {
		case <-t.ctx.Done():
		case <-t.wake:
		case <-ticker.C:
		}
	}
	t.jobs.Wait()
}

// apply takes jobs and ends over.
func (t *term) apply(changed []quetzalpier.Entry, whole bool, now time.Time) {
	var jobs []*quetzalpier.Job
	for _, entry := range changed {
		if entry.Deleted {
			continue
		}
		news, err := vault.Decode(entry)
		if err != nil {
			t.r.Log.Error().Err(err).Msg("job unreadable")
			continue
		}
		if news.End != "" {
			t.end(news.End, now)
			continue
		}
		if news.Job.Pool == t.pool {
			jobs = append(jobs, news.Job)
		}
	}
	// The ends are known by now. After a takeover the results of many jobs are
	// read, and the tasks of each begin as soon as its own are.
	opening := pool.New().WithMaxGoroutines(openAtOnce)
	for _, job := range jobs {
		opening.Go(func() {
			t.open(job, whole, now)
			signal(t.wake)
		})
	}
	opening.Wait()
}

// open takes a job over. The results of one that an earlier owner may have
// worked on are read first.
func (t *term) open(job *quetzalpier.Job, old bool, now time.Time) {
	t.mu.Lock()
	known := t.known(job)
	t.mu.Unlock()
	if known {
		return
	}
	var listed []quetzalpier.Result
	var parts []vault.Part
	for old && t.ctx.Err() == nil {
		var err error
		if listed, parts, err = t.stored(job.ID); err == nil {
			break
		}
		t.r.Log.Warn().Str("job", job.ID).Err(err).Msg("results not read")
		sleep.For(t.ctx, loadPause)
	}
	job.Expires = job.Expires.Add(expireMargin)
	t.mu.Lock()
	defer t.mu.Unlock()
	// It may have been opened or ended meanwhile: a job is heard of twice.
	if t.known(job) {
		return
	}
	opened := t.book.Add(job, listed, now)
	t.restore(opened, parts)
	for _, task := range opened.Tasks {
		if task.Phase == tasks.Scoring {
			t.score(task)
		}
	}
	t.r.Log.Info().Str("job", job.ID).Str("model", job.Model).Int("step", job.Step).Uint64("floor", uint64(job.Floor)).
		Int("tasks", len(job.Tasks)).Int("listed", len(listed)).Int("resumed", len(parts)).Dur("age_ms", now.Sub(job.Put)).Msg("job opened")
}

// known tells whether a job is open here or has ended; the caller holds the
// lock.
func (t *term) known(job *quetzalpier.Job) bool {
	if t.ended[job.ID] {
		t.old[job.ID] = job.Put
		return true
	}
	return t.book.Jobs[job.ID] != nil
}

// stored reads what earlier owners listed and saved of a job.
func (t *term) stored(job string) ([]quetzalpier.Result, []vault.Part, error) {
	listed, err := t.r.Vault.Listed(t.ctx, job)
	if err != nil {
		return nil, nil, err
	}
	parts, err := t.r.Vault.Parts(t.ctx, job)
	return listed, parts, err
}

func (t *term) end(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended[id] = true
	job := t.book.Jobs[id]
	if job == nil || job.Ended {
		return
	}
	t.cut(t.book.End(id, now))
	t.forgetParts(job)
	t.r.Log.Info().Str("job", id).Int("listed", len(job.Listed)).Int("unfinished", job.Unfinished()).Int("whole", job.Whole).
		Dur("age_ms", now.Sub(job.Spec.Put)).Msg("job ended")
}

// cut ends the runs of tasks; the caller holds the lock.
func (t *term) cut(running []*tasks.Task) {
	for _, task := range running {
		task.Cut = true
		if cancel := t.cancels[task]; cancel != nil {
			cancel()
		}
	}
}

// plan starts the runs that are to start now.
func (t *term) plan(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	t.cut(t.book.Expire(now))
	engines := t.list()
	t.cut(t.book.Stuck(engines, now))
	for _, launch := range t.book.Plan(engines, now) {
		t.launch(launch)
	}
	for _, job := range t.book.Forget(endedTime, now) {
		t.old[job.Spec.ID] = job.Spec.Put
	}
	for id, put := range t.old {
		if now.Sub(put) > t.r.History+historyMore {
			delete(t.old, id)
			t.jobs.Go(func() { t.forget(id) })
		}
	}
}

func (t *term) forget(id string) {
	if err := t.r.Vault.Drop(t.ctx, id); err != nil {
		t.r.Log.Warn().Str("job", id).Err(err).Msg("old job not removed")
	}
}

// list returns the engines in a fixed order; the caller holds the lock.
func (t *term) list() []*tasks.Engine {
	ids := slices.Sorted(maps.Keys(t.engines))
	engines := make([]*tasks.Engine, 0, len(ids))
	for _, id := range ids {
		engines = append(engines, &t.engines[id].Engine)
	}
	return engines
}

// refresh takes over which engines there are; the caller holds the lock.
func (t *term) refresh() {
	live := map[string]bool{}
	t.r.Board.Do(func(s *board.State) {
		for id, u := range s.Upstreams {
			if u.VM.Pool != t.pool {
				continue
			}
			live[id] = true
			vm := u.VM
			if u.Leaving() {
				vm.State = quetzalpier.VMLeaving
			}
			t.setEngine(vm)
		}
	})
	for id, e := range t.engines {
		if !live[id] && e.Running == 0 {
			delete(t.engines, id)
		} else if !live[id] {
			e.VM.State = quetzalpier.VMLeaving
		}
	}
}

func (t *term) setEngine(vm quetzalpier.VM) {
	e := t.engines[vm.ID]
	if e == nil || e.VM.Born != vm.Born {
		e = &engine{Engine: tasks.Engine{VM: vm, Versions: map[string]quetzalpier.Version{}}}
		t.engines[vm.ID] = e
	}
	e.VM = vm
	for model, version := range vm.Models {
		e.Versions[model] = max(e.Versions[model], version)
	}
}

// owned returns the fencing token if this node's lease holds.
func (t *term) owned(now time.Time) (uint64, bool) { return t.r.Lease.Fence(t.pool, now) }
