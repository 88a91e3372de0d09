// Package tasks decides about the tasks of open jobs: which to run next, on
// which engine, and when their results are listed.
package tasks

import (
	"sort"
	"strings"
	"time"

	"quetzalpier"
)

// Phase is how far a task has come.
type Phase int

// The phases of a task.
const (
	Waiting Phase = iota
	Running
	// Scoring tasks have their whole text and wait for their reward.
	Scoring
	// Finished tasks have a result.
	Finished
)

// Text is what has been generated of a task. Versions are those that made an
// event of it, in the order in which they came.
type Text struct {
	Events   []string
	Versions []quetzalpier.Version
}

// Add appends an event that version made.
func (t *Text) Add(event string, version quetzalpier.Version) {
	t.Events = append(t.Events, event)
	for _, known := range t.Versions {
		if known == version {
			return
		}
	}
	t.Versions = append(t.Versions, version)
}

// Join is the text as it is listed.
func (t Text) Join() string { return strings.Join(t.Events, "\n") }

// Fits tells whether a job takes the text.
func (t Text) Fits(job *quetzalpier.Job) bool {
	if job.Single && len(t.Versions) > 1 {
		return false
	}
	for _, version := range t.Versions {
		if version < job.Floor {
			return false
		}
	}
	return true
}

// Task is the state of one task of an open job.
type Task struct {
	Spec *quetzalpier.Task
	Job  *Job
	// Group is shared with the other tasks of the same group.
	Group *Group
	Phase Phase
	Text  Text
	// Engine runs the task; Started and Moved are when its run began and when
	// it last made an event.
	Engine  string
	Started time.Time
	Moved   time.Time
	// Failures counts the runs that the engine itself failed, Refusals the
	// reward calls that the service failed, and Crashes the engines that went
	// away during a run.
	Failures int
	Refusals int
	Crashes  int
	// NotBefore is when the task may run again.
	NotBefore time.Time
	// Saved is how many events are kept where the owner's death can't take them.
	Saved int
	// Cut tells that the present run was ordered to end.
	Cut bool
}

// Group counts what is left of a group, and tells since when it is whole.
type Group struct {
	Left    int
	WholeAt time.Time
}

// Job is the state of one open job.
type Job struct {
	Spec  *quetzalpier.Job
	Tasks []*Task
	// Listed are the results in their final positions. Pending follow them
	// once they are stored.
	Listed  []quetzalpier.Result
	Pending []quetzalpier.Result
	// PendingAt is when the oldest pending result came.
	PendingAt time.Time
	Ended     bool
	EndedAt   time.Time
	// Whole counts the groups of which every task is finished.
	Whole int
	// News is closed when results are listed or the job ends.
	News chan struct{}
}

// carried is a text kept of an ended job, for the task's next one.
type carried struct {
	text   Text
	whole  bool
	reward string
	score  string
	until  time.Time
}

const (
	// carryTime is how long texts of ended jobs are kept: trainers bring groups
	// back in the next steps.
	carryTime = 20 * time.Second
	// unreadTime is how long before a job's end a result may have come that its
	// trainer has not read; its group comes back as well.
	unreadTime = 3 * time.Second
)

// Book holds the open jobs of one pool.
type Book struct {
	Jobs map[string]*Job

	carried map[string]carried
	models  map[string]*stats
}

// stats is what the tasks of a model have shown.
type stats struct {
	// work is the moving average of the events of a job, and longest the length
	// of the longest task lately.
	work    float64
	longest float64
}

const (
	// workWeight smooths a model's work, and longestDecay lets its longest task
	// be forgotten within a few steps.
	workWeight   = 0.3
	longestDecay = 0.997
)

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{Jobs: map[string]*Job{}, carried: map[string]carried{}, models: map[string]*stats{}}
}

func (b *Book) stats(model string) *stats {
	known := b.models[model]
	if known == nil {
		known = &stats{}
		b.models[model] = known
	}
	return known
}

// Work is how many events a job of the model is expected to take.
func (b *Book) Work(model string) float64 { return b.stats(model).work }

// expect takes the hints of a job into its model's work.
func (b *Book) expect(job *Job) {
	events := 0.0
	for _, task := range job.Tasks {
		events += float64(task.expected())
	}
	known := b.stats(job.Spec.Model)
	if known.work == 0 {
		known.work = events
		return
	}
	known.work += workWeight * (events - known.work)
}

// Add opens a job of which listed results are stored already. A job that is
// open is left as it is.
func (b *Book) Add(spec *quetzalpier.Job, listed []quetzalpier.Result, now time.Time) *Job {
	if known := b.Jobs[spec.ID]; known != nil {
		return known
	}
	job := &Job{Spec: spec, Listed: listed, News: make(chan struct{})}
	groups := map[string]*Group{}
	done := make(map[string]bool, len(listed))
	for _, result := range listed {
		done[result.ID] = true
	}
	for i := range spec.Tasks {
		task := &Task{Spec: &spec.Tasks[i], Job: job}
		task.Group = groups[task.Spec.Group]
		if task.Group == nil {
			task.Group = &Group{}
			groups[task.Spec.Group] = task.Group
		}
		task.Group.Left++
		job.Tasks = append(job.Tasks, task)
	}
	b.Jobs[spec.ID] = job
	for _, task := range job.Tasks {
		if done[task.Spec.ID] {
			task.end(now)
			continue
		}
		b.resume(task, now)
	}
	b.expect(job)
	return job
}

// resume gives a task the text that an earlier job left.
func (b *Book) resume(task *Task, now time.Time) {
	kept, ok := b.carried[task.Spec.ID]
	if !ok || !kept.text.Fits(task.Job.Spec) {
		return
	}
	delete(b.carried, task.Spec.ID)
	task.Text = kept.text
	if !kept.whole {
		return
	}
	task.Phase = Scoring
	if kept.score != "" && kept.reward == task.Spec.Reward.ID {
		b.Finish(task, kept.score, now)
	}
}

// End closes a job; what is not listed yet needs not be. It returns the tasks
// whose runs are to be cut.
func (b *Book) End(id string, now time.Time) []*Task {
	job := b.Jobs[id]
	if job == nil || job.Ended {
		return nil
	}
	job.Ended = true
	job.EndedAt = now
	defer func() { job.Pending = nil }()
	var running []*Task
	for _, task := range job.Tasks {
		if task.Phase == Running {
			task.Cut = true
			running = append(running, task)
		}
		b.carry(task, now)
		task.Text = Text{}
	}
	job.announce()
	return running
}

// carry keeps the text of a task whose group was not whole, or not so for long
// enough to have been read.
func (b *Book) carry(task *Task, now time.Time) {
	read := task.Group.Left == 0 && now.Sub(task.Group.WholeAt) > unreadTime
	if read || len(task.Text.Events) == 0 {
		return
	}
	kept := carried{text: task.Text, whole: task.Phase >= Scoring, until: now.Add(carryTime)}
	for _, results := range [][]quetzalpier.Result{task.Job.Listed, task.Job.Pending} {
		for _, result := range results {
			if result.ID == task.Spec.ID && result.Done {
				kept.reward, kept.score = task.Spec.Reward.ID, result.Score
			}
		}
	}
	b.carried[task.Spec.ID] = kept
}

// Forget drops jobs that ended more than a while ago, whose results are read
// where they are stored, and texts that no job came back for. It returns the
// dropped jobs.
func (b *Book) Forget(while time.Duration, now time.Time) []*Job {
	var old []*Job
	for id, job := range b.Jobs {
		over := job.Ended && now.Sub(job.EndedAt) > while
		if over || (len(job.Pending) == 0 && now.Sub(job.Spec.Expires) > while) {
			old = append(old, job)
			delete(b.Jobs, id)
		}
	}
	for id, kept := range b.carried {
		if now.After(kept.until) {
			delete(b.carried, id)
		}
	}
	return old
}

// Finish gives a task its result.
func (b *Book) Finish(task *Task, score string, now time.Time) {
	known := b.stats(task.Job.Spec.Model)
	known.longest = max(known.longest*longestDecay, float64(len(task.Text.Events)))
	task.settle(quetzalpier.Result{
		ID: task.Spec.ID, Done: true, Text: task.Text.Join(), Versions: task.Text.Versions, Score: score,
	}, now)
}

// GiveUp lists a task as failed.
func (b *Book) GiveUp(task *Task, now time.Time) {
	task.settle(quetzalpier.Result{ID: task.Spec.ID}, now)
}

func (t *Task) settle(result quetzalpier.Result, now time.Time) {
	if t.Phase == Finished || t.Job.Ended {
		return
	}
	t.end(now)
	if len(t.Job.Pending) == 0 {
		t.Job.PendingAt = now
	}
	t.Job.Pending = append(t.Job.Pending, result)
}

func (t *Task) end(now time.Time) {
	t.Phase = Finished
	t.Group.Left--
	if t.Group.Left == 0 {
		t.Group.WholeAt = now
		t.Job.Whole++
	}
}

// List notes that the first pending results are stored. A job that ended
// meanwhile has none pending any more.
func (j *Job) List(results []quetzalpier.Result, now time.Time) {
	j.Listed = append(j.Listed, results...)
	j.Pending = append([]quetzalpier.Result(nil), j.Pending[min(len(results), len(j.Pending)):]...)
	j.PendingAt = now
	j.announce()
}

func (j *Job) announce() {
	close(j.News)
	j.News = make(chan struct{})
}

// Open tells whether a task may still be worked on.
func (j *Job) Open(now time.Time) bool { return !j.Ended && now.Before(j.Spec.Expires) }

// Satisfied tells whether the trainer has all that it waits for.
func (j *Job) Satisfied() bool { return j.Whole >= j.Spec.Want && j.Spec.Want > 0 }

// Expire gives up the tasks of jobs whose time is over. It returns those whose
// runs are to be cut.
func (b *Book) Expire(now time.Time) []*Task {
	var running []*Task
	for _, job := range b.Jobs {
		if job.Ended || now.Before(job.Spec.Expires) {
			continue
		}
		for _, task := range job.Tasks {
			if task.Phase == Finished {
				continue
			}
			if task.Phase == Running {
				task.Cut = true
				running = append(running, task)
			}
			b.GiveUp(task, now)
		}
	}
	return running
}

// Unfinished counts the tasks that have no result yet.
func (j *Job) Unfinished() int {
	left := 0
	for _, task := range j.Tasks {
		if task.Phase != Finished {
			left++
		}
	}
	return left
}

// Unsaved returns the tasks of which at least least events are not saved yet,
// at most n of them, those with the most first.
//
// Load pattern: the longest tasks last for most of the time that a step has;
// begun anew after the owner's death, they are late.
func (b *Book) Unsaved(least, n int, now time.Time) []*Task {
	var unsaved []*Task
	for _, job := range b.Jobs {
		if !job.Open(now) {
			continue
		}
		for _, task := range job.Tasks {
			if task.Phase != Finished && len(task.Text.Events)-task.Saved >= least {
				unsaved = append(unsaved, task)
			}
		}
	}
	sort.Slice(unsaved, func(i, j int) bool {
		a, b := unsaved[i], unsaved[j]
		if left, right := len(a.Text.Events)-a.Saved, len(b.Text.Events)-b.Saved; left != right {
			return left > right
		}
		return a.Spec.ID < b.Spec.ID
	})
	return unsaved[:min(n, len(unsaved))]
}

// Restore gives a waiting task the text that an earlier owner saved.
func (b *Book) Restore(task *Task, text Text) {
	if task.Phase != Waiting || len(text.Events) <= len(task.Text.Events) || !text.Fits(task.Job.Spec) {
		return
	}
	task.Text = text
	task.Saved = len(text.Events)
}

// lastTasks is from how few unfinished tasks on results come one by one, and
// wait for no others.
const lastTasks = 6

// Due is how long the pending results may still wait for others: not at all
// when a trainer waits for just these, at most gather otherwise.
func (b *Book) Due(gather time.Duration, now time.Time) time.Duration {
	due := gather
	for _, job := range b.Jobs {
		if len(job.Pending) == 0 {
			continue
		}
		if job.Satisfied() || job.Unfinished() <= lastTasks {
			return 0
		}
		due = min(due, gather-now.Sub(job.PendingAt))
	}
	return due
}

// Reconcile takes over the results of a job that are stored. Results that are
// pending here and stored there keep the stored position. It returns the tasks
// whose runs are to be cut.
func (b *Book) Reconcile(id string, listed []quetzalpier.Result, now time.Time) []*Task {
	job := b.Jobs[id]
	if job == nil || len(listed) <= len(job.Listed) {
		return nil
	}
	stored := make(map[string]bool, len(listed))
	for _, result := range listed {
		stored[result.ID] = true
	}
	var pending []quetzalpier.Result
	for _, result := range job.Pending {
		if !stored[result.ID] {
			pending = append(pending, result)
		}
	}
	var running []*Task
	for _, task := range job.Tasks {
		if !stored[task.Spec.ID] || task.Phase == Finished {
			continue
		}
		if task.Phase == Running {
			task.Cut = true
			running = append(running, task)
		}
		task.end(now)
	}
	job.Listed = listed
	job.Pending = pending
	job.PendingAt = now
	job.announce()
	return running
}
