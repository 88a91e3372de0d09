package tasks

import "time"

const (
	// evacuateMargin is how long before an engine leaves its last runs move: the text goes on
	// elsewhere, while a run that breaks off counts as a failure of the engine.
	evacuateMargin = 300 * time.Millisecond
	// finishMargin is the time that a run must have to spare to stay.
	finishMargin = 200 * time.Millisecond
)

// TasksToEvacuate returns the running tasks that should move to another engine, because their
// engine leaves before they are expected to finish. leavesAt holds when engines leave, by ID;
// runs stay on leaving engines without a time. A run moves as soon as another engine has room
// that no waiting task needs, and shortly before its engine leaves in any case.
//
// Load pattern: all spot engines of a failure domain leave within 2 s, full of runs, while the
// others have little room.
func (s *Scheduler) TasksToEvacuate(engines []*Engine, leavesAt map[string]time.Time, now time.Time) []*Task {
	leaving := map[string]*Engine{}
	for _, engine := range engines {
		if _, known := leavesAt[engine.VM.ID]; known {
			leaving[engine.VM.ID] = engine
		}
	}
	if len(leaving) == 0 {
		return nil
	}
	pace := medianPace(engines, now)
	free := newFreeSlots(engines, pace, now)
	for _, task := range s.waitingTasks(now) {
		free.reserve(nil, task, true, now)
	}
	var toMove []*Task
	for _, task := range s.runningTasks(now) {
		engine := leaving[task.Engine]
		if engine == nil {
			continue
		}
		left := leavesAt[task.Engine].Sub(now)
		if time.Duration(task.remainingEvents())*engine.timeOrDefault(now)+finishMargin <= left {
			continue
		}
		if left <= evacuateMargin || free.reserve(engine, task, true, now) {
			toMove = append(toMove, task)
		}
	}
	return toMove
}
