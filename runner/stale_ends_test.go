package runner_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/stand"
	"quetzalpier/vault"
)

// WatchPrefix leaves a watch of the hung prefix without an answer.
func (s *lossyKV) WatchPrefix(ctx context.Context, prefix string, rev uint64, wait time.Duration) (quetzalpier.Changes, error) {
	s.mu.Lock()
	hangs, out := s.hung == prefix, s.out
	s.hangs = s.hangs || hangs
	s.mu.Unlock()
	if out {
		return quetzalpier.Changes{}, &quetzalpier.RefusedError{Call: "watch", Reason: "out"}
	}
	if hangs {
		<-ctx.Done()
		return quetzalpier.Changes{}, ctx.Err()
	}
	return s.MemoryKV.WatchPrefix(ctx, prefix, rev, wait)
}

// hangWatch waits until the watch of a prefix gets no answer.
func (r *fixture) hangWatch(t *testing.T, prefix string) {
	t.Helper()
	r.kv.mu.Lock()
	r.kv.hung = prefix
	r.kv.mu.Unlock()
	require.Eventually(t, func() bool {
		r.kv.mu.Lock()
		defer r.kv.mu.Unlock()
		return r.kv.hangs
	}, waitTimeout, time.Millisecond)
}

// An owner that another node had replaced, and that heard late of the ends of jobs, went on
// starting their tasks and reward calls (incident UNASKED).
func TestTaskSentOnStaleEnds(t *testing.T) {
	t.Run("tasks", func(t *testing.T) {
		t.Parallel()
		r := newFixture(t, 1)
		r.putJob(t, newJob("j", 1, manyTasks()...))
		r.hangWatch(t, vault.Ends)
		r.requireNoRunsAfterEnd(t, "j")
	})
	t.Run("reward calls", func(t *testing.T) {
		t.Parallel()
		r := newFixture(t, 1)
		r.scorer.SetFaults(stand.WorkerFaults{Status: 500, StatusCount: 1 << 20})
		job := newJob("j", 1, 2)
		r.repeatRewards(job)
		r.putJob(t, job)
		require.Eventually(t, func() bool { return len(r.scorer.Runs()) > 0 }, waitTimeout, time.Millisecond)
		r.hangWatch(t, vault.Ends)
		require.NoError(t, r.vault.End(t.Context(), "j", time.Now()))
		time.Sleep(cancelBound)
		calls := len(r.scorer.Runs())
		time.Sleep(cancelBound)
		require.Equal(t, calls, len(r.scorer.Runs()), "a reward call was made later than %s after the end", cancelBound)
	})
	t.Run("an outage holds no work back", func(t *testing.T) {
		t.Parallel()
		r := newFixture(t, 1)
		job := newJob("j", 1, manyTasks()...)
		r.putJob(t, job)
		require.Eventually(t, func() bool { return len(r.engines[0].Runs()) > 8 }, waitTimeout, time.Millisecond)
		r.kvFailed.Store(true)
		r.kv.mu.Lock()
		r.kv.out = true
		r.kv.mu.Unlock()
		time.Sleep(cancelBound)
		runs := len(r.engines[0].Runs())
		require.Eventually(t, func() bool { return len(r.engines[0].Runs()) > runs }, waitTimeout, time.Millisecond)
	})
}
