package tasks

import "slices"

// memoryReserve is the share of an engine's memory that is kept free for runs that this
// node does not know: streams of clients, and runs that an earlier owner of the pool left.
const memoryReserve = 0.05

// memory counts the tokens of the runs that are placed on each engine, of which an engine
// holds capacity at most; zero means no bound.
//
// Load pattern: long prompts take every slot of an engine. It crashes if the tokens of its
// requests exceed its memory, and takes all of them with it.
type memory struct {
	capacity int
	placed   map[string]int
}

// countMemory counts the tokens of all runs, also of those that are being canceled.
func (s *Scheduler) countMemory() *memory {
	m := &memory{capacity: s.MemoryTokens, placed: map[string]int{}}
	if m.capacity <= 0 {
		return m
	}
	for _, job := range s.Jobs {
		for _, task := range job.Tasks {
			if task.Phase == Running {
				m.place(task)
			}
		}
	}
	return m
}

// place counts a task that runs on its engine.
func (m *memory) place(task *Task) { m.placed[task.Engine] += task.Spec.MaxTokens }

// holds reports whether an engine has memory for a task. One that needs the reserve as well
// gets an engine for itself.
func (m *memory) holds(engine *Engine, task *Task) bool {
	if m.capacity <= 0 {
		return true
	}
	placed := m.placed[engine.VM.ID]
	if placed == 0 {
		return task.Spec.MaxTokens <= m.capacity
	}
	return float64(placed+task.Spec.MaxTokens) <= (1-memoryReserve)*float64(m.capacity)
}

// withMemory returns the candidates of which those that are open have memory for a task.
func (c *candidates) withMemory(task *Task, m *memory) *candidates {
	full := func(e *Engine) bool { return !m.holds(e, task) }
	if !slices.ContainsFunc(c.open, full) {
		return c
	}
	narrowed := *c
	narrowed.open = slices.DeleteFunc(slices.Clone(c.open), full)
	return &narrowed
}
