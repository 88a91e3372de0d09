package runner_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/vault"
)

// A new owner ran tasks of a job that had ended, since a front's notice of the job reached it
// before it had read the ends (incident UNASKED).
func TestTaskSentBeforeEndsAreRead(t *testing.T) {
	job := newJob("j", 1, manyTasks()...)
	job.SubmittedAt = time.Now().Add(-2 * cancelBound)
	r := newFixture(t, 1, func(r *fixture) {
		r.putJob(t, job)
		require.NoError(t, r.vault.End(context.Background(), job.ID, time.Now()))
		r.kv.unreadable = vault.Ends
	})
	select {
	case <-r.runner.PoolOwned():
	case <-time.After(waitTimeout):
		require.Fail(t, "the node did not take over the pool")
	}
	for range 10 {
		r.runner.OpenJob(job, time.Now())
		time.Sleep(50 * time.Millisecond)
	}
	r.kv.mu.Lock()
	r.kv.unreadable = ""
	r.kv.mu.Unlock()
	time.Sleep(time.Second)
	require.Empty(t, r.engines[0].Runs(), "tasks of a job that had ended before")
}

// A new owner ran tasks of a job that had ended, since its client submitted it again: the copy
// that a front passes on has the time of the repeated submission.
func TestRepeatedJobSentBeforeEndsAreRead(t *testing.T) {
	job := newJob("j", 1, manyTasks()...)
	job.SubmittedAt = time.Now().Add(-2 * cancelBound)
	r := newFixture(t, 1, func(r *fixture) {
		r.putJob(t, job)
		require.NoError(t, r.vault.End(context.Background(), job.ID, job.SubmittedAt.Add(time.Second)))
		r.kv.unreadable = vault.Ends
	})
	select {
	case <-r.runner.PoolOwned():
	case <-time.After(waitTimeout):
		require.Fail(t, "the node did not take over the pool")
	}
	repeated := newJob("j", 1, manyTasks()...)
	repeated.SubmittedAt = time.Now()
	r.runner.OpenJob(repeated, time.Now())
	time.Sleep(500 * time.Millisecond)
	require.Empty(t, r.engines[0].Runs(), "tasks of a job that had ended before")
}
