package conf

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/sleep"
)

const (
	// watchersPerDomain is the number of nodes of a failure domain that read from
	// the platform.
	watchersPerDomain = 2
	watchTimeout      = 4 * time.Second
	listInterval      = 2 * time.Second
	roleCheckInterval = time.Second
	backoffBase       = 500 * time.Millisecond
	backoffLimit      = 5 * time.Second
)

// Watches reports whether this node is one of the watchers of its failure domain.
// Their number is fixed, so that the platform's load does not grow with the
// number of nodes.
func Watches(s *board.State) bool {
	ids := []string{s.Self.ID}
	for id, m := range s.Members {
		if m.Domain == s.Self.Domain && m.State < board.Suspect {
			ids = append(ids, id)
		}
	}
	for _, owner := range hash.Owners("watch/"+s.Self.Domain, ids, watchersPerDomain) {
		if owner == s.Self.ID {
			return true
		}
	}
	return false
}

// ConfirmedWithin reports whether the configuration was confirmed to be current
// within maxAge before now.
func ConfirmedWithin(s *board.State, maxAge time.Duration, now time.Time) bool {
	return s.Config.Number > 0 && now.Sub(s.ConfirmedAt) <= maxAge
}

// Watcher copies the configuration and the list of VMs from the platform to the
// board while its node is one of the watchers.
type Watcher struct {
	Board *board.Board
	KV    quetzalpier.KV
	VMs   quetzalpier.VMs
	Log   zerolog.Logger
	// OnUpdate is called after the board was updated.
	OnUpdate func()
	// Seed is the seed of the jitter.
	Seed uint64

	lastCallFailed atomic.Bool
}

// LastCallFailed reports whether the last call for the configuration failed.
func (w *Watcher) LastCallFailed() bool { return w.lastCallFailed.Load() }

// WatchConfig watches the configuration until ctx ends.
func (w *Watcher) WatchConfig(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(w.Seed, 1))
	backoff := backoffBase
	rev := uint64(0)
	for ctx.Err() == nil {
		if !w.shouldWatch() {
			rev = 0
			w.lastCallFailed.Store(false)
			sleep.For(ctx, roleCheckInterval)
			continue
		}
		next, err := w.watchOnce(ctx, rev)
		w.lastCallFailed.Store(err != nil)
		if err != nil {
			sleep.For(ctx, backoff/2+time.Duration(rnd.Int64N(int64(backoff))))
			backoff = min(backoffLimit, 2*backoff)
			continue
		}
		rev = next
		backoff = backoffBase
	}
}

// shouldWatch reports whether the node reads from the platform. A node without a
// current configuration does so as well, so that it doesn't depend on the watchers
// alone.
func (w *Watcher) shouldWatch() (should bool) {
	now := time.Now()
	w.Board.Do(func(s *board.State) { should = Watches(s) || !ConfirmedWithin(s, 2*watchTimeout, now) })
	return should
}

// watchOnce reads or watches the configuration once and returns its revision.
func (w *Watcher) watchOnce(ctx context.Context, rev uint64) (uint64, error) {
	var entry quetzalpier.Entry
	var err error
	start := time.Now()
	if rev == 0 {
		entry, err = w.KV.Get(ctx, Key)
	} else {
		entry, err = w.KV.WatchKey(ctx, Key, rev, watchTimeout)
		start = time.Now().Add(-time.Second)
	}
	if err != nil {
		return rev, err
	}
	if entry.Rev == 0 {
		sleep.For(ctx, backoffBase)
		return 0, nil
	}
	var config quetzalpier.Config
	if err := json.Unmarshal(entry.Value, &config); err != nil {
		w.Log.Error().Err(err).Msg("configuration in the key-value service could not be decoded")
		return rev, err
	}
	w.apply(config, start)
	return entry.Rev, nil
}

// apply updates the board. The configuration was current at confirmedAt.
func (w *Watcher) apply(config quetzalpier.Config, confirmedAt time.Time) {
	updated := false
	w.Board.Update(func(s *board.State) {
		updated = s.SetConfig(config)
		if config.Number == s.Config.Number && confirmedAt.After(s.ConfirmedAt) {
			s.ConfirmedAt = confirmedAt
		}
	})
	if updated {
		w.Log.Info().Uint64("number", config.Number).Msg("configuration applied")
		w.OnUpdate()
	}
}

// PollVMs polls the list of VMs until ctx ends.
func (w *Watcher) PollVMs(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(w.Seed, 2))
	for ctx.Err() == nil {
		if w.shouldWatch() {
			w.listOnce(ctx)
		}
		sleep.For(ctx, listInterval/2+time.Duration(rnd.Int64N(int64(listInterval))))
	}
}

func (w *Watcher) listOnce(ctx context.Context) {
	list, err := w.VMs.List(ctx)
	if err != nil {
		w.Log.Debug().Err(err).Msg("list of VMs could not be read from the platform")
		return
	}
	updated := false
	w.Board.Update(func(s *board.State) { updated = s.SetVMs(list, time.Now()) })
	if updated && len(list.Invalid) > 0 {
		w.Log.Warn().Uint64("number", list.Number).Int("count", len(list.Invalid)).AnErr("first", list.Invalid[0]).Msg("entries of the list of VMs are invalid")
	}
	if updated {
		w.OnUpdate()
	}
}
