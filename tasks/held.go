package tasks

import (
	"strings"
	"time"

	"quetzalpier"
	"quetzalpier/hash"
)

const (
	// prefillRate is the number of prompt tokens that an engine processes per millisecond,
	// the lowest of those known (340 to 749).
	prefillRate = 340
	// heldCapacity is the number of prompt tokens that an engine is assumed to hold: the
	// prompts of some steps of all trainers. An engine may hold fewer, which costs a prefill.
	heldCapacity = 32768
	// reuseSlack is the difference in slack up to which a task whose prompt an engine holds
	// goes before a more urgent one: slack is known no better than to a few events.
	reuseSlack = 100 * time.Millisecond
)

// partKey identifies a part of a prompt, as processed by a model. Two parts with the same
// hash would cost a prefill.
type partKey uint64

// keysOf returns the keys of the parts of a prompt.
func keysOf(model string, prompt []quetzalpier.PromptPart) []partKey {
	keys := make([]partKey, 0, len(prompt))
	for _, part := range prompt {
		keys = append(keys, partKey(hash.Pair(hash.Text(model), part.ID)))
	}
	return keys
}

type heldPart struct {
	version quetzalpier.Version
	tokens  int
	usedAt  uint64
}

// Held is an estimate of which parts of prompts an engine holds, with the weight versions
// that processed them. A part is held from the start of a run on.
type Held struct {
	parts  map[partKey]heldPart
	tokens int
	uses   uint64
}

// Tokens returns how many tokens at the beginning of a prompt the engine holds for a model
// and version.
func (h *Held) Tokens(model string, version quetzalpier.Version, prompt []quetzalpier.PromptPart) int {
	return h.leading(keysOf(model, prompt), version)
}

func (h *Held) leading(keys []partKey, version quetzalpier.Version) int {
	tokens := 0
	for _, key := range keys {
		held, found := h.parts[key]
		if !found || held.version != version {
			return tokens
		}
		tokens += held.tokens
	}
	return tokens
}

// Add records that the engine processes a prompt, and drops the least recently used parts
// beyond heldCapacity.
func (h *Held) Add(model string, version quetzalpier.Version, prompt []quetzalpier.PromptPart) {
	h.add(keysOf(model, prompt), version, prompt)
}

func (h *Held) add(keys []partKey, version quetzalpier.Version, prompt []quetzalpier.PromptPart) {
	if h.parts == nil {
		h.parts = map[partKey]heldPart{}
	}
	for i, key := range keys {
		h.uses++
		h.tokens += prompt[i].Tokens - h.parts[key].tokens
		h.parts[key] = heldPart{version, prompt[i].Tokens, h.uses}
	}
	for h.tokens > heldCapacity && len(h.parts) > 1 {
		var oldest partKey
		first := h.uses + 1
		for key, part := range h.parts {
			if part.usedAt < first {
				oldest, first = key, part.usedAt
			}
		}
		h.tokens -= h.parts[oldest].tokens
		delete(h.parts, oldest)
	}
}

// prompt is the prompt that the tasks of a group share.
type prompt struct {
	parts  []quetzalpier.PromptPart
	keys   []partKey
	tokens int
}

// internPrompt returns the shared prompt of a task, one for all tasks of the job with the
// same parts; nil if the task names none.
func internPrompt(known map[string]*prompt, spec *quetzalpier.Task, model string) *prompt {
	if len(spec.Prompt) == 0 {
		return nil
	}
	var name strings.Builder
	for _, part := range spec.Prompt {
		name.WriteString(part.ID)
		name.WriteByte(',')
	}
	found := known[name.String()]
	if found == nil {
		found = &prompt{parts: spec.Prompt, keys: keysOf(model, spec.Prompt)}
		for _, part := range spec.Prompt {
			found.tokens += part.Tokens
		}
		known[name.String()] = found
	}
	return found
}

// last returns the key of the last part.
func (p *prompt) last() partKey { return p.keys[len(p.keys)-1] }

// holds reports whether the engine holds the whole prompt of a task.
func (e *Engine) holds(task *Task) bool {
	return len(e.Held.parts) > 0 && e.Held.leading(task.prompt.keys, e.Versions[task.Job.Spec.Model]) == task.prompt.tokens
}

// holders returns the engines that hold the prompt of a task and may have room for it.
func (c *candidates) holders(task *Task) []*Engine {
	engines, known := c.holding[task.prompt]
	if !known {
		for _, engine := range c.open {
			if engine.holds(task) {
				engines = append(engines, engine)
			}
		}
		c.holding[task.prompt] = engines
	}
	return engines
}

// preferHolder returns an engine that holds the task's prompt, if the run ends there no
// later than on the best other engine, counting the prefill, which delays all runs of an
// engine. One run more than there is below the error of the estimate. Otherwise it returns
// the best other engine.
//
// Load pattern: all tasks of a step are submitted at once, in groups of 8 or 16 that share a
// prompt. Spread over all engines, each of them processes the prompt again.
func (c *candidates) preferHolder(best *Engine, lowest time.Duration, task *Task, median time.Duration, now time.Time) *Engine {
	if !c.reuse || task.prompt == nil {
		return best
	}
	class := task.promptClass(c.longPrompt)
	prefill := time.Duration(task.prompt.tokens) * time.Millisecond / prefillRate
	limit := lowest + prefill*time.Duration(best.Running+1) + oneRunCost(best, task, now)
	for _, engine := range c.holders(task) {
		if !engine.HasRoom(task.Job.Spec, now) || c.tooSlow(engine, task, median, now) || !c.acceptsPrompt(engine, class) {
			continue
		}
		if cost := c.cost(engine, task, class, now); cost <= limit {
			best, limit = engine, cost-1
		}
	}
	return best
}

// recordPrompt records that an engine processes the prompt of a task. It returns how many
// of its tokens the engine held before.
func (c *candidates) recordPrompt(engine *Engine, task *Task) (held, tokens int) {
	if task.prompt == nil {
		return 0, 0
	}
	version := engine.Versions[task.Job.Spec.Model]
	held = engine.Held.leading(task.prompt.keys, version)
	holders, known := c.holding[task.prompt]
	if known && held < task.prompt.tokens {
		c.holding[task.prompt] = append(holders, engine)
	}
	engine.Held.add(task.prompt.keys, version, task.prompt.parts)
	return held, task.prompt.tokens
}

// queue is the waiting tasks in the order in which they are placed.
type queue struct {
	tasks []*Task
	// slacks holds the slack of each task; nil if the order has no regard to it.
	slacks []time.Duration
	// byPrompt holds the positions of the tasks by the last part of their prompt, in order.
	byPrompt map[partKey][]int
}

// index returns the positions of the waiting tasks with a prompt.
func (q *queue) index() map[partKey][]int {
	if q.byPrompt == nil {
		q.byPrompt = map[partKey][]int{}
		for i, task := range q.tasks {
			if task.prompt != nil {
				q.byPrompt[task.prompt.last()] = append(q.byPrompt[task.prompt.last()], i)
			}
		}
	}
	return q.byPrompt
}

// replacement returns a waiting task whose prompt the engine holds, with about the same slack
// as the task at position i, whose prompt it does not hold; nil if there is none.
//
// Load pattern: the slots of a loaded pool free up one by one, and the next task in order
// seldom has its prompt on the engine of the next free slot.
func (q *queue) replacement(i int, engine *Engine, pool *candidates, median time.Duration, now time.Time) *Task {
	task := q.tasks[i]
	if !pool.reuse || q.slacks == nil || task.prompt == nil || len(engine.Held.parts) == 0 || engine.holds(task) {
		return nil
	}
	first := len(q.tasks)
	for key := range engine.Held.parts {
		for _, n := range q.index()[key] {
			other := q.tasks[n]
			if n >= first || q.slacks[n] > q.slacks[i]+reuseSlack {
				break
			}
			if n > i && other.Phase == Waiting && other.Text.Events.Len() == 0 && engine.holds(other) &&
				engine.HasRoom(other.Job.Spec, now) && !pool.tooSlow(engine, other, median, now) &&
				other.promptClass(pool.longPrompt) == task.promptClass(pool.longPrompt) {
				first = n
				break
			}
		}
	}
	if first == len(q.tasks) {
		return nil
	}
	return q.tasks[first]
}
