package runner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
)

// leadElsewhere is a change of the configuration by which no batch route leads to the pool lm.
func leadElsewhere(config *quetzalpier.Config) {
	config.Pools["other"] = quetzalpier.Pool{Kind: quetzalpier.KindEngine, Models: []string{"m"}}
	config.Routes[0].Targets = []quetzalpier.Target{{Pool: "other", Weight: 1}}
}

func removeRoute(config *quetzalpier.Config) { config.Routes = config.Routes[1:] }

func removePool(config *quetzalpier.Config) {
	removeRoute(config)
	delete(config.Pools, "lm")
}

// setConfig makes a changed configuration known to the node.
func (r *fixture) setConfig(change func(*quetzalpier.Config)) {
	r.board.Update(func(s *board.State) {
		config := s.Config
		config.Number++
		change(&config)
		s.SetConfig(config)
	})
}

func (r *fixture) setOwner(owner string) {
	r.board.Update(func(s *board.State) {
		delete(s.Owners, "lm")
		if owner != "" {
			s.Owners["lm"] = board.Owner{Node: owner, Fence: 1}
		}
	})
}

// TestJobWithoutRoute guards against an open job whose tasks no node runs after its owner stopped,
// since its route leads elsewhere by then (review-6).
func TestJobWithoutRoute(t *testing.T) {
	for name, change := range map[string]func(*quetzalpier.Config){
		"the route leads to another pool": leadElsewhere,
		"the route was removed":           removeRoute,
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, 1, func(r *fixture) { r.setConfig(change) })
			r.putJob(t, newJob("j", 1, 3, 5))
			require.Equal(t, eventText("j-1", 5), r.waitResults(t, "j", 2)["j-1"].Text)
		})
	}
	t.Run("the pool was removed while another node owned it", func(t *testing.T) {
		r := newFixture(t, 1, func(r *fixture) {
			r.setOwner("former")
			r.setConfig(removePool)
		})
		r.putJob(t, newJob("j", 1, 3))
		r.setOwner("")
		r.waitResults(t, "j", 1)
	})
}

// TestEnginesWithoutBatchRoute guards against engines that stay at an old version because no batch
// route leads to their pool, so that no node owns it.
func TestEnginesWithoutBatchRoute(t *testing.T) {
	r := newFixture(t, 2, func(r *fixture) {
		r.setConfig(leadElsewhere)
		r.board.Update(func(s *board.State) { s.TargetVersions["m"] = 3 })
	})
	require.Eventually(t, func() bool {
		first, _ := r.engines[0].Version("m")
		second, _ := r.engines[1].Version("m")
		return first == 3 && second == 3
	}, waitTimeout, 10*time.Millisecond)
}
