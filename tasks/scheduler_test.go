package tasks_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"quetzalpier"
	"quetzalpier/tasks"
)

var start = time.Unix(1000, 0)

// newSpec returns a job with groups of size tasks each; hints are in events.
func newSpec(id string, groups, size int, hints ...int) *quetzalpier.Job {
	job := &quetzalpier.Job{
		ID: id, Model: "m", MinVersion: 2, WantGroups: groups, MaxAttempts: 3,
		SubmittedAt: start, DueAt: start.Add(8 * time.Second), ExpiresAt: start.Add(40 * time.Second),
	}
	for i := range groups * size {
		task := quetzalpier.Task{ID: fmt.Sprintf("%s-%d", id, i), Group: fmt.Sprintf("g%d", i/size), Path: "/t"}
		if i < len(hints) {
			task.LengthHint = hints[i] * tasks.EventTokens
		}
		job.Tasks = append(job.Tasks, task)
	}
	return job
}

// finish adds an event to the task and finishes it with a score.
func finish(s *tasks.Scheduler, task *tasks.Task, at time.Time) {
	task.Text.Add("text of "+task.Spec.ID, 2)
	s.Finish(task, "score", at)
}

func ids(results []quetzalpier.Result) []string {
	list := make([]string, 0, len(results))
	for _, result := range results {
		list = append(list, result.ID)
	}
	return list
}

func TestScheduler(t *testing.T) {
	t.Run("results are listed in the order in which they are stored", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		job := scheduler.Add(newSpec("j", 2, 2), nil, start)
		finish(scheduler, job.Tasks[3], start)
		finish(scheduler, job.Tasks[0], start)
		require.Empty(t, job.Listed)
		job.MarkStored(job.Pending[:1], start)
		require.Equal(t, []string{"j-3"}, ids(job.Listed))
		require.Equal(t, []string{"j-0"}, ids(job.Pending))
	})
	t.Run("adding a job again returns the existing one unchanged", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		job := scheduler.Add(newSpec("j", 1, 2), nil, start)
		finish(scheduler, job.Tasks[0], start)
		require.Same(t, job, scheduler.Add(newSpec("j", 1, 2), nil, start))
		require.Len(t, job.Pending, 1)
	})
	t.Run("tasks listed by an earlier owner are not run again", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		listed := []quetzalpier.Result{{ID: "j-1", Done: true}}
		job := scheduler.Add(newSpec("j", 1, 2), listed, start)
		require.Equal(t, tasks.Finished, job.Tasks[1].Phase)
		require.Equal(t, 1, job.Unfinished())
	})
	t.Run("ending a job cancels its runs and accepts no more results", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		job := scheduler.Add(newSpec("j", 1, 2), nil, start)
		job.Tasks[0].Phase = tasks.Running
		require.Len(t, scheduler.End("j", start), 1)
		finish(scheduler, job.Tasks[1], start)
		require.Empty(t, job.Pending)
		require.Empty(t, scheduler.End("j", start))
	})
	t.Run("an ended job has nothing pending while a batch of its results is stored", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		job := scheduler.Add(newSpec("j", 1, 2), nil, start)
		finish(scheduler, job.Tasks[0], start)
		batch := job.Pending
		scheduler.End("j", start)
		require.Empty(t, job.Pending)
		job.MarkStored(batch, start)
		require.Equal(t, []string{"j-0"}, ids(job.Listed))
	})
	t.Run("an unfinished task of an expired job fails", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		job := scheduler.Add(newSpec("j", 1, 1), nil, start)
		require.Empty(t, scheduler.Expire(start.Add(39*time.Second)))
		require.Empty(t, job.Pending)
		scheduler.Expire(start.Add(40 * time.Second))
		require.Equal(t, []quetzalpier.Result{{ID: "j-0"}}, job.Pending)
	})
	t.Run("a task submitted again resumes its text", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		first := scheduler.Add(newSpec("a", 1, 2), nil, start)
		first.Tasks[0].Text.Add("one", 3)
		scheduler.End("a", start)
		second := newSpec("b", 1, 2)
		second.Tasks[0].ID = "a-0"
		require.Equal(t, []string{"one"}, scheduler.Add(second, nil, start).Tasks[0].Text.Events.List())
	})
	t.Run("a result that the trainer may not have read is listed again at once", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		first := scheduler.Add(newSpec("a", 2, 1), nil, start)
		first.Tasks[0].Text.Add("old", 2)
		scheduler.Finish(first.Tasks[0], "old score", start)
		first.Tasks[1].Spec.Reward = &quetzalpier.Reward{ID: "r"}
		first.Tasks[1].Text.Add("new", 2)
		scheduler.Finish(first.Tasks[1], "score", start.Add(4*time.Second))
		scheduler.End("a", start.Add(5*time.Second))
		second := newSpec("b", 1, 2)
		second.Tasks[0].ID, second.Tasks[1].ID = "a-0", "a-1"
		second.Tasks[1].Reward = &quetzalpier.Reward{ID: "r"}
		job := scheduler.Add(second, nil, start.Add(6*time.Second))
		require.Equal(t, []string{"a-1"}, ids(job.Pending))
		require.Equal(t, "score", job.Pending[0].Score)
		require.Equal(t, tasks.Waiting, job.Tasks[0].Phase, "the trainer read the result long before the end")
	})
	t.Run("a complete text waits for its reward, or is finished if there is none", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		spec := newSpec("a", 1, 2)
		spec.Tasks[0].Reward = &quetzalpier.Reward{ID: "r"}
		job := scheduler.Add(spec, nil, start)
		for _, task := range job.Tasks {
			task.Text.Add("text", 2)
			scheduler.Complete(task, start)
		}
		require.Equal(t, tasks.Scoring, job.Tasks[0].Phase)
		require.Equal(t, []quetzalpier.Result{{ID: "a-1", Done: true, Text: "text", Versions: []quetzalpier.Version{2}}}, job.Pending)
	})
	t.Run("a complete text is listed in a later job according to the reward there", func(t *testing.T) {
		reward, other := &quetzalpier.Reward{ID: "r"}, &quetzalpier.Reward{ID: "s"}
		for _, c := range []struct {
			name           string
			earlier, later *quetzalpier.Reward
			phase          tasks.Phase
			score          string
		}{
			{"never a reward", nil, nil, tasks.Finished, ""},
			{"same reward", reward, reward, tasks.Finished, "score"},
			{"other reward", reward, other, tasks.Scoring, ""},
			{"reward added", nil, reward, tasks.Scoring, ""},
			{"reward removed", reward, nil, tasks.Finished, ""},
		} {
			t.Run(c.name, func(t *testing.T) {
				scheduler := tasks.NewScheduler()
				spec := newSpec("a", 1, 2)
				spec.Tasks[0].Reward = c.earlier
				task := scheduler.Add(spec, nil, start).Tasks[0]
				task.Text.Add("text", 2)
				scheduler.Complete(task, start)
				if c.earlier != nil {
					scheduler.Finish(task, "score", start)
				}
				scheduler.End("a", start)
				next := newSpec("b", 1, 1)
				next.Tasks[0].ID, next.Tasks[0].Reward = "a-0", c.later
				job := scheduler.Add(next, nil, start)
				require.Equal(t, c.phase, job.Tasks[0].Phase)
				if c.phase == tasks.Finished {
					require.Equal(t, c.score, job.Pending[0].Score)
				}
			})
		}
	})
	t.Run("a text below the minimum version of the next job is discarded", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		first := scheduler.Add(newSpec("a", 1, 2), nil, start)
		first.Tasks[0].Text.Add("one", 2)
		scheduler.End("a", start)
		second := newSpec("b", 1, 2)
		second.MinVersion = 3
		second.Tasks[0].ID = "a-0"
		require.Empty(t, scheduler.Add(second, nil, start).Tasks[0].Text.Events.List())
	})
	t.Run("a single-version job rejects a text of two versions", func(t *testing.T) {
		var text tasks.Text
		text.Add("one", 2)
		text.Add("two", 3)
		require.True(t, text.MeetsPolicy(&quetzalpier.Job{MinVersion: 2}))
		require.False(t, text.MeetsPolicy(&quetzalpier.Job{MinVersion: 2, SingleVersion: true}))
	})
	t.Run("results are gathered unless few tasks are left", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		job := scheduler.Add(newSpec("j", 2, 4), nil, start)
		finish(scheduler, job.Tasks[0], start)
		require.Equal(t, 100*time.Millisecond, scheduler.FlushDelay(100*time.Millisecond, start))
		require.Equal(t, 40*time.Millisecond, scheduler.FlushDelay(100*time.Millisecond, start.Add(60*time.Millisecond)))
		for _, task := range job.Tasks[1:3] {
			finish(scheduler, task, start)
		}
		require.Positive(t, scheduler.FlushDelay(100*time.Millisecond, start), "the trainer can't use an incomplete group")
		for _, task := range job.Tasks[3:7] {
			finish(scheduler, task, start)
		}
		require.Positive(t, scheduler.FlushDelay(100*time.Millisecond, start))
		finish(scheduler, job.Tasks[7], start)
		require.Zero(t, scheduler.FlushDelay(100*time.Millisecond, start), "the trainer waits for the last group")
	})
	t.Run("results are not gathered once the groups that the trainer waits for are complete", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		spec := newSpec("j", 3, 1)
		spec.WantGroups = 2
		job := scheduler.Add(spec, nil, start)
		finish(scheduler, job.Tasks[0], start)
		require.Positive(t, scheduler.FlushDelay(100*time.Millisecond, start))
		finish(scheduler, job.Tasks[1], start)
		require.Zero(t, scheduler.FlushDelay(100*time.Millisecond, start))
	})
	t.Run("without a number of groups the last results are not gathered", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		spec := newSpec("j", 2, 4)
		spec.WantGroups = 0
		job := scheduler.Add(spec, nil, start)
		finish(scheduler, job.Tasks[0], start)
		require.Positive(t, scheduler.FlushDelay(100*time.Millisecond, start))
		finish(scheduler, job.Tasks[1], start)
		require.Zero(t, scheduler.FlushDelay(100*time.Millisecond, start))
	})
	t.Run("the longest unsaved texts are saved first", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		job := scheduler.Add(newSpec("j", 1, 3), nil, start)
		for i, events := range []int{3, 9, 20} {
			for range events {
				job.Tasks[i].Text.Add("e", 2)
			}
		}
		job.Tasks[2].SavedEvents = 15
		unsaved := scheduler.Unsaved(4, 5, start)
		require.Len(t, unsaved, 2)
		require.Equal(t, "j-1", unsaved[0].Spec.ID)
	})
	t.Run("a saved text that is shorter or below the minimum version is ignored", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		task := scheduler.Add(newSpec("j", 1, 1), nil, start).Tasks[0]
		scheduler.Restore(task, tasks.Text{Events: tasks.NewEvents("a", "b"), Versions: []quetzalpier.Version{2}})
		scheduler.Restore(task, tasks.Text{Events: tasks.NewEvents("a"), Versions: []quetzalpier.Version{2}})
		require.Len(t, task.Text.Events.List(), 2)
		scheduler.Restore(task, tasks.Text{Events: tasks.NewEvents("a", "b", "c"), Versions: []quetzalpier.Version{1}})
		require.Len(t, task.Text.Events.List(), 2, "a saved text below the minimum version is not used")
	})
	t.Run("ended jobs are dropped after the given time", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		scheduler.Add(newSpec("j", 1, 1), nil, start)
		scheduler.End("j", start)
		limits := tasks.Retention{MinAge: 10 * time.Second, MaxAge: time.Minute, MaxBytes: 100}
		require.Empty(t, scheduler.DropEnded(limits, start.Add(time.Minute)))
		require.Len(t, scheduler.DropEnded(limits, start.Add(time.Minute+1)), 1)
	})
	t.Run("the oldest ended jobs are dropped early if their texts are large", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		for i, id := range []string{"a", "b", "c"} {
			spec := newSpec(id, 1, 1)
			spec.SubmittedAt = start.Add(time.Duration(i) * time.Second)
			job := scheduler.Add(spec, []quetzalpier.Result{{ID: id + "-0", Text: strings.Repeat("x", 60)}}, start)
			scheduler.End(job.Spec.ID, start.Add(time.Duration(i)*time.Second))
		}
		limits := tasks.Retention{MinAge: 10 * time.Second, MaxAge: time.Minute, MaxBytes: 100}
		require.Empty(t, scheduler.DropEnded(limits, start.Add(10*time.Second)), "none before the least age")
		dropped := scheduler.DropEnded(limits, start.Add(20*time.Second))
		require.Len(t, dropped, 2)
		require.Contains(t, scheduler.Jobs, "c", "the newest is kept")
	})
}

// TestPositions checks that stored positions never change and that no task is
// listed twice, also if the answer to a storage transaction is lost although the
// transaction took effect.
func TestPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := tasks.NewScheduler()
		spec := newSpec("j", 3, 4)
		job := scheduler.Add(spec, nil, start)
		var stored []quetzalpier.Result
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				finish(scheduler, job.Tasks[rapid.IntRange(0, 11).Draw(t, "task")], start)
			case 1, 2:
				if len(job.Pending) == 0 || len(stored) != len(job.Listed) {
					continue
				}
				n := rapid.IntRange(1, len(job.Pending)).Draw(t, "results")
				stored = append(stored, job.Pending[:n]...)
				if rapid.Bool().Draw(t, "answered") {
					job.MarkStored(job.Pending[:n], start)
				}
			case 3:
				scheduler.Reconcile("j", append([]quetzalpier.Result(nil), stored...), start)
			}
		}
		scheduler.Reconcile("j", stored, start)
		require.Equal(t, ids(stored), ids(job.Listed))
		seen := map[string]bool{}
		for _, id := range append(ids(job.Listed), ids(job.Pending)...) {
			require.False(t, seen[id], "%s is listed twice", id)
			seen[id] = true
		}
	})
}
