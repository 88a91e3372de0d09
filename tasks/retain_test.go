package tasks_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/tasks"
)

func scoreOf(text string) string { return "score of " + text }

// newScoredSpec returns a job whose tasks t0, t1, ... have a reward each and are all
// in one group.
func newScoredSpec(id string, size int) *quetzalpier.Job {
	job := newSpec(id, 1, size)
	for i := range job.Tasks {
		job.Tasks[i].ID = newSpec("t", 1, size).Tasks[i].ID
		job.Tasks[i].Reward = &quetzalpier.Reward{ID: "r-" + job.Tasks[i].ID}
	}
	return job
}

// requireOwnScores requires that each score was given for the text of its result.
func requireOwnScores(t require.TestingT, job *tasks.Job) {
	for _, results := range [][]quetzalpier.Result{job.Listed, job.Pending} {
		for _, result := range results {
			if result.Done {
				require.Equal(t, scoreOf(result.Text), result.Score, "task %s of job %s", result.ID, job.Spec.ID)
			}
		}
	}
}

func TestTextOfAnotherOwner(t *testing.T) {
	theirs := quetzalpier.Result{ID: "t-0", Done: true, Text: "theirs", Versions: []quetzalpier.Version{2}, Score: scoreOf("theirs")}
	// laterJob opens a job after another owner's result was found for a task of an
	// earlier one, and returns the same task in the later job.
	laterJob := func(progress func(*tasks.Scheduler, *tasks.Task)) *tasks.Task {
		scheduler := tasks.NewScheduler()
		earlier := scheduler.Add(newScoredSpec("a", 2), nil, start)
		progress(scheduler, earlier.Tasks[0])
		scheduler.Reconcile("a", []quetzalpier.Result{theirs}, start.Add(time.Second))
		scheduler.End("a", start.Add(2*time.Second))
		return scheduler.Add(newScoredSpec("b", 2), nil, start.Add(3*time.Second)).Tasks[0]
	}
	complete := func(s *tasks.Scheduler, task *tasks.Task) {
		task.Text.Add("ours", 3)
		s.Complete(task, start)
	}
	t.Run("a text that waits for its score gets none from the found result", func(t *testing.T) {
		task := laterJob(complete)
		require.Equal(t, tasks.Scoring, task.Phase)
		require.Equal(t, "ours", task.Text.Join())
		require.Empty(t, task.Job.Pending)
	})
	t.Run("a scored text keeps its own score", func(t *testing.T) {
		task := laterJob(func(s *tasks.Scheduler, task *tasks.Task) {
			complete(s, task)
			s.Finish(task, scoreOf("ours"), start)
		})
		require.Len(t, task.Job.Pending, 1)
		require.Equal(t, "ours", task.Job.Pending[0].Text)
		requireOwnScores(t, task.Job)
	})
	t.Run("a score that arrives after the found result is not used", func(t *testing.T) {
		task := laterJob(func(s *tasks.Scheduler, task *tasks.Task) {
			complete(s, task)
			s.Reconcile("a", []quetzalpier.Result{theirs}, start)
			s.Finish(task, scoreOf("ours"), start)
			require.Empty(t, task.Job.Pending)
		})
		requireOwnScores(t, task.Job)
	})
}
