package soak

import (
	"context"
	"net/http"
	"slices"
	"time"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/sleep"
)

const (
	// maxEarlyEnd is the longest time between the acceptance of a job and its early
	// end, and endTimeout limits the attempts to end a job.
	maxEarlyEnd = 4 * time.Second
	endTimeout  = 10 * time.Second
	// earlyEndTasks is the number of tasks of a job that is ended early, and
	// minEarlyEndEvents and maxEarlyEndEvents bound their lengths: the engines need
	// longer for them than maxEarlyEnd and cancelTime, so that some would begin after.
	earlyEndTasks     = 96
	minEarlyEndEvents = 40
	maxEarlyEndEvents = 100
	// maxCarriedGroups is the number of groups of an ended job that may appear in
	// the next one again: at most half of those that the trainer waits for.
	maxCarriedGroups = tasksPerJob / tasksPerGroup / 2
)

// runEnding submits jobs until ctx ends. It ends two of three soon after their
// acceptance, and submits some of their incomplete groups again with the next job.
func (t *trainer) runEnding(ctx context.Context) {
	var carried []quetzalpier.Task
	for step := 0; ctx.Err() == nil; step++ {
		early, taskCount, drawLength := t.rnd.IntN(3) != 0, tasksPerJob, t.drawLength
		if early {
			taskCount = earlyEndTasks
			drawLength = func() int { return minEarlyEndEvents + t.rnd.IntN(maxEarlyEndEvents-minEarlyEndEvents) }
		}
		job := t.newJob(step, taskCount, drawLength)
		job.Tasks = append(carried, withoutGroups(job, len(groupsOf(carried)))...)
		carried = nil
		if t.submit(ctx, job) {
			if early {
				t.endEarly(ctx, job)
				carried = t.incompleteGroups(job)
			} else {
				t.pollResults(ctx, job)
			}
		}
		sleep.For(ctx, stepPause)
	}
}

// endEarly ends a job soon after its acceptance. At random it submits the job again
// before and after that, and ends it again.
func (t *trainer) endEarly(ctx context.Context, job quetzalpier.Job) {
	delay := time.Duration(t.rnd.Int64N(int64(maxEarlyEnd)))
	sleep.For(ctx, delay/2)
	t.maybeResubmit(job)
	sleep.For(ctx, delay/2)
	t.end(ctx, job.ID)
	t.maybeResubmit(job)
	if t.rnd.IntN(3) == 0 {
		t.end(ctx, job.ID)
	}
	t.readResults(job.ID)
}

// maybeResubmit submits an accepted job again, in one of three cases.
func (t *trainer) maybeResubmit(job quetzalpier.Job) {
	if t.rnd.IntN(3) != 0 {
		return
	}
	body, err := platform.EncodeJob(job)
	if err != nil {
		t.ledger.recordViolation("job not encoded: %v", err)
		return
	}
	if status, responseBody := t.post(job.ID, body); refusesForGood(status) {
		t.ledger.recordViolation("job %s, accepted before, is refused with %d: %s", job.ID, status, responseBody)
	}
}

// end ends a job. Unless the end is acknowledged, it is sent again through a random
// front.
func (t *trainer) end(ctx context.Context, id string) {
	t.ledger.mu.Lock()
	record := t.ledger.jobs[id]
	record.endSent = true
	t.ledger.mu.Unlock()
	for until := time.Now().Add(endTimeout); ; {
		sentAt := time.Now()
		status, body := t.call(http.MethodDelete, platform.PathJobs+id, nil, nil)
		if status != 0 {
			t.ledger.recordEndRead(record, sentAt)
		}
		if status == http.StatusOK {
			t.ledger.recordEnd(record, time.Now())
			return
		}
		if refusesForGood(status) {
			t.ledger.recordViolation("the end of job %s is refused with %d: %s", id, status, body)
			return
		}
		if !sleep.For(ctx, pollInterval) || time.Now().After(until) {
			return
		}
	}
}

// recordEnd records the first acknowledged end of a job.
func (l *Ledger) recordEnd(record *jobRecord, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record.endedAt.IsZero() {
		record.endedAt = at
		l.EndedJobs++
	}
}

// recordEndRead records the first end of a job that a front has read.
func (l *Ledger) recordEndRead(record *jobRecord, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record.firstEndAt.IsZero() {
		record.firstEndAt = sentAt
	}
}

// incompleteGroups returns, in half of the cases, the tasks of groups of which not all
// results were read.
func (t *trainer) incompleteGroups(job quetzalpier.Job) []quetzalpier.Task {
	if t.rnd.IntN(2) == 0 {
		return nil
	}
	t.ledger.mu.Lock()
	results := t.ledger.jobs[job.ID].results
	t.ledger.mu.Unlock()
	var unread []quetzalpier.Task
	for _, task := range job.Tasks {
		if !slices.ContainsFunc(results, func(result quetzalpier.Result) bool { return result.ID == task.ID && result.Done }) {
			unread = append(unread, task)
		}
	}
	groups := groupsOf(unread)
	groups = groups[:min(len(groups), maxCarriedGroups)]
	return slices.DeleteFunc(slices.Clone(job.Tasks), func(task quetzalpier.Task) bool { return !slices.Contains(groups, task.Group) })
}

// withoutGroups returns the tasks of a job without those of its first n groups.
func withoutGroups(job quetzalpier.Job, n int) []quetzalpier.Task {
	dropped := groupsOf(job.Tasks)[:n]
	return slices.DeleteFunc(slices.Clone(job.Tasks), func(task quetzalpier.Task) bool { return slices.Contains(dropped, task.Group) })
}

// groupsOf returns the groups of the tasks, in their order.
func groupsOf(tasks []quetzalpier.Task) []string {
	var groups []string
	for _, task := range tasks {
		if !slices.Contains(groups, task.Group) {
			groups = append(groups, task.Group)
		}
	}
	return groups
}
