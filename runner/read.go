package runner

import (
	"context"
	"time"

	"quetzalpier"
	"quetzalpier/tasks"
	"quetzalpier/wire"
)

const (
	// replyBytes bounds the texts in one answer.
	replyBytes = 900 << 10
	// readGather bounds how long the answer to a read that waited is put off
	// after the first result. Tasks that began together and have the greatest
	// length end within this time of each other.
	readGather = 150 * time.Millisecond
)

// Read answers a read of a job that this node holds. An answer that is not
// Known says nothing of whether the job exists.
func (r *Runner) Read(ctx context.Context, read *wire.Read) *wire.Results {
	wait := time.Duration(read.GetWait()) * time.Millisecond
	return gather(ctx, wait, func(now time.Time) (*wire.Results, chan struct{}) { return r.peek(read, now) })
}

// gather returns what peek does, as soon as it has results or wait is over. If
// it had to wait for the first result, it stays a little longer for more.
//
// Load pattern: the last tasks of a step end within some milliseconds of each
// other. A trainer whose read is answered with the first of them reads the
// others half a second or more later.
func gather(ctx context.Context, wait time.Duration, peek func(time.Time) (*wire.Results, chan struct{})) *wire.Results {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	answer, news := peek(time.Now())
	if len(answer.GetResults()) > 0 {
		return answer
	}
	for news != nil {
		select {
		case <-news:
		case <-timer.C:
			return answer
		case <-ctx.Done():
			return answer
		}
		first := len(answer.GetResults()) == 0
		answer, news = peek(time.Now())
		if first && len(answer.GetResults()) > 0 {
			timer.Reset(readGather)
		}
	}
	return answer
}

// peek answers with what is there; news is closed when there may be more, and
// nil when there is no use in waiting: the trainer can have all that it needs.
func (r *Runner) peek(read *wire.Read, now time.Time) (*wire.Results, chan struct{}) {
	for _, t := range r.held() {
		// Without the lease, another owner may have listed more.
		if _, ok := t.owned(now); !ok {
			continue
		}
		if answer, news := t.peek(read); answer.GetKnown() {
			return answer, news
		}
	}
	return &wire.Results{}, nil
}

func (r *Runner) held() []*term {
	r.mu.Lock()
	defer r.mu.Unlock()
	terms := make([]*term, 0, len(r.terms))
	for _, t := range r.terms {
		terms = append(terms, t)
	}
	return terms
}

func (t *term) peek(read *wire.Read) (*wire.Results, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	job := t.book.Jobs[read.GetJob()]
	if job == nil || t.doubted[read.GetJob()] {
		return &wire.Results{}, nil
	}
	answer := &wire.Results{Known: true, Total: uint64(len(job.Tasks)), Open: !job.Ended}
	if id := read.GetTask(); id != "" {
		if body, ok := unlisted(job, id); ok {
			answer.Body = body
		} else {
			answer.Open = false
		}
		return answer, nil
	}
	if from := int(read.GetAfter()); from < len(job.Listed) {
		answer.Results = wire.PackResults(head(job.Listed[from:], replyBytes))
	}
	complete := len(job.Listed) == len(job.Tasks) || job.Satisfied() && len(answer.GetResults()) > 0
	if job.Ended || complete {
		return answer, nil
	}
	return answer, job.News
}

// unlisted returns the body of a task that is not listed yet.
func unlisted(job *tasks.Job, id string) ([]byte, bool) {
	for _, result := range job.Listed {
		if result.ID == id {
			return nil, false
		}
	}
	task, ok := job.Spec.Find(id)
	if !ok || job.Ended {
		return nil, false
	}
	return task.Body, true
}

// Open takes over a job that a client submitted, if this node holds its pool.
func (r *Runner) Open(job *quetzalpier.Job, now time.Time) {
	r.mu.Lock()
	t := r.terms[job.Pool]
	r.mu.Unlock()
	if t == nil {
		return
	}
	t.open(job, false, now)
	signal(t.wake)
}
