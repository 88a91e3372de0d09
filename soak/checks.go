package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"quetzalpier/stand"
)

// cancelTime is how long after the acknowledged end of a job its tasks may still begin
// to run.
const cancelTime = 3 * time.Second

// jobsByRequest returns the jobs that hold each task and each reward call, by its ID.
// The caller holds the lock.
func (l *Ledger) jobsByRequest() map[string][]*jobRecord {
	jobs := map[string][]*jobRecord{}
	for _, record := range l.jobs {
		for _, task := range record.job.Tasks {
			jobs[task.ID] = append(jobs[task.ID], record)
			if task.Reward != nil {
				jobs[task.Reward.ID] = append(jobs[task.Reward.ID], record)
			}
		}
	}
	return jobs
}

// lastEnded returns the job that ended last of those that hold a task, or nil if the
// task may begin to run at the given time, as one of them may still be open.
func lastEnded(holders []*jobRecord, at time.Time) *jobRecord {
	var last *jobRecord
	for _, record := range holders {
		if record.submittedAt.After(at) {
			continue
		}
		if record.endedAt.IsZero() || at.Before(record.endedAt.Add(cancelTime)) {
			return nil
		}
		if last == nil || record.endedAt.After(last.endedAt) {
			last = record
		}
	}
	return last
}

// checkEnded checks that no task and no reward call of an ended job began later than
// cancelTime after the end was acknowledged, sent by a node in touch.
func (r *Rig) checkEnded(l *Ledger) {
	r.countUnacknowledged(l, time.Now())
	sent, err := r.sentRuns()
	if err != nil {
		l.recordViolation("logs not read: %v", err)
		return
	}
	l.mu.Lock()
	jobs := l.jobsByRequest()
	l.mu.Unlock()
	first := map[string]string{}
	count := map[string]int{}
	for _, w := range r.workers() {
		for _, run := range w.Runs() {
			ended := lastEnded(jobs[run.ID], run.StartedAt)
			if ended == nil {
				continue
			}
			task := strings.TrimPrefix(run.ID, rewardPrefix)
			nodes := senders(sent[task], w, run.StartedAt)
			suspects := nodes
			if len(suspects) == 0 {
				suspects = r.nodeNames()
			}
			if !r.inTouch(suspects, run.StartedAt) {
				l.recordExcusedRun()
				continue
			}
			if count[ended.job.ID]++; count[ended.job.ID] == 1 {
				first[ended.job.ID] = fmt.Sprintf("%s at %s at %s, %s after the acknowledgment, sent by %q",
					run.ID, w.ID, clock(run.StartedAt), run.StartedAt.Sub(ended.endedAt), nodes)
			}
		}
	}
	for _, record := range l.jobs {
		if id := record.job.ID; count[id] > 0 {
			l.recordViolation("%d requests of job %s, whose end was acknowledged at %s, began too late: %s", count[id], id, clock(record.endedAt), first[id])
		}
	}
}

func clock(at time.Time) string { return at.UTC().Format("15:04:05.000") }

func (l *Ledger) recordExcusedRun() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ExcusedRuns++
}

// checkScores checks that each score was given after the last event of its text was
// made.
func (r *Rig) checkScores(l *Ledger) {
	l.mu.Lock()
	var records []*jobRecord
	for _, record := range l.jobs {
		records = append(records, record)
	}
	l.mu.Unlock()
	for _, record := range records {
		for _, result := range record.results {
			if !result.Done || result.Score == "" {
				continue
			}
			lastEvent := result.Text[strings.LastIndex(result.Text, "\n")+1:]
			madeAt, made := findMade(r.Engines, lastEvent)
			calledAt, called := findMade(r.Plains, result.Score)
			switch {
			case slices.ContainsFunc(r.Plains, func(w *stand.Worker) bool { return w.Cut(result.Score) }):
				l.recordViolation("job %s: the answer with the score %s of task %s was cut", record.job.ID, result.Score, result.ID)
			case !made || !called:
				l.recordViolation("job %s: task %s has the last event %q and the score %q, and not both were made", record.job.ID, result.ID, lastEvent, result.Score)
			case calledAt.Before(madeAt):
				l.recordViolation("job %s: the call for the score %s of task %s came at %s, %s before the event %s was made",
					record.job.ID, result.Score, result.ID, clock(calledAt), madeAt.Sub(calledAt), lastEvent)
			}
		}
	}
}

func findMade(workers []*stand.Worker, dataOrStamp string) (time.Time, bool) {
	for _, w := range workers {
		if at, ok := w.MadeAt(dataOrStamp); ok {
			return at, true
		}
	}
	return time.Time{}, false
}
