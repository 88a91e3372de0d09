package tasks

import "time"

// NaivePlan pairs waiting tasks with engines in the order of submission, each
// with the first engine that has room. It is what Plan is measured against.
func (b *Book) NaivePlan(engines []*Engine, now time.Time) []Launch {
	return b.PlanBy(Ways{}, engines, now)
}

// naiveChoose returns the first engine that has room.
func naiveChoose(engines []*Engine, task *Task, _ time.Duration, now time.Time) *Engine {
	for _, engine := range engines {
		if engine.Room(task.Job.Spec, now) {
			return engine
		}
	}
	return nil
}
