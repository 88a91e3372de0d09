package runner

import (
	"context"
	"time"

	"quetzalpier"
	"quetzalpier/tasks"
	"quetzalpier/wire"
)

const (
	// maxReplyBytes limits the texts in one reply.
	maxReplyBytes = 900 << 10
	// maxBodyReply limits the body of a task in a reply to a node that reads larger ones from the
	// key-value service.
	maxBodyReply = 64 << 10
	// readBatchDelay limits how long the reply to a waiting read is delayed
	// after the first result. Tasks that start together and have the maximum
	// length end within this time of each other.
	readBatchDelay = 150 * time.Millisecond
)

// Read returns the results of a job whose pool this node owns. A reply without
// Known does not say whether the job exists.
func (r *Runner) Read(ctx context.Context, read *wire.Read) *wire.Results {
	wait := wire.Millis(read.GetWait())
	return waitForResults(ctx, wait, func(now time.Time) (*wire.Results, chan struct{}) { return r.pollResults(read, now) })
}

// waitForResults returns the reply of poll as soon as it has results or wait is
// over. If it had to wait for the first result, it waits up to readBatchDelay
// for more.
//
// Load pattern: the last tasks of a step end within a few milliseconds of each
// other. A trainer whose read returns only the first of them reads the others
// half a second or more later.
func waitForResults(ctx context.Context, wait time.Duration, poll func(time.Time) (*wire.Results, chan struct{})) *wire.Results {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	reply, more := poll(time.Now())
	if len(reply.GetResults()) > 0 {
		return reply
	}
	for more != nil {
		select {
		case <-more:
		case <-timer.C:
			return reply
		case <-ctx.Done():
			return reply
		}
		first := len(reply.GetResults()) == 0
		reply, more = poll(time.Now())
		if first && len(reply.GetResults()) > 0 {
			timer.Reset(readBatchDelay)
		}
	}
	return reply
}

// pollResults returns the results available now. The channel is closed when
// there may be more. It is nil if waiting is useless, because the job is
// unknown here or the trainer can have all results that it needs.
func (r *Runner) pollResults(read *wire.Read, now time.Time) (*wire.Results, chan struct{}) {
	for _, p := range r.activeRunners() {
		// Without a valid lease, another owner may have stored more results.
		fence, ok := p.validFence(now)
		if !ok {
			continue
		}
		if reply, more := p.pollResults(read, fence); reply.GetKnown() {
			return reply, more
		}
	}
	return &wire.Results{}, nil
}

func (r *Runner) activeRunners() []*poolRunner {
	r.mu.Lock()
	defer r.mu.Unlock()
	runners := make([]*poolRunner, 0, len(r.runners))
	for _, p := range r.runners {
		runners = append(runners, p)
	}
	return runners
}

// pollResults returns the results of one pool's job. It knows none while the lease
// was acquired under a fencing token that updateFence has not applied yet.
func (p *poolRunner) pollResults(read *wire.Read, fence uint64) (*wire.Results, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	job := p.scheduler.Jobs[read.GetJob()]
	if job == nil || fence != p.fence || p.uncertain[read.GetJob()] || p.unread[read.GetJob()] {
		return &wire.Results{}, nil
	}
	if !p.recorded[read.GetJob()] {
		p.checkRecord(p.ctx, job.Spec, recordWait)
		return &wire.Results{}, job.Changed
	}
	reply := &wire.Results{Known: true, Total: uint64(len(job.Tasks)), Open: !job.Ended, Customer: job.Spec.Customer}
	if id := read.GetTask(); id != "" {
		body, ok := unstoredBody(job, id)
		switch {
		case !ok:
			reply.Open = false
		case len(body) > maxReplyBytes && job.Spec.Parts.Count > 0, len(body) > maxBodyReply && read.GetApart():
			reply.Stored = true
		default:
			reply.Body = body
		}
		return reply, nil
	}
	if from := read.GetAfter(); from < uint64(len(job.Listed)) {
		reply.Results = wire.PackResults(limitBytes(job.Listed[from:], maxReplyBytes))
	}
	complete := len(job.Listed) == len(job.Tasks) || job.Satisfied() && len(reply.GetResults()) > 0
	if job.Ended || complete {
		return reply, nil
	}
	return reply, job.Changed
}

// unstoredBody returns the request body of a task whose result is not stored
// yet.
func unstoredBody(job *tasks.Job, id string) ([]byte, bool) {
	for _, result := range job.Listed {
		if result.ID == id {
			return nil, false
		}
	}
	task, ok := job.Spec.FindTask(id)
	if !ok || job.Ended {
		return nil, false
	}
	return task.Body, true
}

// JobCustomer returns the customer of a job that this node processes. It returns false for
// any other job.
func (r *Runner) JobCustomer(id string) (customer string, known bool) {
	for _, p := range r.activeRunners() {
		p.mu.Lock()
		if job := p.scheduler.Jobs[id]; job != nil {
			customer, known = job.Spec.Customer, true
		}
		p.mu.Unlock()
	}
	return customer, known
}

// OpenJob opens a job that a client submitted, if this node owns its pool. One that may have
// ended is opened once the ends are known.
func (r *Runner) OpenJob(job *quetzalpier.Job, now time.Time) {
	r.mu.Lock()
	p := r.runners[job.Pool]
	r.mu.Unlock()
	if p == nil || p.hold(job) {
		return
	}
	if p.reserve(job, false, now) {
		p.openJob(job, false, now)
		p.mu.Lock()
		p.markOpened(job.ID)
		p.mu.Unlock()
	}
	signal(p.wake)
}

// StopJob ends a job whose end is not stored yet, on the pools that this node processes, if it
// is known to be the customer's.
func (r *Runner) StopJob(job, customer string, endedAt, now time.Time) {
	for _, p := range r.activeRunners() {
		p.mu.Lock()
		known := p.scheduler.Jobs[job]
		stops := known != nil && known.Spec.OwnedBy(customer)
		p.mu.Unlock()
		if stops {
			p.endJob(job, end{endedAt, sourceNotice}, now)
		}
	}
}

// EndJob ends a job whose end a front stored at endedAt, on the pools that this node
// processes. endedAt is zero if the front does not say so.
func (r *Runner) EndJob(job string, endedAt, now time.Time) {
	for _, p := range r.activeRunners() {
		p.endJob(job, end{endedAt, sourceNotice}, now)
	}
}
