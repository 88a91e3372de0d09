package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier/board"
)

func TestStays(t *testing.T) {
	// staying counts the nodes that stay, as each of them sees the fleet.
	staying := func(states map[string]board.MemberState) int {
		members := map[string]board.Member{"store": {ID: "store"}}
		for id, state := range states {
			members[id] = board.Member{ID: id, HTTP: id + ":1", State: state}
		}
		n := 0
		for id, state := range states {
			if state == board.Draining && stays(&board.State{Self: members[id], Members: members}) {
				n++
			}
		}
		return n
	}
	t.Run("all fronts drain: a third stays", func(t *testing.T) {
		for n, stay := range map[int]int{1: 1, 2: 1, 3: 1, 4: 2, 6: 2, 71: 24} {
			states := map[string]board.MemberState{}
			for i := range n {
				states[fmt.Sprint("front-", i)] = board.Draining
			}
			require.Equal(t, stay, staying(states), "%d fronts", n)
		}
	})
	t.Run("one front in use is enough for the others to go", func(t *testing.T) {
		require.Zero(t, staying(map[string]board.MemberState{"a": board.Draining, "b": board.Alive, "c": board.Draining}))
	})
}
