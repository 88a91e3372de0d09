package tasks

import (
	"sort"
	"time"

	"quetzalpier"
)

const (
	// defaultLength is the number of events expected of a task that gives no
	// hint.
	defaultLength = 16
	// EventTokens is how many tokens an engine puts into one event.
	EventTokens = 46
	// defaultPace is the time of an event on an engine that has made none yet.
	defaultPace = 35 * time.Millisecond
	// paceWeight smooths an engine's pace.
	paceWeight = 0.1
	// slotWait is how long a slot of another engine is waited for: most tasks
	// last less than a second.
	slotWait = 800 * time.Millisecond
	// tailShare is the share of the longest task's length that any task of the
	// model is taken to have when work is ordered.
	tailShare = 0.5
	// longTask is from how many events on a task lasts for more than half of the
	// time between two steps, and lastUse the price of putting it on an engine
	// whose version the next step does not take: the run would keep the engine
	// from new weights.
	longTask = 60
	lastUse  = 300 * time.Millisecond
	// satisfiedSlack orders tasks of jobs that have all their trainer waits
	// for behind all others.
	satisfiedSlack = time.Minute
)

// Engine is what the planner knows of one engine.
type Engine struct {
	VM quetzalpier.VM
	// Running counts the runs on the engine.
	Running int
	// Pace is the moving average time of an event; zero while unknown.
	Pace time.Duration
	// Loading names the model whose weights are being changed; empty for none.
	Loading string
	// Versions are the weights by the latest evidence.
	Versions map[string]quetzalpier.Version
	// Failures in a row, and when the engine may be used again after them.
	Failures int
	NotUntil time.Time
}

// Note takes the time of one event into the engine's pace.
func (e *Engine) Note(took time.Duration) {
	if e.Pace == 0 {
		e.Pace = took
		return
	}
	e.Pace += time.Duration(paceWeight * float64(took-e.Pace))
}

func (e *Engine) pace() time.Duration {
	if e.Pace == 0 {
		return defaultPace
	}
	return e.Pace
}

// Room tells whether the engine may take a task of the job now.
func (e *Engine) Room(job *quetzalpier.Job, now time.Time) bool {
	if e.VM.State != quetzalpier.VMLive || now.Before(e.NotUntil) {
		return false
	}
	if e.Running >= e.VM.Slots || e.Loading == job.Model {
		return false
	}
	return e.Versions[job.Model] >= job.Floor
}

// Launch is a run to be started.
type Launch struct {
	Task   *Task
	Engine *Engine
}

// Plan pairs waiting tasks with engines, the tasks with the least slack first.
//
// Load pattern: all tasks of a step come at once and a few of them are many
// times as long as the rest, so that the step lasts as long as the longest
// begun late.
func (b *Book) Plan(engines []*Engine, now time.Time) []Launch {
	return b.PlanBy(Ways{Order: true, Place: true}, engines, now)
}

// Ways tells which of the planner's decisions are made; the others are made
// naively.
type Ways struct {
	// Order starts the tasks with the least slack first, instead of in the order
	// of submission.
	Order bool
	// Place looks for the engine that ends a task first, instead of the first
	// one with room.
	Place bool
}

// PlanBy is Plan with some decisions made naively, to measure what each adds.
func (b *Book) PlanBy(ways Ways, engines []*Engine, now time.Time) []Launch {
	waiting := b.waiting(now)
	if len(waiting) == 0 {
		return nil
	}
	pace := medianPace(engines)
	if ways.Order {
		b.order(waiting, pace, now)
	}
	place := choose
	if !ways.Place {
		place = naiveChoose
	}
	var launches []Launch
	for _, task := range waiting {
		engine := place(engines, task, pace, now)
		if engine == nil {
			continue
		}
		launches = append(launches, start(task, engine, now))
	}
	return launches
}

func (b *Book) order(waiting []*Task, pace time.Duration, now time.Time) {
	sort.SliceStable(waiting, func(i, j int) bool {
		if a, c := b.slack(waiting[i], pace, now), b.slack(waiting[j], pace, now); a != c {
			return a < c
		}
		return waiting[i].expected() > waiting[j].expected()
	})
}

func start(task *Task, engine *Engine, now time.Time) Launch {
	engine.Running++
	task.Phase = Running
	task.Cut = false
	task.Engine = engine.VM.ID
	task.Started = now
	task.Moved = now
	return Launch{task, engine}
}

func (b *Book) waiting(now time.Time) []*Task {
	var waiting []*Task
	for _, job := range b.Jobs {
		if !job.Open(now) {
			continue
		}
		for _, task := range job.Tasks {
			if task.Phase == Waiting && !now.Before(task.NotBefore) {
				waiting = append(waiting, task)
			}
		}
	}
	// Maps have no order; equal slack must give equal plans.
	sort.Slice(waiting, func(i, j int) bool { return waiting[i].Spec.ID < waiting[j].Spec.ID })
	return waiting
}

// slack is the time to spare until the task's job is due. Hints are often far
// off: a task of a model that has made long ones lately may be long as well.
func (b *Book) slack(task *Task, pace time.Duration, now time.Time) time.Duration {
	length := task.expected()
	if len(task.Text.Events) == 0 {
		length = max(length, int(tailShare*b.stats(task.Job.Spec.Model).longest))
	}
	left := task.Job.Spec.Due.Sub(now) - time.Duration(length)*pace
	if task.Job.Satisfied() {
		left += satisfiedSlack
	}
	return left
}

// expected is how many events the task is still expected to make. Lengths
// have a long tail: a task that outlasts its hint is likely to go on for as
// long as it has lasted, give or take a half.
func (t *Task) expected() int {
	length := defaultLength
	if t.Spec.Hint > 0 {
		length = (t.Spec.Hint + EventTokens - 1) / EventTokens
	}
	made := len(t.Text.Events)
	return max(1, length-made, made/2)
}

// choose returns the engine on which the task is expected to end first. A slow
// engine gets no task for which it is worth waiting for another one.
//
// Load pattern: a fifth of the engines turn several times slower in the middle
// of a step. A long task that is begun there is late, while the others have
// free slots again a moment later.
func choose(engines []*Engine, task *Task, pace time.Duration, now time.Time) *Engine {
	var best *Engine
	var least time.Duration
	wait := false
	for _, engine := range engines {
		if tooSlow(engine, task, pace) {
			continue
		}
		wait = wait || engine.usable(task.Job.Spec)
		if !engine.Room(task.Job.Spec, now) {
			continue
		}
		cost := engine.pace() * time.Duration(engine.Running+engine.VM.Slots)
		if engine.Versions[task.Job.Spec.Model] <= task.Job.Spec.Floor && task.expected() > longTask {
			cost += lastUse
		}
		if best == nil || cost < least {
			best, least = engine, cost
		}
	}
	if best != nil || wait {
		return best
	}
	return anyRoom(engines, task, now)
}

// tooSlow tells whether the engine would take longer for the task than another
// one and the wait for it.
func tooSlow(engine *Engine, task *Task, pace time.Duration) bool {
	return engine.Pace > slowFactor*pace && time.Duration(task.expected())*(engine.Pace-pace) > slotWait
}

// usable tells whether the engine will take the job's tasks once it has room.
func (e *Engine) usable(job *quetzalpier.Job) bool {
	return e.VM.State == quetzalpier.VMLive && e.Versions[job.Model] >= job.Floor
}

func anyRoom(engines []*Engine, task *Task, now time.Time) *Engine {
	var best *Engine
	for _, engine := range engines {
		if engine.Room(task.Job.Spec, now) && (best == nil || engine.pace() < best.pace()) {
			best = engine
		}
	}
	return best
}

func medianPace(engines []*Engine) time.Duration {
	var paces []time.Duration
	for _, engine := range engines {
		if engine.Pace > 0 {
			paces = append(paces, engine.Pace)
		}
	}
	if len(paces) == 0 {
		return defaultPace
	}
	sort.Slice(paces, func(i, j int) bool { return paces[i] < paces[j] })
	return paces[len(paces)/2]
}

// Stuck returns the running tasks that another engine would end well before
// the one that runs them does: their engine has become slow or silent.
//
// Load pattern: a few engines take several times as long for each event, or
// answer nothing more, while others are idle.
func (b *Book) Stuck(engines []*Engine, now time.Time) []*Task {
	byID := make(map[string]*Engine, len(engines))
	for _, engine := range engines {
		byID[engine.VM.ID] = engine
	}
	pace := medianPace(engines)
	// Tasks that wait come first: a run that gives its slot up for theirs would
	// be begun again where it was.
	rooms := newRooms(engines, pace)
	for _, task := range b.waiting(now) {
		rooms.take(nil, task.Job.Spec, now)
	}
	var stuck []*Task
	for _, task := range b.running(now) {
		engine := byID[task.Engine]
		if engine == nil || engine.Loading == task.Job.Spec.Model || !worthMoving(task, engine, pace, now) {
			continue
		}
		if silent(task, pace, now) {
			engine.NotUntil = now.Add(silentPause)
		}
		if rooms.take(engine, task.Job.Spec, now) {
			stuck = append(stuck, task)
		}
	}
	return stuck
}

// running returns the running tasks whose results are still wanted, those with
// the most left to do first.
func (b *Book) running(now time.Time) []*Task {
	var running []*Task
	for _, job := range b.Jobs {
		if !job.Open(now) || job.Satisfied() {
			continue
		}
		for _, task := range job.Tasks {
			if task.Phase == Running && !task.Cut {
				running = append(running, task)
			}
		}
	}
	sort.Slice(running, func(i, j int) bool {
		if left, other := running[i].expected(), running[j].expected(); left != other {
			return left > other
		}
		return running[i].Spec.ID < running[j].Spec.ID
	})
	return running
}

// rooms are the free slots of engines that are not slow.
type rooms struct {
	engines []*Engine
	free    []int
}

func newRooms(engines []*Engine, pace time.Duration) *rooms {
	r := &rooms{}
	for _, engine := range engines {
		if engine.pace() < slowFactor*pace {
			r.engines = append(r.engines, engine)
			r.free = append(r.free, engine.VM.Slots-engine.Running)
		}
	}
	return r
}

// take takes a free slot for a task of the job that runs on another engine.
func (r *rooms) take(from *Engine, job *quetzalpier.Job, now time.Time) bool {
	for i, engine := range r.engines {
		if engine != from && r.free[i] > 0 && engine.Room(job, now) {
			r.free[i]--
			return true
		}
	}
	return false
}

const (
	// moveCost is the time that a run loses by moving: the prompt is read anew.
	moveCost = 150 * time.Millisecond
	// silentEvents is how many events' time a run may be silent.
	silentEvents = 20
	// silentPause is how long an engine with a silent run gets no new one.
	silentPause = 500 * time.Millisecond
	// slowFactor is how much slower than the median an engine must be for its
	// runs to move.
	slowFactor = 2
)

func silent(task *Task, pace time.Duration, now time.Time) bool {
	return now.Sub(task.Moved) > silentEvents*pace
}

// worthMoving tells whether the task would end sooner on an engine of the
// median pace.
func worthMoving(task *Task, engine *Engine, pace time.Duration, now time.Time) bool {
	if silent(task, pace, now) {
		return true
	}
	if engine.Pace <= slowFactor*pace || now.Sub(task.Started) < moveCost {
		return false
	}
	return time.Duration(task.expected())*(engine.Pace-pace) > 2*moveCost
}
