package runner

import (
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/sleep"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

// loadInterval is how often a job that waits for room looks whether there is some.
const loadInterval = 100 * time.Millisecond

// noteParts remembers how the tasks of a job are stored, until the job is deleted.
func (p *poolRunner) noteParts(id string, entry quetzalpier.Entry) {
	if entry.Deleted {
		return
	}
	if parts := wire.DecodeParts(entry.Value); parts.Count > 0 {
		p.mu.Lock()
		p.parts[id] = parts
		p.mu.Unlock()
	}
}

// load returns a job with its tasks. Those that are stored in parts are read one job after the
// other, once the tasks of other such jobs leave room. It returns nil if the job need not be
// opened any more. The caller must call release once it has opened the job.
func (p *poolRunner) load(job *quetzalpier.Job) (loaded *quetzalpier.Job, release func()) {
	if job.Loaded() {
		return job, func() {}
	}
	r := p.runner
	select {
	case r.loadSlot() <- struct{}{}:
	case <-p.ctx.Done():
		return nil, nil
	}
	release = func() { <-r.loadSlot() }
	waitedAt := time.Now()
	for !r.hasRoom(job.Parts.Bytes+job.Parts.Tasks*taskBytes) && !p.isKnown(job) {
		if !sleep.For(p.ctx, loadInterval) {
			release()
			return nil, nil
		}
	}
	for failures := 1; p.ctx.Err() == nil && !p.isKnown(job); failures++ {
		loaded, err := r.Vault.Load(p.ctx, job)
		var missing *vault.MissingPartError
		if err == nil {
			r.Log.Info().Str("job", job.ID).Int("bytes", job.Parts.Bytes).Int("parts", job.Parts.Count).Dur("took_ms", time.Since(waitedAt)).Msg("tasks of a large job loaded")
			return loaded, release
		}
		r.Log.Warn().Str("job", job.ID).Err(err).Msg("failed to read the tasks of a job")
		if errors.As(err, &missing) {
			// The job was deleted meanwhile.
			break
		}
		pauseKV(p.ctx, failures)
	}
	release()
	return nil, nil
}

func (p *poolRunner) isKnown(job *quetzalpier.Job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.knownJob(job)
}

// loadSlot returns the channel that a job occupies while it is loaded.
func (r *Runner) loadSlot() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loading == nil {
		r.loading = make(chan struct{}, 1)
	}
	return r.loading
}

// hasRoom reports whether a large job fits beside the others, which one always does.
func (r *Runner) hasRoom(bytes int) bool {
	loaded := 0
	for _, p := range r.activeRunners() {
		p.mu.Lock()
		for _, job := range p.scheduler.Jobs {
			if job.Spec.Parts.Count > 0 {
				loaded += jobBytes(job.Spec)
			}
		}
		p.mu.Unlock()
	}
	return loaded == 0 || loaded+bytes <= r.MaxLargeBytes
}
