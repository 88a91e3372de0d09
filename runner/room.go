package runner

import (
	"context"
	"time"

	"quetzalpier"
	"quetzalpier/intake"
	"quetzalpier/platform"
	"quetzalpier/vault"
)

// The jobs of clients are accepted before their owner has room for them. Those that are stored as
// one value share a part of the memory. One that finds no room is left in the key-value service, and
// is read again once others have ended, in the order of arrival.

const (
	// taskBytes is what a task takes in memory besides its texts.
	taskBytes = 1 << 10
	// alwaysKept is the size up to which the values of jobs are kept in a read of all jobs: those
	// without tasks are smaller.
	alwaysKept = 1 << 10
	// maxKept limits the values that a read of all jobs keeps, which are held beside what is decoded
	// of them. The others are read one by one.
	maxKept = 8 << 20
	// unknownBytes is the room that is assumed for a job that has not been read yet.
	unknownBytes = 1 << 20
)

// room returns the memory for open jobs that are stored as one value.
func (r *Runner) room() *intake.Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobRoom == nil {
		r.jobRoom = &intake.Room{Limit: r.MaxJobBytes}
	}
	return r.jobRoom
}

// textRoom returns the memory for long texts that are being generated.
func (r *Runner) textRoom() *intake.Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.texts == nil {
		r.texts = &intake.Room{Limit: r.MaxTextBytes}
	}
	return r.texts
}

// reservation is the room of a job. opened is set once the scheduler has the job, or it turned out
// that it need not be opened.
type reservation struct {
	bytes  int
	opened bool
}

// waitingJob is a job that waits for room, of which nothing else is held.
type waitingJob struct {
	id        string
	bytes     int
	arrivedAt time.Time
}

// jobBytes returns the memory that an open job takes.
func jobBytes(job *quetzalpier.Job) int { return job.TaskBytes() + len(job.Tasks)*taskBytes }

// reserve takes room for a job that is to be opened, unless it is known already or has a bound of
// its own. If there is none, the job waits, and is not to be opened now.
func (p *poolRunner) reserve(job *quetzalpier.Job, mayHaveResults bool, now time.Time) bool {
	if job.Parts.Count > 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	if p.reserved[job.ID] != nil || p.knownJob(job) {
		return true
	}
	if known, waits := p.opening[job.ID]; waits {
		p.opening[job.ID] = known || mayHaveResults
		return false
	}
	bytes := jobBytes(job)
	if len(p.waiting) == 0 && p.runner.room().Take(bytes) {
		p.reserved[job.ID] = &reservation{bytes: bytes}
		return true
	}
	p.wait(waitingJob{job.ID, bytes, now}, mayHaveResults)
	return false
}

// wait makes a job wait for room. The caller holds the lock.
func (p *poolRunner) wait(job waitingJob, mayHaveResults bool) {
	if _, opening := p.opening[job.id]; opening || p.scheduler.Jobs[job.id] != nil {
		return
	}
	p.opening[job.id] = mayHaveResults
	p.waiting = append(p.waiting, job)
	p.runner.Meter.WaitingJobs.Inc()
	if len(p.waiting) == 1 {
		p.runner.Log.Warn().Str("pool", p.pool).Str("job", job.id).Int("bytes", job.bytes).Msg("jobs wait for room in memory")
	}
}

// markOpened records that a job was opened, or need not be. The caller holds the lock.
func (p *poolRunner) markOpened(id string) {
	if r := p.reserved[id]; r != nil {
		r.opened = true
	}
}

// releaseRooms gives back the room of the jobs that are no longer in memory. The caller holds the
// lock.
func (p *poolRunner) releaseRooms() {
	for id, r := range p.reserved {
		if r.opened && p.scheduler.Jobs[id] == nil {
			p.runner.room().Add(-r.bytes)
			delete(p.reserved, id)
		}
	}
}

// openWaiting opens the first job that waits for room, if there is some now. The caller holds the
// lock.
func (p *poolRunner) openWaiting() {
	for len(p.waiting) > 0 && !p.readingWaiting {
		next := p.waiting[0]
		if p.knownJob(&quetzalpier.Job{ID: next.id, SubmittedAt: next.arrivedAt}) {
			p.popWaiting()
			continue
		}
		if !p.runner.room().Take(next.bytes) {
			return
		}
		p.readingWaiting = true
		p.goroutines.Go(func() { p.openNext(next) })
	}
}

// popWaiting ends the wait of the first job. The caller holds the lock.
func (p *poolRunner) popWaiting() (mayHaveResults bool) {
	id := p.waiting[0].id
	mayHaveResults = p.opening[id]
	delete(p.opening, id)
	p.waiting = p.waiting[1:]
	p.runner.Meter.WaitingJobs.Dec()
	return mayHaveResults
}

// openNext reads the first job that waits, for which room was taken, and opens it.
func (p *poolRunner) openNext(next waitingJob) {
	job, err := p.readWaiting(next.id)
	now := time.Now()
	opens := err == nil && job != nil && p.applyRecord(job.ID, job.Pool, now)
	p.mu.Lock()
	p.readingWaiting = false
	p.runner.room().Add(-next.bytes)
	mayHaveResults := false
	if err == nil {
		mayHaveResults = p.popWaiting()
	}
	if opens && job.Parts.Count == 0 {
		// A job of which only the key was read may be larger than was assumed.
		bytes := jobBytes(job)
		p.runner.room().Add(bytes)
		p.reserved[next.id] = &reservation{bytes: bytes}
	}
	p.mu.Unlock()
	if err != nil {
		p.runner.Log.Warn().Str("job", next.id).Err(err).Msg("failed to read a job that waited for room")
		pauseKV(p.ctx, 1)
	}
	if opens {
		p.runner.Log.Info().Str("job", next.id).Dur("waited_ms", now.Sub(next.arrivedAt)).Msg("job has room in memory")
		p.openInBackground(job, mayHaveResults, now)
	}
	signal(p.wake)
}

// readWaiting reads a job that waited for room. It returns nil for one that is not stored: it was
// deleted, or the watch of jobs shows it once it is.
func (p *poolRunner) readWaiting(id string) (*quetzalpier.Job, error) {
	job, err := p.runner.Vault.Head(p.ctx, id)
	if err == nil && job != nil && job.Parts.Count > 0 {
		p.mu.Lock()
		p.parts[id] = job.Parts
		p.mu.Unlock()
	}
	return job, err
}

// jobsSource reads the jobs for a pool. A read of all jobs holds the values of as many as have room,
// and at most maxKept; others come without.
type jobsSource struct {
	quetzalpier.KV
	pool *poolRunner
}

// Range implements mirror.Source.
func (s jobsSource) Range(ctx context.Context, prefix string, stale bool) (quetzalpier.Changes, error) {
	held := 0
	return platform.ReadPages(func(after string) (quetzalpier.Changes, bool, error) {
		return s.KV.RangeFrom(ctx, prefix, after, stale)
	}, func(entries []quetzalpier.Entry) {
		s.pool.mu.Lock()
		defer s.pool.mu.Unlock()
		for i := range entries {
			size := len(entries[i].Value)
			_, ended := s.pool.endedJobs[vault.JobID(entries[i])]
			if size > alwaysKept && (ended || held+size > maxKept || !s.pool.runner.room().Fits(held+size)) {
				entries[i].Value = nil
				continue
			}
			held += size
		}
	})
}
