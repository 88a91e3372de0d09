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

// awaitStop waits until ctx ends. It retires the node meanwhile if the platform
// requests that.
func (n *Node) awaitStop(ctx context.Context, releasePools func()) {
	for {
		retired := false
		changed := n.Board.Changed()
		n.Board.Do(func(s *board.State) { retired = s.Retiring[s.Self.ID] })
		if retired {
			n.retire(ctx, releasePools)
			<-ctx.Done()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// retire releases the node's pools, moves its kept jobs to the key-value service,
// and then reports to the platform that the node is empty.
func (n *Node) retire(ctx context.Context, releasePools func()) {
	n.Log.Info().Msg("retiring the node")
	releasePools()
	for ctx.Err() == nil && n.keeper != nil && !n.keeper.SubmitAll(ctx, time.Now()) {
		sleep.For(ctx, ownerRenewInterval)
	}
	for ctx.Err() == nil {
		_, err := n.kv.Commit(ctx, quetzalpier.Txn{Writes: []quetzalpier.Write{platform.EncodeRetireStatus(n.Settings.Name, true)}})
		if err == nil {
			n.Log.Info().Msg("node retired: it owns no pool and keeps no job")
			return
		}
		n.Log.Warn().Err(err).Msg("retirement could not be reported to the platform; retrying")
		sleep.For(ctx, ownerRenewInterval)
	}
}

// drain withdraws the node's address, releases its pools, serves until clients
// no longer have the address cached, and returns when no request is in flight or
// the grace period ends.
func (n *Node) drain(releasePools context.CancelFunc, runs *conc.WaitGroup) {
	start := time.Now()
	end := start.Add(n.Settings.StopTimeout.D() - closeReserve)
	n.Log.Info().Int("requests", n.entry.InFlight()).Msg("draining the node")
	n.entry.Drain()
	tunnelCtx, stopTunnels := context.WithDeadline(context.Background(), end)
	defer stopTunnels()
	var tunnels conc.WaitGroup
	tunnels.Go(func() { n.tunnels.Drain(tunnelCtx) })
	defer tunnels.Wait()
	n.Board.Update(func(s *board.State) { s.Self.State = board.Draining })
	releasePools()
	runs.Wait()
	if n.Settings.Front != "" {
		cacheExpiry := start.Add(time.Duration(math.Ceil(lookupCacheFactor*n.Settings.LookupTTL.D().Seconds()))*time.Second + n.Settings.LookupTTL.D())
		sleep.For(context.Background(), time.Until(sleep.Earlier(cacheExpiry, end)))
		n.awaitOtherFronts(end.Add(-finishReserve))
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	n.entry.Close(ctx)
}

// awaitOtherFronts waits, while the node serves, until another front can serve
// in its place or end is reached.
func (n *Node) awaitOtherFronts(end time.Time) {
	needed := true
	for needed && time.Now().Before(end) {
		n.Board.Do(func(s *board.State) { needed = keepsServing(s) })
		if needed {
			sleep.For(context.Background(), frontPollInterval)
		}
	}
}

// keepsServing reports whether a draining front must serve until the end of its
// grace period: no front is usable, and this one is in the first third of the
// draining ones by name. The others stop first and have restarted when these
// stop. This covers a restart of all fronts within a second.
func keepsServing(s *board.State) bool {
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

// Reload applies changed settings. Addresses change only with a restart.
func (n *Node) Reload(settings setup.Serve, err error) {
	if err != nil {
		n.Log.Error().Err(err).Msg("settings could not be reloaded")
		return
	}
	debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryMiB<<20)))
	n.Log.Info().Int("memory_mb", settings.MemoryMiB).Msg("settings reloaded")
}
