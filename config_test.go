package quetzalpier_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier"
)

// TestPoolOf guards against nodes that send one job to different pools.
func TestPoolOf(t *testing.T) {
	const jobs = 4000
	count := func(route quetzalpier.Route) map[string]int {
		counts := map[string]int{}
		for i := range jobs {
			counts[route.PoolOf(fmt.Sprint("j", i))]++
		}
		return counts
	}
	route := quetzalpier.Route{Targets: []quetzalpier.Target{{Pool: "a", Weight: 75}, {Pool: "b", Weight: 25}}}
	reversed := quetzalpier.Route{Targets: []quetzalpier.Target{{Pool: "b", Weight: 1}, {Pool: "a", Weight: 3}}}
	more := quetzalpier.Route{Targets: []quetzalpier.Target{{Pool: "a", Weight: 75}, {Pool: "b", Weight: 25}, {Pool: "c", Weight: 100}}}
	t.Run("the shares are the weights", func(t *testing.T) {
		require.InDelta(t, 0.75*jobs, count(route)["a"], 0.03*jobs)
		require.InDelta(t, 0.5*jobs, count(more)["c"], 0.03*jobs)
	})
	t.Run("order and scale of the weights do not matter, and a new pool takes jobs without moving others", func(t *testing.T) {
		for i := range jobs {
			id := fmt.Sprint("j", i)
			require.Equal(t, route.PoolOf(id), reversed.PoolOf(id))
			if pool := more.PoolOf(id); pool != "c" {
				require.Equal(t, route.PoolOf(id), pool)
			}
		}
	})
	t.Run("a target without weight gets nothing", func(t *testing.T) {
		route := quetzalpier.Route{Targets: []quetzalpier.Target{{Pool: "z"}, {Pool: "a", Weight: 1}}}
		require.Equal(t, map[string]int{"a": jobs}, count(route))
		require.Empty(t, quetzalpier.Route{}.PoolOf("j"))
	})
}

// TestJobPools guards against pools whose jobs no node runs, because routes lead elsewhere.
func TestJobPools(t *testing.T) {
	leadsTo := func(batch bool, pools ...string) (route quetzalpier.Route) {
		route.Batch = batch
		for _, pool := range pools {
			route.Targets = append(route.Targets, quetzalpier.Target{Pool: pool, Weight: 1})
		}
		return route
	}
	config := quetzalpier.Config{Pools: map[string]quetzalpier.Pool{
		"lm": {Kind: quetzalpier.KindEngine}, "chat": {Kind: quetzalpier.KindEngine}, "app": {Kind: quetzalpier.KindPlain},
	}}
	require.Equal(t, []string{"chat", "lm"}, config.JobPools(), "without routes")
	config.Routes = []quetzalpier.Route{leadsTo(true, "unlisted", "lm"), leadsTo(true, "lm"), leadsTo(false, "app")}
	require.Equal(t, []string{"chat", "lm", "unlisted"}, config.JobPools())
	require.Empty(t, (&quetzalpier.Config{}).JobPools())
}
