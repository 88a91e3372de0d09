package tasks

import "time"

// NaivePlan assigns waiting tasks in the order of submission, each to the first
// engine with a free slot. It is the baseline for measurements of Plan.
func (s *Scheduler) NaivePlan(engines []*Engine, now time.Time) []Launch {
	return s.PlanWith(Heuristics{}, engines, now)
}

// firstWithRoom returns the first engine that can run the task now.
func firstWithRoom(pool *candidates, task *Task, _ time.Duration, now time.Time) *Engine {
	for _, engine := range pool.open {
		if engine.HasRoom(task.Job.Spec, now) {
			return engine
		}
	}
	return nil
}
