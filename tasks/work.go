package tasks

import (
	"time"

	"quetzalpier"
	"quetzalpier/sizing"
)

// Work returns the remaining work of the open jobs that are not satisfied, and what the
// engines do.
func (s *Scheduler) Work(engines []*Engine, now time.Time) sizing.Work {
	pace := medianPace(engines, now)
	work := sizing.Work{Waiting: len(s.waitingTasks(now))}
	for _, engine := range engines {
		if engine.VM.State == quetzalpier.VMLive {
			work.Running += engine.Running
			work.Free += max(0, engine.VM.Slots-engine.Running)
		}
	}
	for _, job := range s.Jobs {
		if !job.Open(now) || job.Satisfied() {
			continue
		}
		step := sizing.Step{DueAt: job.Spec.DueAt}
		for _, task := range job.Tasks {
			if task.Phase != Waiting && task.Phase != Running {
				continue
			}
			length := time.Duration(task.remainingEvents()) * pace
			step.Work, step.Longest, step.Tasks = step.Work+length, max(step.Longest, length), step.Tasks+1
		}
		if step.Tasks > 0 {
			work.Steps = append(work.Steps, step)
		}
	}
	return work
}
