package board_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
)

// TestAddressOfLeavingUpstreamChanges guards against an upstream that gets requests again
// after it said that it is leaving.
func TestAddressOfLeavingUpstreamChanges(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := board.New(board.Member{ID: "n"})
	list := func(addr string, incarnation int64) (leaving bool) {
		b.Update(func(s *board.State) {
			s.SetListed([]quetzalpier.VM{{ID: "u", Addr: addr, Incarnation: incarnation}}, now)
			leaving = s.Upstreams["u"].Leaving()
		})
		return leaving
	}
	require.False(t, list("10.0.0.1:1", 1))
	b.Update(func(s *board.State) { s.Upstreams["u"].SaidLeaving = true })
	require.True(t, list("10.0.0.2:1", 1), "the same process at another address")
	require.False(t, list("10.0.0.2:1", 2), "another process")
}
