package tasks

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quetzalpier"
	"quetzalpier/pace"
)

const (
	// defaultLength is the expected number of events of a task without a length
	// hint.
	defaultLength = 16
	// EventTokens is the assumed number of hinted tokens per event, until enough
	// tasks have finished to measure it.
	EventTokens = 46
	// defaultPace is the assumed time per event of an engine without a measurement.
	defaultPace = 35 * time.Millisecond
	// paceWeight is the weight of a new event in the moving average of the pace.
	paceWeight = 0.1
	// expectedSlotWait is the expected wait until another engine has a free slot:
	// most tasks take less than a second.
	expectedSlotWait = 800 * time.Millisecond
	// longestTaskShare is the minimum assumed length of a task without events, as a
	// share of the longest recent task of its model, when tasks are sorted by slack.
	longestTaskShare = 0.5
	// longTaskEvents is the number of events beyond which a task runs for more than
	// half of the time between two steps. lastVersionCost is the added cost of
	// placing such a task on an engine with the oldest accepted version, which the
	// next step is expected to reject: the run would keep the engine from loading
	// new weights in time.
	longTaskEvents  = 60
	lastVersionCost = 300 * time.Millisecond
	// satisfiedSlack is added to the slack of tasks whose job is satisfied, so that
	// they sort behind all others.
	satisfiedSlack = time.Minute
	// failedDelay is how long an engine gets no new run after a failure. It doubles
	// with each consecutive failure, up to maxFailedDelay.
	failedDelay    = 250 * time.Millisecond
	maxFailedDelay = time.Second
)

// Engine is the planner's view of one engine.
type Engine struct {
	VM quetzalpier.VM
	// Running counts the runs on the engine.
	Running int
	// EventTime is the moving average time of the last events; zero while unknown.
	EventTime time.Duration
	// Slowdown is the slowdown that the engine reported at SlowdownAt; zero if it reports
	// none. Such an engine is noisy: EventTime alone doesn't tell its speed.
	Slowdown   int
	SlowdownAt time.Time
	// Learnt is the usual time of an event, and Slow the time since when EventTime has been
	// far above it; both are kept for noisy engines only.
	Learnt pace.Learnt
	Slow   pace.Spell
	// Held is what the engine is assumed to hold of the prompts of earlier runs.
	Held Held
	// Loading is the model whose weights are being loaded; empty for none.
	Loading string
	// Versions holds the latest known weight version of each model.
	Versions map[string]quetzalpier.Version
	// Failures counts consecutive failures. NotUntil is the earliest time of the
	// next run.
	Failures int
	NotUntil time.Time
	// Limited reports whether the engine limits the requests that it accepts, and
	// Permits is how many runs may start there now if it does.
	Limited bool
	Permits int

	failedAt time.Time
}

// RecordFailure holds the engine back after it broke off a run that began at
// startedAt, or accepted no connection for it. Runs that began before the last
// failure broke off with that one and don't count again.
func (e *Engine) RecordFailure(startedAt, now time.Time) {
	// The engine may have restarted.
	e.Held = Held{}
	if e.Failures == 0 || startedAt.After(e.failedAt) {
		e.Failures++
		e.failedAt = now
	}
	e.NotUntil = now.Add(min(maxFailedDelay, failedDelay<<min(e.Failures-1, 2)))
}

// failing reports whether the engine is held back after a failure.
func (e *Engine) failing(now time.Time) bool { return e.Failures > 0 && now.Before(e.NotUntil) }

// RecordSuccess ends the delay of an engine that completed a run.
func (e *Engine) RecordSuccess() {
	e.Failures = 0
	e.NotUntil = time.Time{}
}

// ObserveEvent updates EventTime, and Learnt of a noisy engine, with the duration of one
// event.
func (e *Engine) ObserveEvent(took time.Duration, now time.Time) {
	if e.Slowdown > 0 {
		e.Learnt.Observe(took, pace.Factor(e.Slowdown, now.Sub(e.SlowdownAt)), now)
	}
	if e.EventTime == 0 {
		e.EventTime = took
		return
	}
	e.EventTime += time.Duration(paceWeight * float64(took-e.EventTime))
}

// usualTime returns the expected time of an event; zero while unknown. It is the learnt one
// for a noisy engine, unless that has a fault.
func (e *Engine) usualTime(now time.Time) time.Duration {
	if e.Slowdown == 0 || e.Learnt.Time == 0 || e.Slow.TooLong(now) {
		return e.EventTime
	}
	return e.Learnt.Time
}

// timeOrDefault returns the expected time of an event, or the default while unknown.
func (e *Engine) timeOrDefault(now time.Time) time.Duration {
	usual := e.EventTime
	if e.Slowdown > 0 {
		usual = e.usualTime(now)
	}
	if usual == 0 {
		return defaultPace
	}
	return usual
}

// observeSpell updates Slow of a noisy engine. Its usual time may be above the median too.
func (e *Engine) observeSpell(median time.Duration, now time.Time) {
	if e.Slowdown > 0 {
		e.Slow.Observe(e.EventTime > slowFactor*max(median, e.Learnt.Time), e.Learnt.At, now)
	}
}

// faulty reports whether the engine is slower than noise explains, or slow for longer.
func (e *Engine) faulty(median time.Duration, now time.Time) bool {
	if e.Slowdown == 0 {
		return e.EventTime > slowFactor*median
	}
	return e.Slow.TooLong(now) || float64(e.EventTime) > slowFactor*pace.NoiseFactor*float64(max(median, e.Learnt.Time))
}

// HasRoom reports whether the engine can run a task of the job now.
func (e *Engine) HasRoom(job *quetzalpier.Job, now time.Time) bool {
	return e.accepts(now) && e.Loading != job.Model && e.Versions[job.Model] >= job.MinVersion
}

// accepts reports whether the engine has a free slot that may be used now.
func (e *Engine) accepts(now time.Time) bool {
	return e.VM.State == quetzalpier.VMLive && !now.Before(e.NotUntil) && e.Running < e.VM.Slots && !(e.Limited && e.Permits <= 0)
}

// Launch is a run to start.
type Launch struct {
	Task   *Task
	Engine *Engine
	// Waited is how long the task waited for this run.
	Waited Wait
	// HeldTokens is how many of the PromptTokens that the task shares with others the engine
	// is assumed to hold already.
	HeldTokens, PromptTokens int
	// Class is the class of the prompt, and Mixed whether prompts of the other class are in
	// the pool.
	Class string
	Mixed bool
}

// Wait is how long a task waited to run: while all engines with suitable weights
// were Busy, and while none had suitable weights (Unloaded).
type Wait struct {
	Busy     time.Duration
	Unloaded time.Duration
}

// Plan assigns waiting tasks to engines, the tasks with the least slack first.
//
// Load pattern: all tasks of a step are submitted at once, and a few of them are
// many times as long as the rest. If a long task starts late, the step ends
// late.
func (s *Scheduler) Plan(engines []*Engine, now time.Time) []Launch {
	return s.PlanWith(Heuristics{Order: true, Place: true, Reuse: s.Reuse, Share: s.Share}, engines, now)
}

// Heuristics selects the scheduling heuristics; a disabled one is replaced by the
// naive baseline.
type Heuristics struct {
	// Order starts the tasks with the least slack first, instead of in the order
	// of submission.
	Order bool
	// Place selects the engine that is expected to finish a task first, instead of
	// the first one with a free slot.
	Place bool
	// Reuse prefers engines that hold the prompt of a task, instead of ignoring the
	// prompts.
	Reuse bool
	// Share gives jobs of different priority their shares of the slots, in addition to Order.
	Share bool
}

// PlanWith is Plan with a choice of heuristics, to measure the effect of each.
func (s *Scheduler) PlanWith(heuristics Heuristics, engines []*Engine, now time.Time) []Launch {
	waiting := s.waitingTasks(now)
	if len(waiting) == 0 {
		return nil
	}
	median := medianPace(engines, now)
	line := &queue{tasks: waiting}
	if heuristics.Order {
		line.slacks = s.sortBySlack(waiting, median, now)
		if heuristics.Share && s.atRisk(engines, median, now) {
			s.share(line, now)
		}
	}
	pool := newCandidates(engines, now)
	pool.reuse = heuristics.Reuse
	s.Split = s.splitEngines(engines, now)
	pool.split, pool.longPrompt = s.Split, s.LongPrompt
	if !heuristics.Place {
		pool.choose = firstWithRoom
	}
	var launches []Launch
	loaded := map[*Job]bool{}
	software := make(map[string]string, len(engines))
	for _, engine := range engines {
		software[engine.VM.ID] = engine.VM.Software
	}
	softwareOf := func(engine string) (string, bool) {
		version, listed := software[engine]
		return version, listed
	}
	memory := s.countMemory()
	isLoaded := func(job *Job) bool {
		known, checked := loaded[job]
		if !checked {
			known = slices.ContainsFunc(engines, func(e *Engine) bool { return e.eligible(job.Spec) })
			loaded[job] = known
		}
		return known
	}
	for i, task := range line.tasks {
		if task.Phase == Running {
			continue
		}
		task.addWait(isLoaded(task.Job), now)
		if task.Text.MayBeMixed(softwareOf) {
			task.DropText()
		}
		for task.Phase == Waiting && len(pool.open) > 0 {
			engine := placeTask(pool.withMemory(task, memory), task, median, now)
			if engine == nil {
				break
			}
			next := task
			if other := line.replacement(i, engine, pool, median, now); other != nil && memory.holds(engine, other) {
				next = other
				next.addWait(isLoaded(next.Job), now)
			}
			held, tokens := pool.recordPrompt(engine, next)
			launch := startTask(next, engine, now)
			launch.HeldTokens, launch.PromptTokens = held, tokens
			launch.Class, launch.Mixed = next.promptClass(s.LongPrompt), s.Split.Active()
			launches = append(launches, launch)
			memory.place(next)
			pool.update(engine, now)
		}
	}
	return launches
}

// addWait adds the time since the task was last planned to what it waited for.
func (t *Task) addWait(loaded bool, now time.Time) {
	if !t.plannedAt.IsZero() {
		if elapsed := now.Sub(t.plannedAt); loaded {
			t.waited.Busy += elapsed
		} else {
			t.waited.Unloaded += elapsed
		}
	}
	t.plannedAt = now
}

// sortBySlack sorts tasks by slack, and longer tasks first at equal slack. It returns their
// slacks in the same order.
func (s *Scheduler) sortBySlack(waiting []*Task, median time.Duration, now time.Time) []time.Duration {
	type keyed struct {
		task      *Task
		slack     time.Duration
		remaining int
	}
	keys := make([]keyed, len(waiting))
	for i, task := range waiting {
		keys[i] = keyed{task, s.slack(task, median, now), task.remainingEvents()}
	}
	slices.SortStableFunc(keys, func(a, b keyed) int {
		return cmp.Or(cmp.Compare(a.slack, b.slack), cmp.Compare(b.remaining, a.remaining))
	})
	slacks := make([]time.Duration, len(keys))
	for i, key := range keys {
		waiting[i], slacks[i] = key.task, key.slack
	}
	return slacks
}

// startTask marks a task as running on the engine.
func startTask(task *Task, engine *Engine, now time.Time) Launch {
	engine.Running++
	engine.Permits--
	task.Text.begin(engine.VM)
	task.Phase = Running
	task.Canceled = false
	task.Engine = engine.VM.ID
	task.StartedAt = now
	task.LastEventAt = now
	waited := task.waited
	task.waited, task.plannedAt = Wait{}, time.Time{}
	return Launch{Task: task, Engine: engine, Waited: waited}
}

// waitingTasks returns the tasks that may start now, in order of id.
func (s *Scheduler) waitingTasks(now time.Time) []*Task {
	var waiting []*Task
	for _, job := range s.Jobs {
		if !job.Open(now) {
			continue
		}
		for _, task := range job.Tasks {
			if task.Phase == Waiting && !now.Before(task.NotBefore) {
				waiting = append(waiting, task)
			}
		}
	}
	// Map iteration order is random; the plan must be deterministic at equal slack.
	slices.SortFunc(waiting, func(a, b *Task) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	return waiting
}

// slack returns the spare time until the task's job is due. Length hints are
// often far off, so a task without events is assumed to need at least a share
// of the longest recent task of its model.
func (s *Scheduler) slack(task *Task, median time.Duration, now time.Time) time.Duration {
	length := task.remainingEvents()
	if task.Text.Events.Len() == 0 {
		length = max(length, int(longestTaskShare*s.modelStats(task.Job.Spec.Model).longestTask))
	}
	left := task.Job.Spec.DueAt.Sub(now) - time.Duration(length)*median
	if task.Job.Satisfied() {
		left += satisfiedSlack
	}
	return left
}

// remainingEvents returns how many more events the task is expected to need.
// Lengths have a long tail: a task beyond its hint usually needs another 0.5 to 1.5
// times the events that it has generated. The lower end is used.
func (t *Task) remainingEvents() int {
	expected := defaultLength
	if t.Spec.LengthHint > 0 {
		expected = int(math.Ceil(float64(t.Spec.LengthHint) / t.Job.stats.eventTokens()))
	}
	generated := t.Text.Events.Len()
	return max(1, expected-generated, generated/2)
}

// placeTask returns the engine for a task, or nil if it should wait. A task with events
// goes on at an engine that its text fits. If there is none, or the wait for one takes
// longer than generating the events again, it starts over at another.
func placeTask(pool *candidates, task *Task, median time.Duration, now time.Time) *Engine {
	if task.Text.Events.Len() == 0 {
		return pool.choose(pool, task, median, now)
	}
	fitting := pool.fitting(&task.Text)
	engine := fitting.choose(fitting, task, median, now)
	if engine != nil || len(fitting.all) == len(pool.all) {
		return engine
	}
	expected := slices.ContainsFunc(fitting.all, func(e *Engine) bool { return e.eligible(task.Job.Spec) && !e.failing(now) })
	if expected && !task.soonRegenerated(median) && task.waited.Busy+task.waited.Unloaded < task.lostTime(median) {
		return nil
	}
	if engine = pool.choose(pool, task, median, now); engine != nil {
		task.DropText()
	}
	return engine
}

// lostTime is the time that the events of the task's text took to generate.
func (t *Task) lostTime(median time.Duration) time.Duration {
	return time.Duration(t.Text.Events.Len()) * median
}

// soonRegenerated reports whether starting over takes no longer than the expected wait
// for an engine that the text fits.
func (t *Task) soonRegenerated(median time.Duration) bool {
	return t.lostTime(median) <= expectedSlotWait
}

// chooseEngine returns the engine that is expected to finish the task first, or
// nil if the task should wait. A slow engine gets no task that would finish
// earlier after a wait for a faster one, unless that is held back after a failure.
//
// Load pattern: a fifth of the engines become several times slower in the middle
// of a step. A long task started there finishes late, although the other engines
// have free slots again shortly after.
func chooseEngine(pool *candidates, task *Task, median time.Duration, now time.Time) *Engine {
	var best *Engine
	var lowest time.Duration
	deferred := false
	class := task.promptClass(pool.longPrompt)
	for _, engine := range pool.open {
		if !engine.HasRoom(task.Job.Spec, now) || !pool.acceptsPrompt(engine, class) {
			continue
		}
		if pool.tooSlow(engine, task, median, now) {
			deferred = true
			continue
		}
		if cost := pool.cost(engine, task, class, now); best == nil || cost < lowest {
			best, lowest = engine, cost
		}
	}
	if best != nil || pool.willHaveRoom(task, median, now) {
		if best == nil && deferred {
			pool.deferred++
		}
		if best == nil {
			return nil
		}
		return pool.preferHolder(best, lowest, task, median, now)
	}
	return fastestWithRoom(pool.open, task, now)
}

// runCost returns the cost of a run of the task on the engine: the expected run time on an
// engine that reports its slowdown, and a figure that grows with it on others.
func runCost(engine *Engine, task *Task, now time.Time) time.Duration {
	cost := engine.timeOrDefault(now) * time.Duration(engine.Running+engine.VM.Slots)
	if engine.Slowdown > 0 {
		cost = cost*time.Duration(task.remainingEvents())/time.Duration(max(1, engine.VM.Slots)) + pace.Delay(engine.Slowdown, now.Sub(engine.SlowdownAt))
	}
	if engine.Versions[task.Job.Spec.Model] <= task.Job.Spec.MinVersion && task.remainingEvents() > longTaskEvents {
		cost += lastVersionCost
	}
	return cost
}

// oneRunCost returns how much one run more on the engine adds to runCost.
func oneRunCost(engine *Engine, task *Task, now time.Time) time.Duration {
	cost := engine.timeOrDefault(now)
	if engine.Slowdown > 0 {
		cost = cost * time.Duration(task.remainingEvents()) / time.Duration(max(1, engine.VM.Slots))
	}
	return cost
}

// tooSlow reports whether the engine is expected to finish the task later than an engine
// of median pace, including the wait for a slot there. The usual time of a noisy engine is
// known well enough to compare it as it is; the times of others vary.
func tooSlow(engine *Engine, task *Task, median, slotWait time.Duration, now time.Time) bool {
	return engine.mayBeTooSlow(median, now) && time.Duration(task.remainingEvents())*(engine.usualTime(now)-median) > slotWait
}

// mayBeTooSlow reports whether the engine is too slow for tasks that are long enough.
func (e *Engine) mayBeTooSlow(median time.Duration, now time.Time) bool {
	if e.Slowdown > 0 {
		return e.usualTime(now) > median
	}
	return e.EventTime > slowFactor*median
}

// eligible reports whether the engine can run the job's tasks once it has a free
// slot.
func (e *Engine) eligible(job *quetzalpier.Job) bool {
	return e.VM.State == quetzalpier.VMLive && e.Versions[job.Model] >= job.MinVersion
}

// fastestWithRoom returns the fastest engine that can run the task now, or nil.
func fastestWithRoom(engines []*Engine, task *Task, now time.Time) *Engine {
	var best *Engine
	for _, engine := range engines {
		if engine.HasRoom(task.Job.Spec, now) && (best == nil || engine.timeOrDefault(now) < best.timeOrDefault(now)) {
			best = engine
		}
	}
	return best
}

// medianPace returns the median of the known paces.
func medianPace(engines []*Engine, now time.Time) time.Duration {
	var paces []time.Duration
	for _, engine := range engines {
		if usual := engine.usualTime(now); usual > 0 {
			paces = append(paces, usual)
		}
	}
	if len(paces) == 0 {
		return defaultPace
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// TasksToMove returns the running tasks that should move to another engine,
// because their engine has become slow or sends no events. A run whose engine
// loads weights of its model stays, since the load explains the silence.
//
// Load pattern: a few engines take several times as long for each event, or stop
// responding, while others are idle.
func (s *Scheduler) TasksToMove(engines []*Engine, now time.Time) []*Task {
	byID := make(map[string]*Engine, len(engines))
	for _, engine := range engines {
		byID[engine.VM.ID] = engine
	}
	median := medianPace(engines, now)
	for _, engine := range engines {
		engine.observeSpell(median, now)
	}
	slow := slices.DeleteFunc(s.runningTasks(now), func(task *Task) bool {
		engine := byID[task.Engine]
		return engine == nil || engine.Loading == task.Job.Spec.Model || !worthMoving(task, engine, median, now)
	})
	if len(slow) == 0 {
		return nil
	}
	// Waiting tasks have priority for the free slots. Otherwise a canceled run
	// would lose the faster slot to one of them and start again on the same
	// engine.
	free := newFreeSlots(engines, median, now)
	for _, task := range s.waitingTasks(now) {
		free.reserve(nil, task, true, now)
	}
	var toMove []*Task
	for _, task := range slow {
		engine := byID[task.Engine]
		if isSilent(task, median, now) {
			engine.NotUntil = now.Add(silentPause)
		}
		if free.reserve(engine, task, true, now) || worthRestarting(task, engine, median, now) && free.reserve(engine, task, false, now) {
			toMove = append(toMove, task)
		}
	}
	return toMove
}

// runningTasks returns the running tasks whose results are still needed, those
// with the most remaining events first.
func (s *Scheduler) runningTasks(now time.Time) []*Task {
	var running []*Task
	for _, job := range s.Jobs {
		if !job.Open(now) || job.Satisfied() {
			continue
		}
		for _, task := range job.Tasks {
			if task.Phase == Running && !task.Canceled {
				running = append(running, task)
			}
		}
	}
	slices.SortFunc(running, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(b.remainingEvents(), a.remainingEvents()), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return running
}

// freeSlots counts the free slots of the engines that are not slow.
type freeSlots struct {
	engines []*Engine
	free    []int
	median  time.Duration
}

func newFreeSlots(engines []*Engine, median time.Duration, now time.Time) *freeSlots {
	f := &freeSlots{median: median}
	for _, engine := range engines {
		if engine.timeOrDefault(now) < slowFactor*median {
			free := engine.VM.Slots - engine.Running
			if engine.Limited {
				free = min(free, engine.Permits)
			}
			if free > 0 {
				f.engines, f.free = append(f.engines, engine), append(f.free, free)
			}
		}
	}
	return f
}

// reserve takes a free slot for a task on an engine other than from, which the task's
// text must fit if fitting is set. It reports whether there was one.
func (f *freeSlots) reserve(from *Engine, task *Task, fitting bool, now time.Time) bool {
	for i, engine := range f.engines {
		if engine != from && engine.HasRoom(task.Job.Spec, now) && !tooSlow(engine, task, f.median, expectedSlotWait, now) && (!fitting || task.Text.Fits(engine.VM)) {
			if f.free[i]--; f.free[i] == 0 {
				f.engines, f.free = slices.Delete(f.engines, i, i+1), slices.Delete(f.free, i, i+1)
			}
			return true
		}
	}
	return false
}

const (
	// moveCost is the time that a run loses by moving: the new engine processes the
	// prompt again.
	moveCost = 150 * time.Millisecond
	// maxSilentEvents is the multiple of the median time per event after which a
	// run without an event counts as silent.
	maxSilentEvents = 20
	// silentPause is how long an engine with a silent run gets no new runs.
	silentPause = 500 * time.Millisecond
	// slowFactor is the multiple of the median pace above which an engine counts
	// as slow.
	slowFactor = 2
)

// isSilent reports whether the run of a task has sent no event for too long, which is
// longer after runs that sent none: the engines may be slow.
func isSilent(task *Task, median time.Duration, now time.Time) bool {
	return now.Sub(task.LastEventAt) > (maxSilentEvents*median)<<min(task.SilentRuns, 4)
}

// worthMoving reports whether the task would finish earlier on an engine of
// median pace, including the cost of the move.
func worthMoving(task *Task, engine *Engine, median time.Duration, now time.Time) bool {
	if isSilent(task, median, now) {
		return true
	}
	if engine.Slowdown > 0 && tooSlow(engine, task, median, expectedSlotWait, now) {
		return true
	}
	if !engine.faulty(median, now) || now.Sub(task.StartedAt) < moveCost {
		return false
	}
	return time.Duration(task.remainingEvents())*(engine.EventTime-median) > 2*moveCost
}

// worthRestarting reports whether a task that should move would also finish earlier if it
// started over on an engine of median pace.
func worthRestarting(task *Task, engine *Engine, median time.Duration, now time.Time) bool {
	if !task.soonRegenerated(median) {
		return false
	}
	remaining := time.Duration(task.remainingEvents())
	return isSilent(task, median, now) || task.lostTime(median)+remaining*median+2*moveCost < remaining*engine.EventTime
}
