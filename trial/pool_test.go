package trial_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/tasks"
	"quetzalpier/trial"
)

var (
	fullPolicy = trial.PoolPolicy{Heuristics: tasks.Heuristics{Order: true, Place: true}, Move: true, Resume: true}
	seedCount  = uint64(3)
)

// lateShare returns the share of steps that took longer than their deadline, over
// all seeds.
func lateShare(p trial.Pool, policy trial.PoolPolicy) float64 {
	late, submitted := 0, 0
	for seed := range seedCount {
		r := trial.RunPool(p, policy, seed)
		submitted += r.Submitted
		for _, took := range r.StepTimes {
			if took > p.Deadline {
				late++
			}
		}
	}
	return float64(late) / float64(submitted)
}

func TestPools(t *testing.T) {
	pools := map[string]trial.Pool{}
	for _, p := range trial.Pools() {
		pools[p.Name] = p
	}
	t.Run("one seed gives one result", func(t *testing.T) {
		require.Equal(t, trial.RunPool(pools["small/slow"], fullPolicy, 3), trial.RunPool(pools["small/slow"], fullPolicy, 3))
	})
	t.Run("no step is faster than its longest task", func(t *testing.T) {
		for _, took := range trial.RunPool(pools["grown/calm"], fullPolicy, 1).StepTimes {
			require.Greater(t, took, time.Second)
		}
	})
	for _, p := range trial.Pools() {
		t.Run(p.Name+": ours is late no more often than naive", func(t *testing.T) {
			ours, naive := lateShare(p, fullPolicy), lateShare(p, trial.PoolPolicy{})
			t.Logf("late: ours %.3f, naive %.3f", ours, naive)
			require.LessOrEqual(t, ours, naive)
		})
	}
}
