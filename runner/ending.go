package runner

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/tasks"
)

const (
	// unreadEndsWait is how long an owner that can't read the ends keeps jobs back while the
	// key-value service fails it: about as long as its lease, after which another node that
	// reads the ends takes over, unless the service fails all nodes.
	unreadEndsWait = 1200 * time.Millisecond
	// maxEndsAge is how old the last answer about ends may be when a run or reward call is
	// sent: more than a watch takes, and less than the users' three seconds by the way to the
	// upstream.
	maxEndsAge = 2200 * time.Millisecond
	// keptBackLogInterval is the time between two lines about work that is kept back.
	keptBackLogInterval = time.Second
	// endsRetryDelay is the delay before a task is started again that was kept back.
	endsRetryDelay = 50 * time.Millisecond
)

// staleEndsError reports that a run or reward call was not sent, since its job may have ended
// without this node's knowledge.
type staleEndsError struct {
	Job string
	// Age is how long ago the ends were known to be current.
	Age time.Duration
}

// Error implements error.
func (e *staleEndsError) Error() string {
	return "job " + e.Job + " may have ended: the ends of jobs are not known for the last " + e.Age.String()
}

// endSource is how a node learned of the end of a job.
type endSource string

// The sources of ends: a front's notice, a watch of the ends, and a read of all ends.
const (
	sourceNotice endSource = "notice"
	sourceWatch  endSource = "watch"
	sourceRead   endSource = "read"
)

// end is what a node learns of the end of a job. At is when its front began to store it, by
// the clock of the front; zero if that is not known.
type end struct {
	At     time.Time
	Source endSource
}

// lag returns how long ago the end was stored. It returns false if that is not known.
func (e end) lag(now time.Time) (time.Duration, bool) { return now.Sub(e.At), !e.At.IsZero() }

// endsSource reads the ends of jobs for a pool, and reports failed reads to it.
type endsSource struct{ pool *poolRunner }

// Range implements mirror.Source.
func (s endsSource) Range(ctx context.Context, prefix string, stale bool) (quetzalpier.Changes, error) {
	found, err := s.pool.runner.KV.Range(ctx, prefix, stale)
	if err != nil && ctx.Err() == nil {
		s.pool.failEndsRead(s.pool.runner.KVFailed(), time.Now())
	}
	return found, err
}

// WatchPrefix implements mirror.Source.
func (s endsSource) WatchPrefix(ctx context.Context, prefix string, rev uint64, wait time.Duration) (quetzalpier.Changes, error) {
	return s.pool.runner.KV.WatchPrefix(ctx, prefix, rev, wait)
}

// checkEnds returns an error if a job may have ended too long ago without this node's
// knowledge to start its work. In an outage of the key-value service, which nobody can end a
// job in either, work goes on.
//
// Load pattern: an owner has so much to do, or waits so long for the service, that it learns
// late of ends and of the node that took its pool over.
func (p *poolRunner) checkEnds(job *quetzalpier.Job, now time.Time) error {
	ends := p.ends.State()
	age := now.Sub(ends.LastContact)
	outage := ends.Failing && p.runner.KVFailed()
	if age <= maxEndsAge || outage {
		return nil
	}
	if last := p.keptBackLoggedAt.Load(); now.UnixNano()-last >= int64(keptBackLogInterval) && p.keptBackLoggedAt.CompareAndSwap(last, now.UnixNano()) {
		p.runner.Log.Warn().Str("pool", p.pool).Str("job", job.ID).Time("current", ends.LastContact).Msg("work is kept back, since ends of jobs may be unknown")
	}
	return &staleEndsError{Job: job.ID, Age: age}
}

// hold keeps back a job from another node, which may have ended, if the ends have not been
// read yet. It reports whether it does. The time of its submission shows nothing: clients
// submit jobs again.
func (p *poolRunner) hold(job *quetzalpier.Job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.released {
		return false
	}
	p.held[job.ID] = job
	return true
}

// releaseHeld opens the jobs that were kept back. An earlier owner may have stored results of
// them; mayRead is set if these can be read.
func (p *poolRunner) releaseHeld(mayRead bool, now time.Time) {
	p.mu.Lock()
	held := p.held
	p.released, p.held = true, nil
	p.mu.Unlock()
	for _, job := range held {
		p.runner.Log.Info().Str("job", job.ID).Dur("age_ms", now.Sub(job.SubmittedAt)).Msg("job was kept back until the ends of jobs were read")
		p.openInBackground(job, mayRead, now)
	}
}

// failEndsRead records that the ends could not be read, directly or through other nodes.
// kvFailed reports whether the key-value service is unavailable to this node: then the jobs
// are not kept back for long, since the outage may last.
func (p *poolRunner) failEndsRead(kvFailed bool, now time.Time) {
	p.mu.Lock()
	if !kvFailed {
		p.endsFailedAt = time.Time{}
	} else if p.endsFailedAt.IsZero() {
		p.endsFailedAt = now
	}
	release := kvFailed && !p.released && (p.standInFor != nil || now.Sub(p.endsFailedAt) >= unreadEndsWait)
	p.mu.Unlock()
	if !release {
		return
	}
	p.runner.Log.Warn().Str("pool", p.pool).Msg("opening jobs although the ends of jobs can't be read")
	p.releaseHeld(false, now)
}

// endJob ends a job and cancels its runs and reward calls.
func (p *poolRunner) endJob(id string, end end, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endedJobs[id].IsZero() {
		p.endedJobs[id] = end.At
	}
	job := p.scheduler.Jobs[id]
	if job == nil || job.Ended {
		return
	}
	active := p.scheduler.End(id, now)
	p.cancelRuns(active)
	p.deleteParts(job)
	line := p.runner.Log.Info().Str("job", id).Int("listed", len(job.Listed)).Int("unfinished", job.Unfinished()).Int("whole", job.CompleteGroups).
		Dur("age_ms", now.Sub(job.Spec.SubmittedAt)).Str("source", string(end.Source)).Object("canceled", countActive(active))
	if lag, known := end.lag(now); known {
		line.Dur("lag_ms", lag)
		p.runner.Meter.EndLag.WithLabelValues(string(end.Source)).Observe(max(0, lag.Seconds()))
		line.Object("sent_after", p.countLate(id, end.At))
	}
	delete(p.sent, id)
	line.Msg("job ended")
}

// activity is a number of runs and reward calls.
type activity struct{ Runs, Rewards int }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a activity) MarshalZerologObject(e *zerolog.Event) {
	e.Int("runs", a.Runs).Int("rewards", a.Rewards)
}

// countActive counts the runs and reward calls of tasks in progress.
func countActive(active []*tasks.Task) activity {
	var count activity
	for _, task := range active {
		if task.Phase == tasks.Running {
			count.Runs++
		} else {
			count.Rewards++
		}
	}
	return count
}
