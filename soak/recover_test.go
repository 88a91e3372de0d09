package soak_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier/soak"
)

const (
	// partitionedFor is how long a node has been partitioned when the requests of its
	// clients begin to count.
	partitionedFor = 3 * time.Second
	viewTimeout    = 800 * time.Millisecond
	viewCount      = 30
	viewPause      = 50 * time.Millisecond
)

// servedViews sends single requests to each of the fronts in turn and returns how many
// each served.
func servedViews(t *testing.T, name string, fronts ...*soak.Node) map[string]int {
	t.Helper()
	var mu sync.Mutex
	served := map[string]int{}
	var views conc.WaitGroup
	for i := range viewCount {
		for _, n := range fronts {
			views.Go(func() {
				err := n.View(t.Context(), fmt.Sprintf("%s-%s-%d", name, n.Settings.Name, i), viewTimeout)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					served[n.Settings.Name]++
				}
			})
		}
		time.Sleep(viewPause)
	}
	views.Wait()
	return served
}

// TestPartitionedFrontServes guards against fronts that don't serve their clients while
// they are partitioned from the upstreams that other nodes reach.
func TestPartitionedFrontServes(t *testing.T) {
	cases := []struct {
		name string
		mode soak.Mode
		// fresh fronts have no connections when they are partitioned.
		fresh bool
	}{
		{"all paths are silent", soak.Partition, false},
		{"all paths are silent, and no connection was opened before", soak.Partition, true},
		{"what the upstreams send is lost", soak.Lost, false},
		{"new connections are refused", soak.Refuse, true},
		{"open connections are reset, and new ones refused", soak.ResetRefuse, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := openRigWith(t, soak.Options{Fronts: 3, Stores: 2, Engines: 1, Plains: 3, EventInterval: 20 * time.Millisecond, Partitions: true})
			require.True(t, r.WaitReady(t.Context(), 15*time.Second))
			time.Sleep(time.Second)
			if !c.fresh {
				servedViews(t, "before", r.Fronts...)
			}
			for _, n := range r.Fronts[:2] {
				require.NoError(t, n.Partition(c.mode))
			}
			time.Sleep(partitionedFor)
			served := servedViews(t, "during", r.Fronts...)
			for _, n := range r.Fronts[:2] {
				require.NoError(t, n.Partition(soak.Pass))
			}
			for _, n := range r.Fronts {
				require.GreaterOrEqual(t, 3*served[n.Settings.Name], 2*viewCount, "served of %d by front: %v", viewCount, served)
			}
			time.Sleep(partitionedFor)
			after := servedViews(t, "after", r.Fronts...)
			for _, n := range r.Fronts {
				require.Equal(t, viewCount, after[n.Settings.Name], "served after the partition: %v", after)
			}
		})
	}
}

// TestPartitionBlocksNoRequest guards against a partition that is taken for crashes of the
// upstreams, whose requests in flight all nodes then refuse.
func TestPartitionBlocksNoRequest(t *testing.T) {
	t.Parallel()
	r := openRigWith(t, soak.Options{Fronts: 2, Stores: 2, Engines: 1, Plains: 2, EventInterval: 20 * time.Millisecond, Partitions: true})
	for _, w := range r.Plains {
		w.EventInterval = viewTimeout / 2
	}
	require.True(t, r.WaitReady(t.Context(), 15*time.Second))
	time.Sleep(time.Second)
	partitioned, other := r.Fronts[0], r.Fronts[1]
	var views conc.WaitGroup
	for range 6 {
		// Whether these are served is not the point.
		views.Go(func() { _ = partitioned.View(t.Context(), "same", viewTimeout) })
	}
	time.Sleep(viewTimeout / 4)
	require.NoError(t, partitioned.Partition(soak.ResetRefuse))
	views.Wait()
	time.Sleep(time.Second)
	for _, n := range []*soak.Node{other, partitioned} {
		require.NoError(t, n.View(t.Context(), "same", 2*viewTimeout))
	}
}

// TestPartitionedOwnerHandsOver guards against steps that wait until the owner of the pool
// reaches the engines again, which other nodes reach all the while.
func TestPartitionedOwnerHandsOver(t *testing.T) {
	for _, mode := range []soak.Mode{soak.Partition, soak.Refuse, soak.ResetRefuse} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			r := openRigWith(t, soak.Options{Fronts: 2, Stores: 3, Engines: 3, Plains: 2, EventInterval: 20 * time.Millisecond, Partitions: true})
			ledger := soak.RunWithFaults(t.Context(), r, 3, 14*time.Second, func() {
				time.Sleep(2 * time.Second)
				owner := r.Owner(t.Context())
				require.NotNil(t, owner)
				require.NoError(t, owner.Partition(mode))
			})
			t.Log(ledger.Summary())
			require.Empty(t, ledger.Violations)
			require.Zero(t, ledger.LateSteps)
			// A step takes about a second.
			require.GreaterOrEqual(t, ledger.Steps, 6)
		})
	}
}
