package fleet

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier/board"
	"quetzalpier/meter"
	"quetzalpier/peer"
	"quetzalpier/stand"
)

// node opens a node that knows the others at the addresses.
func node(t *testing.T, id, addr string, others map[string]string) *Node {
	t.Helper()
	n := &Node{Board: board.New(board.Member{ID: id, Peer: addr}), Meter: meter.New(), Log: zerolog.Nop()}
	mesh, err := peer.Open(addr, n.handle)
	require.NoError(t, err)
	n.mesh = mesh
	t.Cleanup(func() { n.running.Wait(); mesh.Close() })
	n.Board.Update(func(s *board.State) {
		for other, at := range others {
			s.Members[other] = board.Member{ID: other, Peer: at}
		}
	})
	return n
}

func free(t *testing.T) string {
	t.Helper()
	addr, err := stand.FreeAddr()
	require.NoError(t, err)
	return addr
}

func TestStrikes(t *testing.T) {
	addrs := map[string]string{"a": free(t), "b": free(t), "c": free(t)}
	a := node(t, "a", addrs["a"], addrs)
	others := []*Node{node(t, "b", addrs["b"], addrs), node(t, "c", addrs["c"], addrs)}
	count := func(n *Node) (count int) {
		n.Board.Do(func(s *board.State) { count = s.Poison[7].Count })
		return count
	}
	a.Board.Do(func(s *board.State) { s.Poison[7] = board.Strike{Count: 1, Last: time.Now()} })
	a.struck([]uint64{7})
	for _, n := range others {
		require.Eventually(t, func() bool { return count(n) == 1 }, 20*time.Second, time.Millisecond)
	}
	t.Run("what a node knows already is not counted again", func(t *testing.T) {
		a.struck([]uint64{7})
		a.running.Wait()
		require.Equal(t, 1, count(others[0]))
	})
	t.Run("the copy that crashes a second upstream is known everywhere", func(t *testing.T) {
		a.Board.Do(func(s *board.State) { s.Poison[7] = board.Strike{Count: 2, Last: time.Now()} })
		a.struck([]uint64{7})
		for _, n := range others {
			require.Eventually(t, func() bool { return count(n) == 2 }, 20*time.Second, time.Millisecond)
		}
	})
}
