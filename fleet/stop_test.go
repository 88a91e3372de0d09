package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier/board"
)

func TestKeepsServing(t *testing.T) {
	// countServing counts the draining fronts that keep serving, each by its own
	// view of the fleet.
	countServing := func(states map[string]board.MemberState) int {
		members := map[string]board.Member{"store": {ID: "store"}}
		for id, state := range states {
			members[id] = board.Member{ID: id, HTTP: id + ":1", State: state}
		}
		n := 0
		for id, state := range states {
			if state == board.Draining && keepsServing(&board.State{Self: members[id], Members: members}) {
				n++
			}
		}
		return n
	}
	t.Run("a third of the fronts keeps serving if all drain", func(t *testing.T) {
		for n, want := range map[int]int{1: 1, 2: 1, 3: 1, 4: 2, 6: 2, 71: 24} {
			states := map[string]board.MemberState{}
			for i := range n {
				states[fmt.Sprint("front-", i)] = board.Draining
			}
			require.Equal(t, want, countServing(states), "%d fronts", n)
		}
	})
	t.Run("draining fronts stop if another one is usable", func(t *testing.T) {
		require.Zero(t, countServing(map[string]board.MemberState{"a": board.Draining, "b": board.Alive, "c": board.Draining}))
	})
}
