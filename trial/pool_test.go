package trial_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/tasks"
	"quetzalpier/trial"
)

var (
	allWays  = trial.PoolWays{Heuristics: tasks.Heuristics{Order: true, Place: true}, Move: true, Resume: true}
	poolSeed = uint64(3)
)

// late returns the share of steps that were not whole in time, over all seeds.
func late(p trial.Pool, ways trial.PoolWays) float64 {
	missed, asked := 0, 0
	for seed := range poolSeed {
		r := trial.RunPool(p, ways, seed)
		asked += r.Asked
		for _, took := range r.Steps {
			if took > p.Due {
				missed++
			}
		}
	}
	return float64(missed) / float64(asked)
}

func TestPools(t *testing.T) {
	pools := map[string]trial.Pool{}
	for _, p := range trial.Pools() {
		pools[p.Name] = p
	}
	t.Run("one seed gives one result", func(t *testing.T) {
		require.Equal(t, trial.RunPool(pools["small/slow"], allWays, 3), trial.RunPool(pools["small/slow"], allWays, 3))
	})
	t.Run("no step is faster than its longest task", func(t *testing.T) {
		for _, took := range trial.RunPool(pools["grown/calm"], allWays, 1).Steps {
			require.Greater(t, took, time.Second)
		}
	})
	for _, p := range trial.Pools() {
		t.Run(p.Name+": ours is not later than naive", func(t *testing.T) {
			ours, naive := late(p, allWays), late(p, trial.PoolWays{})
			t.Logf("late: ours %.3f, naive %.3f", ours, naive)
			require.LessOrEqual(t, ours, naive)
		})
	}
}
