package tasks

import (
	"time"

	"quetzalpier"
	"quetzalpier/pace"
)

// promptClass returns the class of the task's prompt.
func (t *Task) promptClass(long int) string {
	if t.prompt == nil {
		return pace.ShortPrompt
	}
	return pace.PromptClass(t.prompt.tokens, long)
}

// splitEngines divides the live engines by the open tasks with long and short prompts. Each
// job with long ones has its part of the engines with weights that suit it.
func (s *Scheduler) splitEngines(engines []*Engine, now time.Time) pace.Split {
	if s.LongPrompt == 0 {
		return pace.Split{}
	}
	long, short := 0.0, 0.0
	var longJobs []*quetzalpier.Job
	for _, job := range s.Jobs {
		if !job.Open(now) {
			continue
		}
		before := long
		for _, task := range job.Tasks {
			switch {
			case task.Phase != Waiting && task.Phase != Running:
			case task.promptClass(s.LongPrompt) == pace.LongPrompt:
				long++
			default:
				short++
			}
		}
		if long > before {
			longJobs = append(longJobs, job.Spec)
		}
	}
	if long == 0 || short == 0 {
		return pace.Split{}
	}
	split, live := pace.Split{}, 0
	for _, engine := range engines {
		if engine.VM.State == quetzalpier.VMLive {
			live++
		}
	}
	for _, job := range longJobs {
		var ids []string
		for _, engine := range engines {
			if engine.eligible(job) {
				ids = append(ids, engine.VM.ID)
			}
		}
		for id := range pace.SplitEngines(long, short, ids).Long {
			if split.Long == nil {
				split.Long = map[string]bool{}
			}
			split.Long[id] = true
		}
	}
	split.Sole = len(split.Long) == live
	return split
}

// acceptsPrompt reports whether the engine may get a prompt of the class now.
func (c *candidates) acceptsPrompt(engine *Engine, class string) bool {
	return !c.split.Active() || c.split.Accepts(engine.VM.ID, class, engine.Running, engine.VM.Slots)
}

// cost returns the cost of a run of a task with a prompt of the class on the engine. An
// engine that is preferred by the other class costs more than one without a free slot.
func (c *candidates) cost(engine *Engine, task *Task, class string, now time.Time) time.Duration {
	cost := runCost(engine, task, now)
	if c.split.Active() && !c.split.Prefers(engine.VM.ID, class) {
		cost += oneRunCost(engine, task, now) * time.Duration(engine.VM.Slots)
	}
	return cost
}
