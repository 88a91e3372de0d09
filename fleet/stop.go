package fleet

import (
	"context"
	"math"
	"runtime/debug"
	"time"

	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/setup"
	"quetzalpier/sleep"
)

// await waits for the stop; a node that is to be emptied gives its pools up
// meanwhile.
func (n *Node) await(ctx context.Context, resign func()) {
	for {
		retired := false
		changed := n.Board.Changed()
		n.Board.Do(func(s *board.State) { retired = s.Retiring[s.Self.ID] })
		if retired {
			n.retire(ctx, resign)
			<-ctx.Done()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// retire tells the platform that the node is empty: nothing lasts on it.
func (n *Node) retire(ctx context.Context, resign func()) {
	n.Log.Info().Msg("node is to be emptied")
	resign()
	for ctx.Err() == nil && n.keeper != nil && !n.keeper.Bring(ctx, time.Now()) {
		sleep.For(ctx, leaseEvery)
	}
	for ctx.Err() == nil {
		_, err := n.kv.Commit(ctx, quetzalpier.Txn{Writes: []quetzalpier.Write{platform.RetireStatus(n.Settings.Name, true)}})
		if err == nil {
			n.Log.Info().Msg("node is empty")
			return
		}
		n.Log.Warn().Err(err).Msg("platform not told that the node is empty")
		sleep.For(ctx, leaseEvery)
	}
}

// stop withdraws the node's address, gives its pools up, serves on while
// clients keep old answers, and ends when no request is in flight.
func (n *Node) stop(resign context.CancelFunc, runs *conc.WaitGroup) {
	start := time.Now()
	end := start.Add(n.Settings.Grace.D() - closeLead)
	n.Log.Info().Int("requests", n.entry.InFlight()).Msg("node drains")
	n.entry.Drain()
	n.Board.Update(func(s *board.State) { s.Self.State = board.Draining })
	resign()
	runs.Wait()
	if n.Settings.Front != "" {
		kept := start.Add(time.Duration(math.Ceil(keptAnswers*n.Settings.Keep.D().Seconds()))*time.Second + n.Settings.Keep.D())
		sleep.For(context.Background(), time.Until(sleep.Earlier(kept, end)))
		n.stay(end.Add(-stayLead))
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	n.entry.Close(ctx)
}

// stay serves on while no other front would.
func (n *Node) stay(end time.Time) {
	needed := true
	for needed && time.Now().Before(end) {
		n.Board.Do(func(s *board.State) { needed = stays(s) })
		if needed {
			sleep.For(context.Background(), stayEvery)
		}
	}
}

// stays tells whether a front that drains is to serve for as long as it may:
// none is in use, and it is in the first third of those that drain. The others
// stop first and are back when these do.
//
// Load pattern: all fronts are restarted within a second.
func stays(s *board.State) bool {
	before, draining := 0, 1
	for id, m := range s.Members {
		switch {
		case m.HTTP == "" || id == s.Self.ID:
		case m.Usable():
			return false
		default:
			draining++
			if id < s.Self.ID {
				before++
			}
		}
	}
	return before < (draining+2)/3
}

// Reload takes changed settings over. Addresses stay as they are until the
// next start.
func (n *Node) Reload(settings setup.Serve, err error) {
	if err != nil {
		n.Log.Error().Err(err).Msg("settings not reloaded")
		return
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory<<20)))
	n.Log.Info().Int("memory_mb", settings.Memory).Msg("settings reloaded")
}
