package runner_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/stand"
)

// cancelBound is the users' bound from the acknowledgement of a job's end to the last
// run of one of its tasks and its last reward call.
const cancelBound = 3 * time.Second

// manyTasks are the lengths of tasks that keep one engine busy for longer than
// cancelBound.
func manyTasks() []int {
	lengths := make([]int, 300)
	for i := range lengths {
		lengths[i] = 100
	}
	return lengths
}

// requireNoRunsAfterEnd ends a job whose tasks run, and checks that the engine gets no
// run once the bound is over.
func (r *fixture) requireNoRunsAfterEnd(t *testing.T, job string) {
	t.Helper()
	engine := r.engines[0]
	require.Eventually(t, func() bool { return len(engine.Runs()) > 8 }, waitTimeout, time.Millisecond)
	require.NoError(t, r.vault.End(t.Context(), job, time.Now()))
	time.Sleep(cancelBound)
	runs := len(engine.Runs())
	require.Less(t, runs, len(manyTasks()), "the job finished too early for this test")
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, runs, len(engine.Runs()), "runs began later than %s after the end", cancelBound)
}

// repeatRewards makes the reward call of a job's first task be repeated after each failure.
func (r *fixture) repeatRewards(job *quetzalpier.Job) {
	job.Tasks[0].Reward.Path = "/patient/r"
	r.board.Update(func(s *board.State) {
		config := s.Config
		config.Number++
		config.Routes = append(config.Routes[:len(config.Routes):len(config.Routes)],
			quetzalpier.Route{Name: "patient", Host: "h", Prefix: "/patient/", Idempotent: true, MaxAttempts: 1 << 20, Targets: []quetzalpier.Target{{Pool: "app", Weight: 1}}})
		s.SetConfig(config)
	})
}

// The owner ran tasks of jobs whose end it had not read (incident UNASKED).
func TestTaskSentAfterEnd(t *testing.T) {
	t.Run("jobs_too_large_to_read", func(t *testing.T) {
		t.Parallel()
		r := newFixture(t, 1)
		r.putJob(t, newJob("j", 1, manyTasks()...))
		require.Eventually(t, func() bool {
			listed, err := r.vault.Results(context.Background(), "j")
			return err == nil && len(listed) > 0
		}, waitTimeout, time.Millisecond)
		r.kv.mu.Lock()
		r.kv.maxReadBytes = 1 << 10
		r.kv.mu.Unlock()
		r.kv.Compact()
		r.requireNoRunsAfterEnd(t, "j")
	})
	t.Run("results_of_another_job_unreadable", func(t *testing.T) {
		t.Parallel()
		r := newFixture(t, 1, func(r *fixture) {
			r.kv.unreadable = "out/a/"
			r.putJob(t, newJob("a", 1, 2))
			r.putJob(t, newJob("j", 1, manyTasks()...))
		})
		r.requireNoRunsAfterEnd(t, "j")
	})
	t.Run("front_notifies_owner", func(t *testing.T) {
		t.Parallel()
		r := newFixture(t, 1)
		r.putJob(t, newJob("j", 1, manyTasks()...))
		require.Eventually(t, func() bool { return len(r.engines[0].Runs()) > 8 }, waitTimeout, time.Millisecond)
		r.runner.EndJob("j", time.Now(), time.Now())
		time.Sleep(100 * time.Millisecond)
		runs := len(r.engines[0].Runs())
		time.Sleep(time.Second)
		require.Equal(t, runs, len(r.engines[0].Runs()))
	})
	t.Run("reward_call_repeated", func(t *testing.T) {
		t.Parallel()
		var lines lineCounter
		r := newFixture(t, 1, func(r *fixture) { r.runner.Log = zerolog.New(&lines) })
		r.scorer.SetFaults(stand.WorkerFaults{Status: 500, StatusCount: 1 << 20})
		job := newJob("j", 1, 2)
		r.repeatRewards(job)
		r.putJob(t, job)
		// From the fifth failure on, the pause before the next call is above 0.8 s.
		require.Eventually(t, func() bool { return lines.count("reward call failed") >= 5 }, waitTimeout, time.Millisecond)
		require.NoError(t, r.vault.End(t.Context(), "j", time.Now()))
		require.Eventually(t, func() bool { return lines.count("job ended") > 0 }, waitTimeout, time.Millisecond)
		require.Positive(t, lines.count(`"level":"info","sent":`), "the run's line lacks the time at which it was sent")
		require.Positive(t, lines.count(`"reward":"rj-0","upstream":"s","sent":`))
		calls := len(r.scorer.Runs())
		time.Sleep(cancelBound)
		require.Equal(t, calls, len(r.scorer.Runs()), "a reward call was made although the owner knew of the end")
	})
}
