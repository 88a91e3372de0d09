package runner

import (
	"context"
	"slices"
	"time"

	"quetzalpier"
	"quetzalpier/sleep"
	"quetzalpier/tasks"
	"quetzalpier/vault"
)

const (
	// saveInterval is the time between two saves of the partial texts of long
	// tasks. It bounds how much the next owner has to generate again.
	saveInterval = 600 * time.Millisecond
	// minSaveEvents is how many new events make a task worth saving. An engine
	// generates them in a third of a second.
	minSaveEvents = 10
	// maxSaveBytes limits the texts in one transaction, and maxSaveTasks their
	// number. A longer text is not saved: a value of the key-value service can't hold it.
	maxSaveBytes = 1008 << 10
	maxSaveTasks = 24
)

// saveLoop saves the partial texts of long tasks until ctx ends.
func (p *poolRunner) saveLoop(ctx context.Context) {
	for sleep.For(ctx, saveInterval) {
		p.saveParts(ctx, minSaveEvents)
	}
}

func (p *poolRunner) saveParts(ctx context.Context, minEvents int) {
	now := time.Now()
	fence, ok := p.validFence(now)
	if !ok {
		return
	}
	p.mu.Lock()
	var parts []vault.Part
	saved := map[*tasks.Task]tasks.Text{}
	size := 0
	for _, task := range p.scheduler.Unsaved(minEvents, maxSaveTasks, now) {
		if !p.recorded[task.Job.Spec.ID] {
			continue
		}
		// An event takes three bytes more in a value.
		bytes := task.Text.Events.Bytes() + 2*task.Text.Events.Len()
		if bytes > maxSaveBytes {
			continue
		}
		if size += bytes; size > maxSaveBytes {
			break
		}
		text := task.Text
		text.Versions = slices.Clone(text.Versions)
		parts = append(parts, vault.Part{Job: task.Job.Spec.ID, Task: task.Spec.ID, Partial: quetzalpier.Partial{
			Events: text.Events.List(), Versions: text.Versions, Software: text.Software, Processes: slices.Clone(text.Processes),
		}})
		saved[task] = text
	}
	p.mu.Unlock()
	if len(parts) == 0 {
		return
	}
	if err := p.runner.Vault.SaveParts(ctx, p.pool, fence, parts); err != nil {
		p.runner.Log.Warn().Str("pool", p.pool).Int("tasks", len(parts)).Err(err).Msg("failed to save partial texts")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for task, text := range saved {
		task.MarkSaved(text)
	}
}

// restoreParts sets the texts of a job's tasks to what an earlier owner saved,
// where the scheduler can still use it. The caller holds the lock.
func (p *poolRunner) restoreParts(job *tasks.Job, parts []vault.Part) {
	byTask := make(map[string]vault.Part, len(parts))
	for _, part := range parts {
		byTask[part.Task] = part
	}
	for _, task := range job.Tasks {
		if part, ok := byTask[task.Spec.ID]; ok {
			p.scheduler.Restore(task, tasks.Text{Events: tasks.NewEvents(part.Events...), Versions: part.Versions, Software: part.Software, Processes: part.Processes})
		}
	}
}

// deleteParts deletes the saved partial texts of an ended job.
func (p *poolRunner) deleteParts(job *tasks.Job) {
	var saved []string
	for _, task := range job.Tasks {
		if task.Saved {
			saved = append(saved, task.Spec.ID)
		}
	}
	if len(saved) == 0 {
		return
	}
	id := job.Spec.ID
	p.goroutines.Go(func() {
		if err := p.runner.Vault.DeleteParts(p.ctx, id, saved); err != nil {
			p.runner.Log.Warn().Str("job", id).Err(err).Msg("failed to delete partial texts")
		}
	})
}
