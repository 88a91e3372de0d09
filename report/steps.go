package report

import (
	"math"
	"sort"
	"time"
)

// Step is what a trainer's step waited for. Its parts add up to Total.
type Step struct {
	Job   string `json:"job"`
	Model string `json:"model"`
	Step  int    `json:"step"`
	Tasks int    `json:"tasks"`
	// SubmittedAt is when a node received the job. Total is the time from then until
	// its end, or until the last line about it, and Listed the time until the groups
	// that the trainer waits for were listed; zero if they never were.
	SubmittedAt time.Time `json:"submitted"`
	Total       float64   `json:"total"`
	Listed      float64   `json:"listed"`
	// Late reports whether Listed is missing or beyond the job's objective.
	Late bool `json:"late"`
	// Critical is the task that completed the last group that the trainer waits for.
	Critical string `json:"critical"`
	Parts    Parts  `json:"parts"`
	// Ideal is the time of the longest task done before the groups were listed, at
	// the median pace, and Efficiency its share of Listed.
	Ideal      float64 `json:"ideal"`
	Efficiency float64 `json:"efficiency"`
}

// Parts divides the time of a step's critical path.
type Parts struct {
	// Accept is the wait until the job was accepted, and Owner until its owner
	// opened it.
	Accept float64 `json:"accept"`
	Owner  float64 `json:"owner"`
	// Busy is the wait for a free slot, Unloaded for an engine with suitable weights,
	// and Moved for a new run after one was cut or failed.
	Busy     float64 `json:"busy"`
	Unloaded float64 `json:"unloaded"`
	Moved    float64 `json:"moved"`
	// Run is the run time at the pool's median pace, Slow the time beyond it, and
	// Lost the time of events that were generated again.
	Run  float64 `json:"run"`
	Slow float64 `json:"slow"`
	Lost float64 `json:"lost"`
	// Reward is the wait for the reward, List until the results were stored, and Read
	// until the trainer ended the job.
	Reward float64 `json:"reward"`
	List   float64 `json:"list"`
	Read   float64 `json:"read"`
}

// PartNames are the names of the parts, in the order of Values.
var PartNames = []string{"accept", "owner", "busy", "unloaded", "moved", "run", "slow", "lost", "reward", "list", "read"}

// Values returns the parts in the order of PartNames.
func (p Parts) Values() []float64 {
	return []float64{p.Accept, p.Owner, p.Busy, p.Unloaded, p.Moved, p.Run, p.Slow, p.Lost, p.Reward, p.List, p.Read}
}

// closeDelay is how long after the end of a job lines about it are awaited.
const closeDelay = 15 * time.Second

// stepReader collects the lines about jobs. It holds only open jobs.
type stepReader struct {
	jobs  map[string]*jobLog
	paces paceHistogram
	done  []Step
}

type jobLog struct {
	step       Step
	objective  time.Duration
	want       int
	acceptedAt time.Time
	openedAt   time.Time
	listedAt   time.Time
	endedAt    time.Time
	lastAt     time.Time
	tasks      map[string]*taskLog
}

type taskLog struct {
	runs []runLog
	// finishedAt is when the text was complete, and scoredAt when its reward
	// arrived.
	finishedAt time.Time
	scoredAt   time.Time
}

type runLog struct {
	startedAt, endedAt time.Time
	busy, unloaded     time.Duration
	from, events       int
}

func newStepReader() *stepReader { return &stepReader{jobs: map[string]*jobLog{}} }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (s *stepReader) add(l *line) {
	if l.Job == "" {
		return
	}
	j := s.jobs[l.Job]
	if j == nil {
		// The end of a job that is closed already may be repeated.
		if l.Message != messageAccepted && l.Message != messageOpened {
			return
		}
		j = &jobLog{step: Step{Job: l.Job, Model: l.Model, Step: l.Step, Tasks: l.Tasks}, tasks: map[string]*taskLog{}}
		s.jobs[l.Job] = j
		s.closeEnded(l.Time)
	}
	j.lastAt = l.Time
	switch l.Message {
	case messageAccepted:
		j.submitted(l.Time.Add(-milliseconds(l.Took)))
		setFirst(&j.acceptedAt, l.Time)
	case messageOpened:
		j.submitted(l.Time.Add(-milliseconds(l.Age)))
		setFirst(&j.openedAt, l.Time)
		j.want, j.objective = l.Want, milliseconds(l.Objective)
		j.listed(l)
	case messageRun:
		s.addRun(j, l)
	case messageScored:
		j.task(l.Task).scoredAt = l.Time
	case messageStored, messageFound:
		j.listed(l)
	case messageEnded, messageEndStored:
		setFirst(&j.endedAt, l.Time)
	}
}

// submitted records the earliest known time of the submission.
func (j *jobLog) submitted(at time.Time) {
	if j.step.SubmittedAt.IsZero() || at.Before(j.step.SubmittedAt) {
		j.step.SubmittedAt = at
	}
}

// listed records that the groups that the trainer waits for are stored, if a line
// shows it.
func (j *jobLog) listed(l *line) {
	if j.want > 0 && l.Whole >= j.want {
		setFirst(&j.listedAt, l.Time)
	}
}

func setFirst(t *time.Time, at time.Time) {
	if t.IsZero() {
		*t = at
	}
}

func (j *jobLog) task(id string) *taskLog {
	t := j.tasks[id]
	if t == nil {
		t = &taskLog{}
		j.tasks[id] = t
	}
	return t
}

func (s *stepReader) addRun(j *jobLog, l *line) {
	took := milliseconds(l.Took)
	t := j.task(l.Task)
	t.runs = append(t.runs, runLog{
		startedAt: l.Time.Add(-took), endedAt: l.Time, busy: milliseconds(l.Busy), unloaded: milliseconds(l.Unloaded), from: l.From, events: l.Events,
	})
	if l.Outcome == "whole" {
		t.finishedAt = l.Time
		s.paces.add(took, l.Events-l.From)
	}
}

// closeEnded closes the jobs that ended more than closeDelay before now.
func (s *stepReader) closeEnded(now time.Time) {
	for id, j := range s.jobs {
		if !j.endedAt.IsZero() && now.Sub(j.endedAt) > closeDelay {
			s.close(id, j)
		}
	}
}

func (s *stepReader) closeAll() {
	for id, j := range s.jobs {
		s.close(id, j)
	}
	sort.Slice(s.done, func(a, b int) bool {
		if x, y := s.done[a], s.done[b]; !x.SubmittedAt.Equal(y.SubmittedAt) {
			return x.SubmittedAt.Before(y.SubmittedAt)
		}
		return s.done[a].Job < s.done[b].Job
	})
}

func (s *stepReader) close(id string, j *jobLog) {
	delete(s.jobs, id)
	pace := s.paces.median()
	step := j.step
	end := j.endedAt
	if end.IsZero() {
		end = j.lastAt
	}
	if !j.listedAt.IsZero() {
		step.Listed = j.listedAt.Sub(step.SubmittedAt).Seconds()
	}
	step.Late = j.listedAt.IsZero() || (j.objective > 0 && j.listedAt.Sub(step.SubmittedAt) > j.objective)
	var critical *taskLog
	step.Critical, critical = j.criticalTask()
	path := &path{at: step.SubmittedAt, end: end}
	j.divide(path, critical, pace)
	step.Parts, step.Total = path.parts, end.Sub(step.SubmittedAt).Seconds()
	longest := 0
	for _, t := range j.tasks {
		needed := j.listedAt.IsZero() || !t.doneAt().After(j.listedAt)
		if !t.finishedAt.IsZero() && needed {
			longest = max(longest, t.runs[len(t.runs)-1].events)
		}
	}
	step.Ideal = (time.Duration(longest) * pace).Seconds()
	if step.Listed > 0 {
		step.Efficiency = min(1, step.Ideal/step.Listed)
	}
	s.done = append(s.done, step)
}

// doneAt is when the task needed nothing more; zero if it still did.
func (t *taskLog) doneAt() time.Time {
	if t.scoredAt.After(t.finishedAt) {
		return t.scoredAt
	}
	return t.finishedAt
}

// criticalTask returns the last task that was done before the groups that the
// trainer waits for were listed. If they never were, it returns the unfinished task
// with the latest run, or else the last one that was done.
func (j *jobLog) criticalTask() (id string, found *taskLog) {
	better := func(a, b time.Time, idA string) bool { return found == nil || a.After(b) || (a.Equal(b) && idA < id) }
	for taskID, t := range j.tasks {
		done := t.doneAt()
		if done.IsZero() || (!j.listedAt.IsZero() && done.After(j.listedAt)) {
			continue
		}
		if found == nil || better(done, found.doneAt(), taskID) {
			id, found = taskID, t
		}
	}
	if !j.listedAt.IsZero() {
		return id, found
	}
	var unfinished *taskLog
	var latest time.Time
	for taskID, t := range j.tasks {
		if !t.finishedAt.IsZero() || len(t.runs) == 0 {
			continue
		}
		if ended := t.runs[len(t.runs)-1].endedAt; unfinished == nil || ended.After(latest) || (ended.Equal(latest) && taskID < id) {
			id, unfinished, latest = taskID, t, ended
		}
	}
	if unfinished != nil {
		return id, unfinished
	}
	return id, found
}

// path walks from a step's submission to its end. The time up to each point goes
// to one part, so that the parts add up to the whole also if clocks differ.
type path struct {
	at, end time.Time
	parts   Parts
}

// advance moves to a point, which lies between the present one and the end, and
// returns the time in between.
func (p *path) advance(to time.Time) time.Duration {
	if to.After(p.end) {
		to = p.end
	}
	if !to.After(p.at) {
		return 0
	}
	elapsed := to.Sub(p.at)
	p.at = to
	return elapsed
}

func (p *path) add(part *float64, to time.Time) { *part += p.advance(to).Seconds() }

// divide assigns the time from submission to end to parts.
func (j *jobLog) divide(p *path, critical *taskLog, pace time.Duration) {
	if !j.acceptedAt.IsZero() {
		p.add(&p.parts.Accept, j.acceptedAt)
	}
	if !j.openedAt.IsZero() {
		p.add(&p.parts.Owner, j.openedAt)
	}
	if critical != nil {
		critical.divideRuns(p, pace)
		p.add(&p.parts.Reward, critical.scoredAt)
	}
	if !j.listedAt.IsZero() {
		p.add(&p.parts.List, j.listedAt)
		p.add(&p.parts.Read, p.end)
		return
	}
	// The step was never complete. The critical task waited for another run, or
	// other tasks were missing.
	p.add(&p.parts.Moved, p.end)
}

func (t *taskLog) divideRuns(p *path, pace time.Duration) {
	for i, run := range t.runs {
		gap := p.advance(run.startedAt)
		unloaded := min(gap, run.unloaded)
		busy := min(gap-unloaded, run.busy)
		p.parts.Unloaded += unloaded.Seconds()
		p.parts.Busy += busy.Seconds()
		p.parts.Moved += (gap - unloaded - busy).Seconds()
		took := p.advance(run.endedAt)
		generated := run.events - run.from
		if i+1 < len(t.runs) && generated > 0 {
			again := min(generated, max(0, run.events-t.runs[i+1].from))
			lost := took * time.Duration(again) / time.Duration(generated)
			p.parts.Lost += lost.Seconds()
			took -= lost
			generated -= again
		}
		atPace := min(took, time.Duration(generated)*pace)
		p.parts.Run += atPace.Seconds()
		p.parts.Slow += (took - atPace).Seconds()
	}
}

// paceHistogram holds times per event in buckets that grow by paceGrowth.
type paceHistogram struct {
	counts [paceBuckets]int
	total  int
}

const (
	paceBuckets = 600
	paceGrowth  = 1.02
	// minPaceEvents is the length of the shortest run whose pace is used: the prompt
	// dominates shorter ones.
	minPaceEvents = 5
)

func (h *paceHistogram) add(took time.Duration, events int) {
	if events < minPaceEvents || took <= 0 {
		return
	}
	bucket := int(math.Log(float64(took/time.Duration(events))/float64(time.Microsecond)) / math.Log(paceGrowth))
	h.counts[min(paceBuckets-1, max(0, bucket))]++
	h.total++
}

func (h *paceHistogram) median() time.Duration {
	seen := 0
	for bucket, count := range h.counts {
		if seen += count; h.total > 0 && 2*seen >= h.total {
			return time.Duration(math.Pow(paceGrowth, float64(bucket)+0.5) * float64(time.Microsecond))
		}
	}
	return 0
}
