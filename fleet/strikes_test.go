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

// openNode opens a node that knows the other nodes and their addresses.
func openNode(t *testing.T, id, addr string, others map[string]string) *Node {
	t.Helper()
	n := &Node{Board: board.New(board.Member{ID: id, Peer: addr}), Meter: meter.New(), Log: zerolog.Nop()}
	mesh, err := peer.Open(addr, n.handleCall, nil)
	require.NoError(t, err)
	n.mesh = mesh
	t.Cleanup(func() { n.background.Wait(); mesh.Close() })
	n.Board.Update(func(s *board.State) {
		for other, at := range others {
			s.Members[other] = board.Member{ID: other, Peer: at}
		}
	})
	return n
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := stand.FreeAddr()
	require.NoError(t, err)
	return addr
}

func TestStrikes(t *testing.T) {
	addrs := map[string]string{"a": freeAddr(t), "b": freeAddr(t), "c": freeAddr(t)}
	a := openNode(t, "a", addrs["a"], addrs)
	others := []*Node{openNode(t, "b", addrs["b"], addrs), openNode(t, "c", addrs["c"], addrs)}
	count := func(n *Node) (count int) {
		n.Board.Do(func(s *board.State) { count = s.Strikes[7].Count })
		return count
	}
	a.Board.Do(func(s *board.State) { s.Strikes[7] = board.Strike{Count: 1, Last: time.Now()} })
	a.sendStrikes([]uint64{7})
	for _, n := range others {
		require.Eventually(t, func() bool { return count(n) == 1 }, 20*time.Second, time.Millisecond)
	}
	t.Run("a repeated report is not counted again", func(t *testing.T) {
		a.sendStrikes([]uint64{7})
		a.background.Wait()
		require.Equal(t, 1, count(others[0]))
	})
	t.Run("a second crash by the same request is reported to all nodes", func(t *testing.T) {
		a.Board.Do(func(s *board.State) { s.Strikes[7] = board.Strike{Count: 2, Last: time.Now()} })
		a.sendStrikes([]uint64{7})
		for _, n := range others {
			require.Eventually(t, func() bool { return count(n) == 2 }, 20*time.Second, time.Millisecond)
		}
	})
}
