package runner

import (
	"time"

	"github.com/rs/zerolog"

	"quetzalpier/tasks"
)

// callKind is the kind of a call that is made for a task.
type callKind string

// The calls that are made for a task.
const (
	kindRun    callKind = "run"
	kindReward callKind = "reward"
)

// upstreamField is the key of the upstream in log lines.
func (k callKind) upstreamField() string {
	if k == kindRun {
		return "engine"
	}
	return "upstream"
}

// maxSentTimes is how many of the latest calls of each kind are known for a job.
const maxSentTimes = 1024

// sentTimes holds when the latest calls for the tasks of a job were sent completely.
type sentTimes map[callKind][]time.Time

func (s sentTimes) add(kind callKind, at time.Time) {
	times := append(s[kind], at)
	s[kind] = times[max(0, len(times)-maxSentTimes):]
}

// after returns how long after a time the calls of a kind were sent that were sent later.
func (s sentTimes) after(kind callKind, at time.Time) []time.Duration {
	var after []time.Duration
	for _, sentAt := range s[kind] {
		if sentAt.After(at) {
			after = append(after, sentAt.Sub(at))
		}
	}
	return after
}

// recordSent records that a call for a task was sent completely to an upstream.
func (p *poolRunner) recordSent(kind callKind, task *tasks.Task, request, upstream string, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	job := task.Job.Spec.ID
	endedAt, ended := p.endedJobs[job]
	if !ended {
		p.addSent(job, kind, sentAt)
		return
	}
	if !endedAt.IsZero() {
		p.observeLate(kind, sentAt.Sub(endedAt))
	}
	// The end may have become known while the caller waited for the lock.
	if !sentAt.After(task.Job.EndedAt) {
		return
	}
	line := p.runner.Log.Warn().Str("kind", string(kind)).Str("job", job).Str("task", task.Spec.ID).Str("request", request).Str(kind.upstreamField(), upstream)
	withSent(line, sentAt, endedAt).Dur("known_ms", sentAt.Sub(task.Job.EndedAt)).Msg("request was sent although its job is known to have ended")
}

func (p *poolRunner) addSent(job string, kind callKind, sentAt time.Time) {
	if p.scheduler.Jobs[job] == nil {
		return
	}
	if p.sent[job] == nil {
		p.sent[job] = sentTimes{}
	}
	p.sent[job].add(kind, sentAt)
}

func (p *poolRunner) observeLate(kind callKind, late time.Duration) {
	p.runner.Meter.SentAfterEnd.WithLabelValues(string(kind)).Observe(max(0, late.Seconds()))
}

// countLate counts the calls of a job that were sent after its end, also those that are
// over. The caller holds the lock.
func (p *poolRunner) countLate(job string, endedAt time.Time) lateCalls {
	var late lateCalls
	count := func(kind callKind) int {
		after := p.sent[job].after(kind, endedAt)
		for _, d := range after {
			p.observeLate(kind, d)
			late.Worst = max(late.Worst, d)
		}
		return len(after)
	}
	late.Runs, late.Rewards = count(kindRun), count(kindReward)
	return late
}

// lateCalls are the calls of a job that were sent after its end, the last one by Worst.
type lateCalls struct {
	activity
	Worst time.Duration
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (c lateCalls) MarshalZerologObject(e *zerolog.Event) {
	c.activity.MarshalZerologObject(e)
	e.Dur("worst_ms", c.Worst)
}

// withSent adds to a line when a request was sent completely, and how long after the end of
// its job. Both times may be zero, if it was not sent or the time of the end is not known.
func withSent(line *zerolog.Event, sentAt, endedAt time.Time) *zerolog.Event {
	if sentAt.IsZero() {
		return line
	}
	line.Time("sent", sentAt)
	if !endedAt.IsZero() {
		line.Dur("after_end_ms", sentAt.Sub(endedAt))
	}
	return line
}
