package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/wire"
)

// TestEndWithoutRoute guards against an end that the next owner of a pool is not told of, since the
// batch route of its jobs leads elsewhere by then.
func TestEndWithoutRoute(t *testing.T) {
	r := newTestEntry(t)
	r.setConfig()
	r.setStoreNodes("a")
	r.board.Update(func(s *board.State) {
		config := s.Config
		config.Number++
		config.Pools = map[string]quetzalpier.Pool{"lm": {Kind: quetzalpier.KindEngine}}
		s.SetConfig(config)
		s.Owners["p"] = board.Owner{Node: "a"}
	})
	notified := make(chan string, 64)
	r.entry.Call = func(_ context.Context, peer string, _ *wire.Call) (*wire.Reply, error) {
		notified <- peer
		return &wire.Reply{}, nil
	}
	require.Equal(t, http.StatusOK, r.endJob(t))
	time.Sleep(500 * time.Millisecond)
	r.board.Update(func(s *board.State) {
		s.Members["late"] = board.Member{ID: "late", Peer: "late:1", State: board.Alive}
		s.Owners["lm"] = board.Owner{Node: "late"}
	})
	for deadline := time.After(3 * time.Second); ; {
		select {
		case peer := <-notified:
			if peer == "late:1" {
				return
			}
		case <-deadline:
			require.Fail(t, "the next owner was not notified")
		}
	}
}
