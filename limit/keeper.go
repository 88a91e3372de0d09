package limit

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/board"
)

// countWindow is the time over which the requests to a limited upstream are counted
// for the log.
const countWindow = 4 * time.Second

// Keeper implements quetzalpier.Limits on a node's board.
type Keeper struct {
	Board *board.Board
	Log   zerolog.Logger
}

var _ quetzalpier.Limits = (*Keeper)(nil)

// Admit implements quetzalpier.Limits.
func (k *Keeper) Admit(_ context.Context, vm quetzalpier.VM, now time.Time) error {
	k.count(vm, now)
	return nil
}

// count counts a request to a limited upstream and logs the count of each window.
func (k *Keeper) count(vm quetzalpier.VM, now time.Time) {
	sent, perSecond := 0, 0.0
	k.Board.Do(func(s *board.State) {
		u := s.Upstreams[vm.ID]
		if u == nil || !u.Limit.Named {
			return
		}
		if now.Sub(u.Limit.WindowAt) >= countWindow {
			sent, perSecond = u.Limit.Sent, u.Limit.PerSecond
			u.Limit.Sent, u.Limit.WindowAt = 0, now
		}
		u.Limit.Sent++
	})
	if sent > 0 {
		k.Log.Info().Str("upstream", vm.ID).Float64("per_second", perSecond).Int("sent", sent).Dur("window_ms", countWindow).Msg("requests sent to a limited upstream")
	}
}

// Observe implements quetzalpier.Limits.
func (k *Keeper) Observe(vm quetzalpier.VM, named quetzalpier.Limit, sentAt, now time.Time) {
	var before quetzalpier.Limit
	changed := false
	k.Board.Do(func(s *board.State) {
		if u := s.Upstreams[vm.ID]; u != nil && u.VM.Incarnation == vm.Incarnation {
			before = u.Limit.Limit
			changed = Observe(u, named, sentAt, now)
		}
	})
	if changed {
		k.Log.Info().Str("upstream", vm.ID).Str("pool", vm.Pool).Bool("named", named.Named).Float64("per_second", named.PerSecond).
			Bool("before", before.Named).Float64("before_per_second", before.PerSecond).Msg("upstream changed its limit")
	}
}

// Invalid implements quetzalpier.Limits.
func (k *Keeper) Invalid(vm quetzalpier.VM, err error) {
	k.Log.Warn().Str("upstream", vm.ID).Str("pool", vm.Pool).Err(err).Msg("limit of an upstream could not be decoded")
}
