package tasks

import (
	"math"
	"slices"
	"time"

	"quetzalpier"
)

const (
	// lowerShare is the share of the running tasks that jobs of lower priority keep while they
	// have waiting tasks, so that their trainers don't stall.
	lowerShare = 0.1
	// riskShare is the share of the time until its due time beyond which the work of the jobs
	// of higher priority is at risk, even if all engines did nothing else.
	riskShare = 0.5
	// priorityStep and satisfiedStep separate the slacks of tasks of different priority, and
	// of satisfied jobs.
	priorityStep  = time.Hour
	satisfiedStep = 1000 * time.Hour
)

// SetPriority sets the priority of a job; zero is the highest.
func (s *Scheduler) SetPriority(job *Job, priority int) {
	job.priority = priority
	if model := s.modelStats(job.Spec.Model); !job.Spec.SubmittedAt.Before(model.newestJob) {
		model.newestJob, model.priority = job.Spec.SubmittedAt, priority
	}
}

// Priority returns the priority of the latest job of a model.
func (s *Scheduler) Priority(model string) int { return s.modelStats(model).priority }

// atRisk reports whether open jobs that are not satisfied differ in priority, and those
// above the lowest one may end late.
//
// Load pattern: on a day with enough engines, all steps end in time if their tasks start in
// order of slack, and the most urgent step first would only delay the others.
func (s *Scheduler) atRisk(engines []*Engine, median time.Duration, now time.Time) bool {
	lowest, highest, known := 0, 0, false
	for _, job := range s.Jobs {
		if job.Open(now) && !job.Satisfied() {
			if !known {
				lowest, highest, known = job.priority, job.priority, true
			}
			lowest, highest = max(lowest, job.priority), min(highest, job.priority)
		}
	}
	if lowest == highest {
		return false
	}
	slots := 0
	for _, engine := range engines {
		if engine.VM.State == quetzalpier.VMLive {
			slots += engine.VM.Slots
		}
	}
	events, left := 0, time.Duration(math.MaxInt64)
	for _, job := range s.Jobs {
		if !job.Open(now) || job.Satisfied() || job.priority == lowest {
			continue
		}
		for _, task := range job.Tasks {
			if task.Phase == Waiting || task.Phase == Running {
				events += task.remainingEvents()
			}
		}
		left = min(left, job.Spec.DueAt.Sub(now))
	}
	needed := time.Duration(events) * median / time.Duration(max(1, slots))
	return float64(needed) > riskShare*float64(left)
}

// share orders tasks that are sorted by slack by the priority of their jobs, and then by
// slack. While a lower priority has less than lowerShare of the running tasks, it goes first.
// Satisfied jobs come last. It changes the slacks so that they tell the order of tasks of
// different priority too.
//
// Load pattern: on a day with too few engines, trainers with steps of different sizes and
// priorities submit them at the same time. In order of slack alone, all steps get slots in
// proportion to their tasks, and the largest ends last, however urgent it is.
func (s *Scheduler) share(line *queue, now time.Time) {
	running, classes := s.runningByPriority(now), map[int][]int{}
	var satisfied, priorities []int
	for i, task := range line.tasks {
		if task.Job.Satisfied() {
			satisfied = append(satisfied, i)
			continue
		}
		classes[task.Job.priority] = append(classes[task.Job.priority], i)
	}
	for priority := range classes {
		priorities = append(priorities, priority)
	}
	total := 0
	for priority, count := range running {
		total += count
		if classes[priority] == nil {
			priorities = append(priorities, priority)
		}
	}
	slices.Sort(priorities)
	order := make([]int, 0, len(line.tasks))
	for len(order) < len(line.tasks)-len(satisfied) {
		total++
		next := nextPriority(priorities, classes, running, total)
		order = append(order, classes[next][0])
		classes[next] = classes[next][1:]
		running[next]++
	}
	order = append(order, satisfied...)
	sorted, slacks := make([]*Task, len(order)), make([]time.Duration, len(order))
	for i, n := range order {
		job := line.tasks[n].Job
		sorted[i], slacks[i] = line.tasks[n], line.slacks[n]+time.Duration(job.priority)*priorityStep
		if job.Satisfied() {
			slacks[i] += satisfiedStep
		}
	}
	line.tasks, line.slacks = sorted, slacks
}

// runningByPriority counts the running tasks of jobs that are not satisfied.
func (s *Scheduler) runningByPriority(now time.Time) map[int]int {
	running := map[int]int{}
	for _, job := range s.Jobs {
		if !job.Open(now) || job.Satisfied() {
			continue
		}
		for _, task := range job.Tasks {
			if task.Phase == Running {
				running[job.priority]++
			}
		}
	}
	return running
}

// nextPriority returns the priority whose task goes next: the first one, unless the others
// together have less than lowerShare of the total and wait, or none of its own tasks waits.
// Priorities are in order, and a task waits in one of them at least.
func nextPriority(priorities []int, waiting map[int][]int, running map[int]int, total int) int {
	first, others := priorities[0], priorities[1:]
	othersRunning, othersWait := 0, false
	for _, priority := range others {
		othersRunning += running[priority]
		othersWait = othersWait || len(waiting[priority]) > 0
	}
	if !othersWait || len(waiting[first]) > 0 && float64(othersRunning) >= lowerShare*float64(total) {
		return first
	}
	return nextPriority(others, waiting, running, othersRunning+1)
}
