package runner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

// ownPool waits until the node owns the pool.
func (r *fixture) ownPool(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return len(r.lease.Names()) > 0 && r.runner.IsStandby("lm") }, waitTimeout, time.Millisecond)
}

func (r *fixture) read(t *testing.T, job string) *wire.Results {
	t.Helper()
	return r.runner.Read(t.Context(), &wire.Read{Job: job})
}

// TestJobOfAnotherPool guards against two owners of one job: clients submit a job at several
// nodes, which may send it to different pools of a split route.
func TestJobOfAnotherPool(t *testing.T) {
	foreign := func() *quetzalpier.Job {
		job := newJob("j", 1, 40)
		job.Pool = "other"
		return job
	}
	runs := func(r *fixture) int { return len(r.engines[0].Runs()) }
	stored := func(t *testing.T, r *fixture) []quetzalpier.Result {
		t.Helper()
		results, err := r.vault.Results(t.Context(), "j")
		require.NoError(t, err)
		return results
	}
	t.Run("one that is stored for another pool is not run", func(t *testing.T) {
		r := newFixture(t, 1)
		r.ownPool(t)
		r.putJob(t, foreign())
		// The watch shows a later job after the foreign one.
		r.putJob(t, newJob("k", 1, 1))
		r.waitResults(t, "k", 1)
		before := runs(r)
		r.runner.OpenJob(newJob("j", 1, 40), time.Now())
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, before, runs(r))
		require.False(t, r.read(t, "j").GetKnown())
	})
	t.Run("one that is then stored for another pool is withdrawn", func(t *testing.T) {
		r := newFixture(t, 1)
		r.ownPool(t)
		r.runner.OpenJob(newJob("j", 1, 400), time.Now())
		require.Eventually(t, func() bool { return runs(r) > 0 }, waitTimeout, time.Millisecond)
		require.False(t, r.read(t, "j").GetKnown(), "nothing is read before the job is stored")
		r.putJob(t, foreign())
		require.Eventually(t, func() bool { return r.engines[0].Streaming() == 0 }, waitTimeout, time.Millisecond)
		r.runner.OpenJob(newJob("j", 1, 40), time.Now())
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 1, runs(r))
		require.Empty(t, stored(t, r))
		require.False(t, r.read(t, "j").GetKnown())
	})
	t.Run("one whose record the watch of jobs does not show is looked up", func(t *testing.T) {
		r := newFixture(t, 1, func(r *fixture) { r.kv.hung = vault.Jobs })
		r.ownPool(t)
		// The read of all jobs, which comes before the watch, would show the record.
		require.Eventually(t, func() bool {
			r.kv.mu.Lock()
			defer r.kv.mu.Unlock()
			return r.kv.hangs
		}, waitTimeout, time.Millisecond)
		r.putJob(t, foreign())
		r.runner.OpenJob(newJob("j", 1, 40), time.Now())
		require.Eventually(t, func() bool { return runs(r) > 0 }, waitTimeout, time.Millisecond)
		time.Sleep(time.Second)
		require.Empty(t, stored(t, r))
		require.False(t, r.read(t, "j").GetKnown())
	})
	t.Run("one that is stored nowhere is stored by the owner", func(t *testing.T) {
		r := newFixture(t, 1)
		r.ownPool(t)
		job := newJob("j", 1, 40)
		expiresAt := job.ExpiresAt
		r.runner.OpenJob(job, time.Now())
		r.waitResults(t, "j", 1)
		found, err := r.vault.Get(t.Context(), "j")
		require.NoError(t, err)
		require.Equal(t, "lm", found.Pool)
		require.Equal(t, expiresAt.UnixMilli(), found.ExpiresAt.UnixMilli())
		require.True(t, r.read(t, "j").GetKnown())
	})
}
