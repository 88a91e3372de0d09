package fleet

import (
	"context"
	"time"

	"quetzalpier/board"
	"quetzalpier/poison"
	"quetzalpier/wire"
)

// strikeTimeout is the timeout of reporting a crash to another node.
const strikeTimeout = 500 * time.Millisecond

// sendStrikes reports the requests that were in flight on a crashed upstream to
// the other nodes, since copies of these requests may arrive at any node.
func (n *Node) sendStrikes(fingerprints []uint64) {
	strikes := &wire.Strikes{}
	n.Board.Do(func(s *board.State) {
		for _, fingerprint := range fingerprints {
			strikes.Strikes = append(strikes.Strikes, &wire.Strike{Print: fingerprint, Count: uint32(s.Strikes[fingerprint].Count)})
		}
	})
	n.Log.Info().Int("requests", len(fingerprints)).Msg("upstream crashed with requests in flight")
	for _, addr := range n.peerAddrs() {
		n.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), strikeTimeout)
			defer cancel()
			if _, err := n.callPeer(ctx, addr, &wire.Call{Kind: &wire.Call_Strikes{Strikes: strikes}}); err != nil {
				n.Log.Debug().Str("peer", addr).Err(err).Msg("crash could not be reported to another node")
			}
		})
	}
}

// recordStrikes records the crashes that another node reports.
func (n *Node) recordStrikes(strikes *wire.Strikes, now time.Time) {
	n.Board.Do(func(s *board.State) {
		for _, strike := range strikes.GetStrikes() {
			poison.MergeStrikes(s, strike.GetPrint(), int(strike.GetCount()), wire.Millis(strike.GetAge()), now)
		}
	})
}
