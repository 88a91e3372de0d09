package trial_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/trial"
)

func shortScenario(load, name string) trial.Scenario {
	s := trial.NewScenario(load, name)
	s.Duration = 100 * time.Second
	return s
}

func TestRun(t *testing.T) {
	t.Run("one seed gives one result", func(t *testing.T) {
		for _, policy := range []trial.Policy{trial.Naive, trial.Ours} {
			first := trial.Run(shortScenario(trial.LoadSingle, "crash"), policy, 3)
			require.Equal(t, first, trial.Run(shortScenario(trial.LoadSingle, "crash"), policy, 3))
		}
	})
	t.Run("another seed gives another result", func(t *testing.T) {
		require.NotEqual(t, trial.Run(shortScenario(trial.LoadDouble, "calm"), trial.Ours, 1), trial.Run(shortScenario(trial.LoadDouble, "calm"), trial.Ours, 2))
	})
	for _, name := range trial.ScenarioNames() {
		t.Run(name+": steps complete, samples are fresh, and retries stay bounded", func(t *testing.T) {
			r := trial.Run(shortScenario(trial.LoadDouble, name), trial.Ours, 1)
			require.NotEmpty(t, r.StepTimes)
			for age := range r.Ages {
				require.LessOrEqual(t, age, uint64(4))
			}
			submitted := 0
			for _, n := range r.Submitted {
				submitted += n
			}
			require.Less(t, float64(r.Sent+r.Retries)/float64(submitted), 1.1)
		})
	}
}
