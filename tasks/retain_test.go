package tasks_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

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
	t.Run("a text of a run that the found result stopped is resumed, not scored", func(t *testing.T) {
		task := laterJob(func(_ *tasks.Scheduler, task *tasks.Task) {
			task.Phase = tasks.Running
			task.Text.Add("ours", 3)
		})
		require.Equal(t, tasks.Waiting, task.Phase)
		require.Equal(t, "ours", task.Text.Join())
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

func TestTextCompletedAfterEnd(t *testing.T) {
	for name, reward := range map[string]*quetzalpier.Reward{"with a reward": {ID: "r"}, "without a reward": nil} {
		t.Run(name+": a run that ends after its job is neither scored nor listed", func(t *testing.T) {
			scheduler := tasks.NewScheduler()
			spec := newScoredSpec("a", 2)
			spec.Tasks[0].Reward = reward
			task := scheduler.Add(spec, nil, start).Tasks[0]
			task.Phase = tasks.Running
			task.Text.Add("one", 2)
			scheduler.End("a", start)
			task.Phase = tasks.Waiting
			scheduler.Complete(task, start)
			require.Equal(t, tasks.Waiting, task.Phase)
			require.Empty(t, task.Job.Pending)
		})
	}
}

func TestTextOfFailedTask(t *testing.T) {
	for _, c := range []struct {
		name   string
		reward *quetzalpier.Reward
		fail   func(*tasks.Scheduler, *tasks.Task)
	}{
		{"failed", &quetzalpier.Reward{ID: "r"}, func(s *tasks.Scheduler, task *tasks.Task) { s.Fail(task, start) }},
		{"failed, without a reward", nil, func(s *tasks.Scheduler, task *tasks.Task) { s.Fail(task, start) }},
		{"expired", &quetzalpier.Reward{ID: "r"}, func(s *tasks.Scheduler, task *tasks.Task) { s.Expire(task.Job.Spec.ExpiresAt) }},
	} {
		t.Run(c.name+": an incomplete text is resumed in a later job", func(t *testing.T) {
			scheduler := tasks.NewScheduler()
			spec := newScoredSpec("a", 2)
			spec.Tasks[0].Reward = c.reward
			task := scheduler.Add(spec, nil, start).Tasks[0]
			task.Text.Add("one", 2)
			c.fail(scheduler, task)
			scheduler.End("a", start.Add(40*time.Second))
			later := newScoredSpec("b", 2)
			later.Tasks[0].Reward = c.reward
			later.ExpiresAt = start.Add(80 * time.Second)
			task = scheduler.Add(later, nil, start.Add(41*time.Second)).Tasks[0]
			require.Equal(t, tasks.Waiting, task.Phase)
			require.Equal(t, "one", task.Text.Join())
			require.Empty(t, task.Job.Pending)
		})
	}
	t.Run("a complete text whose reward calls failed is scored in a later job", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		task := scheduler.Add(newScoredSpec("a", 2), nil, start).Tasks[0]
		task.Text.Add("one", 2)
		scheduler.Complete(task, start)
		scheduler.Fail(task, start)
		scheduler.End("a", start)
		require.Equal(t, tasks.Scoring, scheduler.Add(newScoredSpec("b", 2), nil, start).Tasks[0].Phase)
	})
}

// TestTextsOfTwoOwners checks that each listed text is complete and has its own
// score, while two owners work on a series of jobs that hold the same tasks.
func TestTextsOfTwoOwners(t *testing.T) {
	const size, last = 3, "last"
	spec := func(n int) *quetzalpier.Job { return newScoredSpec(string(rune('a'+n)), size) }
	rapid.Check(t, func(t *rapid.T) {
		scheduler := tasks.NewScheduler()
		now, jobs, generated := start, 0, 0
		job := scheduler.Add(spec(jobs), nil, now)
		newEvent := func() string {
			generated++
			return string(rune('A'+generated/26)) + string(rune('a'+generated%26))
		}
		theirs := func(task *tasks.Task) quetzalpier.Result {
			text := newEvent() + "\n" + last
			return quetzalpier.Result{ID: task.Spec.ID, Done: true, Text: text, Versions: []quetzalpier.Version{2}, Score: scoreOf(text)}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			task := job.Tasks[rapid.IntRange(0, size-1).Draw(t, "task")]
			switch step := rapid.SampledFrom([]string{"event", "event", "event", "complete", "score", "score", "fail", "store", "found", "saved", "end"}).Draw(t, "step"); {
			case step == "event" && task.Phase <= tasks.Running:
				task.Phase = tasks.Running
				task.Text.Add(newEvent(), 2)
			case step == "complete" && task.Phase == tasks.Running:
				task.Text.Add(last, 2)
				scheduler.Complete(task, now)
			case step == "score" && task.Phase == tasks.Scoring:
				scheduler.Finish(task, scoreOf(task.Text.Join()), now)
			case step == "fail" && task.Phase != tasks.Finished:
				scheduler.Fail(task, now)
			case step == "store" && len(job.Pending) > 0:
				job.MarkStored(job.Pending, now)
			case step == "found":
				// The other owner stored results of tasks that none is listed for.
				if found := append([]quetzalpier.Result(nil), job.Listed...); !strings.Contains(strings.Join(ids(found), " "), task.Spec.ID) {
					scheduler.Reconcile(job.Spec.ID, append(found, theirs(task)), now)
				}
			case step == "saved":
				scheduler.Restore(task, tasks.Text{Events: tasks.NewEvents(newEvent(), newEvent(), newEvent()), Versions: []quetzalpier.Version{2}})
			case step == "end":
				scheduler.End(job.Spec.ID, now)
				jobs++
				job = scheduler.Add(spec(jobs), nil, now)
			}
			requireOwnScores(t, job)
			for _, result := range append(append([]quetzalpier.Result(nil), job.Listed...), job.Pending...) {
				require.True(t, !result.Done || strings.HasSuffix(result.Text, last), "task %s is listed with the incomplete text %q", result.ID, result.Text)
			}
		}
	})
}

func TestMarkSaved(t *testing.T) {
	text := func(version quetzalpier.Version, events ...string) tasks.Text {
		var text tasks.Text
		for _, event := range events {
			text.Add(event, version)
		}
		return text
	}
	for _, c := range []struct {
		name           string
		present, saved tasks.Text
		events         int
	}{
		{"the text grew while it was saved", text(2, "a", "b", "c"), text(2, "a", "b"), 2},
		{"the text was discarded", tasks.Text{}, text(2, "a", "b"), 0},
		{"the text was replaced by another one", text(2, "a", "x", "c"), text(2, "a", "b"), 0},
		{"the text was generated again by other weights", text(3, "a", "b", "c"), text(2, "a", "b"), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			task := tasks.NewScheduler().Add(newScoredSpec("a", 1), nil, start).Tasks[0]
			task.Text = c.present
			task.MarkSaved(c.saved)
			require.Equal(t, c.events, task.SavedEvents)
		})
	}
}

// TestRetainedBytes guards against texts of ended jobs that fill the memory of their owner.
func TestRetainedBytes(t *testing.T) {
	resumed := func(t *testing.T, s *tasks.Scheduler, id string, now time.Time) int {
		t.Helper()
		return s.Add(newScoredSpec(id, 2), nil, now).Tasks[0].Text.Events.Len()
	}
	end := func(s *tasks.Scheduler, id string, now time.Time, texts ...string) {
		job := s.Add(newScoredSpec(id, 2), nil, now)
		for i, text := range texts {
			job.Tasks[i].Text = tasks.Text{Events: tasks.NewEvents(text), Versions: []quetzalpier.Version{2}}
		}
		s.End(id, now)
	}
	for _, c := range []struct {
		name   string
		limit  int
		first  string
		events int
	}{
		{"without a limit", 0, strings.Repeat("x", 1000), 1},
		{"within the limit", 1001, strings.Repeat("x", 1000), 1},
		{"beyond the limit", 1000, strings.Repeat("x", 1000), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := tasks.NewScheduler()
			scheduler.MaxRetainedBytes = c.limit
			end(scheduler, "a", start, c.first)
			require.Equal(t, c.events, resumed(t, scheduler, "b", start))
		})
	}
	t.Run("a text that is resumed, replaced or has expired leaves its room", func(t *testing.T) {
		scheduler := tasks.NewScheduler()
		scheduler.MaxRetainedBytes = 10
		end(scheduler, "a", start, "123456789")
		require.Equal(t, 1, resumed(t, scheduler, "b", start))
		scheduler.Withdraw("b", start)
		end(scheduler, "c", start, "123456789")
		scheduler.DropEnded(tasks.Retention{}, start.Add(time.Minute))
		end(scheduler, "d", start.Add(time.Minute), "123456789")
		end(scheduler, "e", start.Add(time.Minute), "987654321")
		require.Equal(t, 1, resumed(t, scheduler, "f", start.Add(time.Minute)))
	})
}
