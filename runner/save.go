package runner

import (
	"context"
	"time"

	"quetzalpier"
	"quetzalpier/sleep"
	"quetzalpier/tasks"
	"quetzalpier/vault"
)

const (
	// saveEvery is the time between two savings of what long tasks have made,
	// which bounds what a successor makes anew.
	saveEvery = 600 * time.Millisecond
	// saveLeast is how many events are worth saving: a third of a second's.
	saveLeast = 10
	// saveBytes bounds the texts in one transaction, and saveMost their number.
	saveBytes = 1 << 20
	saveMost  = 24
)

// saves stores what long tasks have made, until ctx ends.
func (t *term) saves(ctx context.Context) {
	for sleep.For(ctx, saveEvery) {
		t.save(ctx, saveLeast)
	}
}

func (t *term) save(ctx context.Context, least int) {
	now := time.Now()
	fence, ok := t.owned(now)
	if !ok {
		return
	}
	t.mu.Lock()
	var parts []vault.Part
	chosen := map[*tasks.Task]int{}
	size := 0
	for _, task := range t.book.Unsaved(least, saveMost, now) {
		if size += textSize(task.Text); size > saveBytes && len(parts) > 0 {
			break
		}
		parts = append(parts, vault.Part{
			Job: task.Job.Spec.ID, Task: task.Spec.ID,
			Events: task.Text.Events[:len(task.Text.Events):len(task.Text.Events)], Versions: append([]quetzalpier.Version(nil), task.Text.Versions...),
		})
		chosen[task] = len(task.Text.Events)
	}
	t.mu.Unlock()
	if len(parts) == 0 {
		return
	}
	if err := t.r.Vault.Save(ctx, t.pool, fence, parts); err != nil {
		t.r.Log.Warn().Str("pool", t.pool).Int("tasks", len(parts)).Err(err).Msg("parts not saved")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for task, events := range chosen {
		task.Saved = events
	}
}

func textSize(text tasks.Text) int {
	size := 0
	for _, event := range text.Events {
		size += len(event)
	}
	return size
}

// restore gives the tasks of a job what an earlier owner saved of them; the
// caller holds the lock.
func (t *term) restore(job *tasks.Job, parts []vault.Part) {
	byTask := make(map[string]vault.Part, len(parts))
	for _, part := range parts {
		byTask[part.Task] = part
	}
	for _, task := range job.Tasks {
		if part, ok := byTask[task.Spec.ID]; ok {
			t.book.Restore(task, tasks.Text{Events: part.Events, Versions: part.Versions})
		}
	}
}

// forgetParts removes what was saved of an ended job's tasks.
func (t *term) forgetParts(job *tasks.Job) {
	var saved []string
	for _, task := range job.Tasks {
		if task.Saved > 0 {
			saved = append(saved, task.Spec.ID)
		}
	}
	if len(saved) == 0 {
		return
	}
	id := job.Spec.ID
	t.jobs.Go(func() {
		if err := t.r.Vault.Forget(t.ctx, id, saved); err != nil {
			t.r.Log.Warn().Str("job", id).Err(err).Msg("parts not removed")
		}
	})
}
