package tasks

import (
	"slices"
	"time"

	"quetzalpier"
)

// candidates are the engines that a round of placement chooses from. Most rounds of a
// loaded pool find few engines with room, so that only those are compared for each task.
//
// Load pattern: a thousand tasks wait for the slots that free up one by one.
type candidates struct {
	// choose is the heuristic that selects an engine.
	choose func(pool *candidates, task *Task, median time.Duration, now time.Time) *Engine
	all    []*Engine
	// open are the engines that can accept a run of some job now.
	open []*Engine
	// steady holds, by job, whether an engine that is not slow can run its tasks once it
	// has room.
	steady map[*quetzalpier.Job]bool
	// slots is the number of slots of engines that report their slowdown, and deferred how
	// many tasks wait for a faster one of these.
	slots    int
	deferred int
	// reuse prefers engines that hold the prompt of a task, and holding holds these engines
	// by prompt, as far as they were asked for.
	reuse   bool
	holding map[*prompt][]*Engine
}

func newCandidates(engines []*Engine, now time.Time) *candidates {
	pool := &candidates{choose: chooseEngine, all: engines, steady: map[*quetzalpier.Job]bool{}, holding: map[*prompt][]*Engine{}}
	for _, engine := range engines {
		if engine.Slowdown > 0 {
			pool.slots += engine.VM.Slots
		}
		if engine.accepts(now) {
			pool.open = append(pool.open, engine)
		}
	}
	return pool
}

// update removes an engine that got its last run for now.
func (c *candidates) update(engine *Engine, now time.Time) {
	if !engine.accepts(now) {
		c.open = slices.DeleteFunc(c.open, func(e *Engine) bool { return e == engine })
	}
}

// fitting returns the candidates that a text fits.
func (c *candidates) fitting(text *Text) *candidates {
	unfit := func(e *Engine) bool { return !text.Fits(e.VM) }
	if !slices.ContainsFunc(c.all, unfit) {
		return c
	}
	return &candidates{
		choose: c.choose, steady: map[*quetzalpier.Job]bool{}, slots: c.slots, reuse: c.reuse, holding: map[*prompt][]*Engine{},
		all: slices.DeleteFunc(slices.Clone(c.all), unfit), open: slices.DeleteFunc(slices.Clone(c.open), unfit),
	}
}

// tooSlow reports whether the engine is too slow for the task. The wait for a faster noisy
// one grows with the tasks that wait already.
//
// Load pattern: engines differ in speed by a factor of two, and a step has more tasks than
// there are slots. If all long ones waited for the fast engines, the slow ones would idle.
func (c *candidates) tooSlow(engine *Engine, task *Task, median time.Duration, now time.Time) bool {
	wait := expectedSlotWait
	if engine.Slowdown > 0 {
		wait += wait * time.Duration(c.deferred) / time.Duration(max(1, c.slots))
	}
	return tooSlow(engine, task, median, wait, now)
}

// willHaveRoom reports whether an engine that is not too slow for the task can run it once
// it has room.
func (c *candidates) willHaveRoom(task *Task, median time.Duration, now time.Time) bool {
	job := task.Job.Spec
	steady, known := c.steady[job]
	if !known {
		steady = slices.ContainsFunc(c.all, func(e *Engine) bool {
			return !e.mayBeTooSlow(median, now) && e.eligible(job) && !e.failing(now)
		})
		c.steady[job] = steady
	}
	return steady || slices.ContainsFunc(c.all, func(e *Engine) bool {
		return !c.tooSlow(e, task, median, now) && e.eligible(job) && !e.failing(now)
	})
}
