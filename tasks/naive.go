package tasks

import "time"

// NaivePlan pairs waiting tasks with engines in the order of submission, each
// with the first engine that has room. It is what Plan is measured against.
func (b *Book) NaivePlan(engines []*Engine, now time.Time) []Launch {
	var launches []Launch
	for _, task := range b.waiting(now) {
		for _, engine := range engines {
			if engine.Room(task.Job.Spec, now) {
				launches = append(launches, start(task, engine, now))
				break
			}
		}
	}
	return launches
}
