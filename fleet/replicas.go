package fleet

import (
	"slices"
	"time"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/sizing"
)

// replicaPools returns the pools whose upstreams may be ordered. It returns false while
// upstreams that exist may be missing in this node's list.
func (n *Node) replicaPools(now time.Time) ([]sizing.PoolState, bool) {
	if !n.kvStable(now) {
		return nil, false
	}
	var pools []sizing.PoolState
	listed := false
	n.Board.Do(func(s *board.State) {
		listed = !s.ListedAt.IsZero()
		pools = poolStates(s)
	})
	if !listed {
		return nil, false
	}
	for i := range pools {
		pools[i].Work, pools[i].Measured = n.runner.Work(pools[i].Pool, now)
	}
	return pools, true
}

// poolStates returns the pools with their upstreams.
func poolStates(s *board.State) []sizing.PoolState {
	var pools []sizing.PoolState
	for name, pool := range s.Config.Pools {
		if pool.Replicas == nil {
			continue
		}
		state := sizing.PoolState{Pool: name, View: sizing.View{Replicas: *pool.Replicas}, Slots: pool.SlotCount()}
		var slots []int
		for _, upstream := range s.Upstreams {
			vm := upstream.VM
			if vm.Pool != name {
				continue
			}
			if upstream.Leaving() {
				vm.State = quetzalpier.VMLeaving
			}
			if vm.Slots > 0 {
				slots = append(slots, vm.Slots)
			}
			state.Upstreams = append(state.Upstreams, vm)
		}
		if len(slots) > 0 {
			slices.Sort(slots)
			state.Slots = slots[len(slots)/2]
		}
		pools = append(pools, state)
	}
	return pools
}
