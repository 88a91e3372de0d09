package runner

import (
	"time"

	"github.com/rs/zerolog"

	"quetzalpier/tasks"
)

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
