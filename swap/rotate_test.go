package swap_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/swap"
)

// engineStatuses returns engines e0, e1, ... with the given versions.
func engineStatuses(versions ...quetzalpier.Version) []swap.EngineStatus {
	list := make([]swap.EngineStatus, 0, len(versions))
	for i, version := range versions {
		list = append(list, swap.EngineStatus{ID: fmt.Sprintf("e%d", i), Version: version})
	}
	return list
}

func TestRotate(t *testing.T) {
	cases := []struct {
		name           string
		engineStatuses []swap.EngineStatus
		rotation       swap.Rotation
		want           []string
	}{
		{"half of the engines load a version", engineStatuses(1, 1, 1, 1), swap.Rotation{Target: 2, MinVersion: 1, MaxLoads: 4}, []string{"e0", "e1"}},
		{"no more than the load limit", engineStatuses(1, 1, 1, 1), swap.Rotation{Target: 2, MinVersion: 1, MaxLoads: 1}, []string{"e0"}},
		{"engines whose version the next job rejects", engineStatuses(3, 2, 3, 2), swap.Rotation{Target: 4, MinVersion: 2, NextMinVersion: 3, MaxLoads: 4}, []string{"e1", "e3"}},
		{"no engine that the next job accepts once half have the target", engineStatuses(4, 3, 4, 3), swap.Rotation{Target: 4, MinVersion: 2, NextMinVersion: 3, MaxLoads: 4}, nil},
		{"no engine with runs", []swap.EngineStatus{{ID: "a", Version: 1, Running: 1}, {ID: "b", Version: 1}}, swap.Rotation{Target: 2, MinVersion: 1, NextMinVersion: 2, MaxLoads: 2}, []string{"b"}},
		{"engines with runs if too few have an accepted version", []swap.EngineStatus{{ID: "a", Version: 1, Running: 1}, {ID: "b", Version: 1, Running: 2}}, swap.Rotation{Target: 3, MinVersion: 3, NextMinVersion: 3, MaxLoads: 2}, []string{"a"}},
		{"no engine that executes an order", []swap.EngineStatus{{ID: "a", Version: 1, Busy: true}, {ID: "b", Version: 1, Busy: true}}, swap.Rotation{Target: 2, MinVersion: 2, NextMinVersion: 2, MaxLoads: 2}, nil},
		{"a load in flight counts as done", []swap.EngineStatus{{ID: "a", Version: 1, Loading: 2, Busy: true}, {ID: "b", Version: 1}}, swap.Rotation{Target: 2, MinVersion: 1, MaxLoads: 1}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, swap.Rotate(c.engineStatuses, c.rotation))
		})
	}
}

// TestRotation simulates a trainer that publishes a version and submits a step
// every four seconds, on engines of which two load at a time, for a second each.
// A job accepts versions down to two below the newest. Every engine must have an
// accepted version after the first loads of a step, and no version may need more
// loads than half of the engines, rounded up.
func TestRotation(t *testing.T) {
	const engines = 9
	list := engineStatuses(make([]quetzalpier.Version, engines)...)
	for i := range list {
		list[i].Version = 1
	}
	for target := quetzalpier.Version(2); target < 12; target++ {
		minVersion := max(1, target-2)
		loads := 0
		for second := range 4 {
			next := quetzalpier.Version(0)
			if minVersion > 1 || target >= minVersion+2 {
				next = minVersion + 1
			}
			ids := swap.Rotate(list, swap.Rotation{Target: target, MinVersion: minVersion, NextMinVersion: next, MaxLoads: 2})
			for _, id := range ids {
				loads++
				for i := range list {
					if list[i].ID == id {
						list[i].Version = target
					}
				}
			}
			if second == 0 && target > 2 {
				for _, engine := range list {
					require.GreaterOrEqual(t, engine.Version, minVersion, "version %d: %s is below the minimum", target, engine.ID)
				}
			}
		}
		require.LessOrEqual(t, loads, (engines+1)/2, "version %d", target)
	}
}

func TestAssignEngines(t *testing.T) {
	even := []float64{1, 1, 1, 1}
	t.Run("one model has all engines", func(t *testing.T) {
		require.Equal(t, []int{36}, swap.EngineCounts(36, even[:1], 7, time.Second, 4*time.Second))
	})
	t.Run("four models have as many engines as the store can update", func(t *testing.T) {
		require.Equal(t, []int{11, 11, 11, 11}, swap.EngineCounts(36, even, 7, time.Second, 4*time.Second))
	})
	t.Run("models with longer steps have more engines, and none has too few", func(t *testing.T) {
		require.Equal(t, []int{5, 7, 15, 19}, swap.EngineCounts(36, []float64{672, 1008, 2128, 2592}, 7, time.Second, 4*time.Second))
	})
	t.Run("every model has all engines if versions are rare", func(t *testing.T) {
		require.Equal(t, []int{36, 36, 36, 36}, swap.EngineCounts(36, even, 7, time.Second, 7*time.Minute))
	})
	t.Run("every engine is assigned to a model", func(t *testing.T) {
		var ids []string
		for i := range 9 {
			ids = append(ids, fmt.Sprintf("e%d", i))
		}
		seen := map[string]bool{}
		for i, assigned := range swap.AssignEngines(ids, []int{4, 7}) {
			require.Len(t, assigned, []int{4, 7}[i])
			for _, id := range assigned {
				seen[id] = true
			}
		}
		require.Len(t, seen, 9)
	})
	t.Run("the model with the smallest share of up-to-date engines is first", func(t *testing.T) {
		order := swap.OrderByCoverage([]swap.Coverage{{"a", 3, 6}, {"b", 0, 6}, {"c", 6, 6}})
		require.Equal(t, []string{"b", "a", "c"}, order)
	})
}
