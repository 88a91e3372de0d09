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
			// Its calls may outlast ctx, and must not delay the stop.
			n.background.Go(func() { n.retire(ctx, releasePools) })
			<-ctx.Done()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// retire refuses further jobs for the node's disk, releases its pools, moves its kept jobs to
// the key-value service, and then reports to the platform that the node is empty.
func (n *Node) retire(ctx context.Context, releasePools func()) {
	n.Log.Info().Msg("retiring the node")
	n.closeDisk()
	releasePools()
	for ctx.Err() == nil && n.keeper != nil && !n.keeper.SubmitAll(ctx, time.Now()) {
		sleep.For(ctx, ownerRenewInterval)
	}
	for ctx.Err() == nil {
		err := n.releaseDisk(ctx, quetzalpier.Txn{Writes: []quetzalpier.Write{platform.EncodeRetireStatus(n.Settings.Name, true)}})
		if err == nil {
			n.Log.Info().Msg("node retired: it owns no pool and keeps no job")
			return
		}
		n.Log.Warn().Err(err).Msg("retirement could not be reported to the platform; retrying")
		sleep.For(ctx, ownerRenewInterval)
	}
}

// stopLimits are the times by which the parts of a planned stop end, whatever they wait for:
// the requests in flight, the calls and connections of the node, and its log.
type stopLimits struct {
	requestedAt, requests, close, log time.Time
}

// planStop returns the limits of a stop, of which the platform kills the process once the
// grace period is over.
func planStop(requestedAt time.Time, grace time.Duration) stopLimits {
	after := func(share float64) time.Time { return requestedAt.Add(time.Duration(share * float64(grace))) }
	return stopLimits{requestedAt: requestedAt, requests: after(requestShare), close: after(closeShare), log: after(logShare)}
}

// within runs f and reports whether it ended before the deadline. Otherwise f goes on.
func within(deadline time.Time, f func()) bool {
	var call conc.WaitGroup
	done := make(chan struct{})
	call.Go(func() { defer close(done); f() })
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-done:
		call.Wait()
		return true
	case <-timer.C:
		return false
	}
}

// drain withdraws the node's address, releases its pools, serves until clients
// no longer have the address cached, and returns when no request is in flight or
// the time for requests is over. It calls unregister once no new request is accepted.
func (n *Node) drain(limits stopLimits, releasePools context.CancelFunc, runs *conc.WaitGroup, unregister func()) {
	n.Log.Info().Int("requests", n.entry.InFlight()).Msg("draining the node")
	n.entry.Drain(limits.requestedAt, limits.requests)
	ctx, cancel := context.WithDeadline(context.Background(), limits.requests)
	defer cancel()
	var tunnels conc.WaitGroup
	tunnels.Go(func() { n.tunnels.Drain(ctx) })
	defer tunnels.Wait()
	n.Board.Update(func(s *board.State) { s.Self.State = board.Draining })
	releasePools()
	if !within(limits.requests, runs.Wait) {
		n.Log.Warn().Msg("pools could not be released in time; their leases will expire")
	}
	if n.Settings.Front != "" {
		cacheExpiry := limits.requestedAt.Add(time.Duration(math.Ceil(lookupCacheFactor*n.Settings.LookupTTL.D().Seconds()))*time.Second + n.Settings.LookupTTL.D())
		sleep.For(ctx, time.Until(cacheExpiry))
		n.awaitOtherFronts(limits.requests.Add(-finishReserve))
	}
	// The key-value service may need longer for this than the requests in flight.
	n.leaving.Go(unregister)
	n.entry.Close(ctx)
}

// closeAll ends the node's work, closes its connections and flushes its log, each within
// its limit.
func (n *Node) closeAll(limits stopLimits, cancel context.CancelFunc) {
	closed := within(limits.close, func() {
		cancel()
		n.leaving.Wait()
		n.kv.Reset()
		n.background.Wait()
		n.closeDuties()
		n.direct.Close()
		n.mesh.Close()
		n.checks.Wait()
		n.links.Close()
	})
	n.Log.Info().Bool("closed", closed).Dur("took_ms", time.Since(limits.requestedAt)).Msg("node stopped")
	within(limits.log, func() { _ = n.logs.Close() })
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
