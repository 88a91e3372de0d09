package fleet

import (
	"context"
	"time"

	"quetzalpier/board"
	"quetzalpier/poison"
	"quetzalpier/wire"
)

// strikeWait bounds how long another node is told of a crash.
const strikeWait = 500 * time.Millisecond

// struck tells the other nodes of requests that were in flight on an upstream
// that crashed: their copies may arrive anywhere.
func (n *Node) struck(prints []uint64) {
	strikes := &wire.Strikes{}
	n.Board.Do(func(s *board.State) {
		for _, fingerprint := range prints {
			strikes.Strikes = append(strikes.Strikes, &wire.Strike{Print: fingerprint, Count: uint32(s.Poison[fingerprint].Count)})
		}
	})
	n.Log.Info().Int("requests", len(prints)).Msg("upstream crashed with requests in flight")
	for _, addr := range n.peers() {
		n.running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), strikeWait)
			defer cancel()
			if _, err := n.call(ctx, addr, &wire.Call{Kind: &wire.Call_Strikes{Strikes: strikes}}); err != nil {
				n.Log.Debug().Str("peer", addr).Err(err).Msg("node not told of a crash")
			}
		})
	}
}

func (n *Node) learn(strikes *wire.Strikes, now time.Time) {
	n.Board.Do(func(s *board.State) {
		for _, strike := range strikes.GetStrikes() {
			poison.Learn(s, strike.GetPrint(), int(strike.GetCount()), time.Duration(strike.GetAge())*time.Millisecond, now)
		}
	})
}
