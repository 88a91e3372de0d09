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
	// watchers is how many nodes of a failure domain ask the platform.
	watchers     = 2
	watchWait    = 4 * time.Second
	listEvery    = 2 * time.Second
	roleCheck    = time.Second
	backoffBase  = 500 * time.Millisecond
	backoffLimit = 5 * time.Second
)

// Watches tells whether this node is one of the watchers of its failure
// domain. Their number is fixed, so that the platform's load does not grow
// with the fleet.
func Watches(s *board.State) bool {
	ids := []string{s.Self.ID}
	for id, m := range s.Members {
		if m.Domain == s.Self.Domain && m.State < board.Suspect {
			ids = append(ids, id)
		}
	}
	for _, owner := range hash.Owners("watch/"+s.Self.Domain, ids, watchers) {
		if owner == s.Self.ID {
			return true
		}
	}
	return false
}

// Confirmed tells whether the configuration was known to be current within
// the bound.
func Confirmed(s *board.State, bound time.Duration, now time.Time) bool {
	return s.Config.Number > 0 && now.Sub(s.Confirmed) <= bound
}

// Watcher brings the configuration and the list of VMs from the platform to
// the board while its node is one of the watchers.
type Watcher struct {
	Board *board.Board
	KV    quetzalpier.KV
	VMs   quetzalpier.VMs
	Log   zerolog.Logger
	// Tell is called when the board has got news.
	Tell func()
	// Seed starts the jitter.
	Seed uint64

	cut atomic.Bool
}

// Cut tells whether the last call to the platform failed.
func (w *Watcher) Cut() bool { return w.cut.Load() }

// RunConfig watches the configuration until ctx ends.
func (w *Watcher) RunConfig(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(w.Seed, 1))
	backoff := backoffBase
	rev := uint64(0)
	for ctx.Err() == nil {
		if !w.watches() {
			rev = 0
			w.cut.Store(false)
			sleep.For(ctx, roleCheck)
			continue
		}
		next, err := w.watchOnce(ctx, rev)
		w.cut.Store(err != nil)
		if err != nil {
			sleep.For(ctx, backoff/2+time.Duration(rnd.Int64N(int64(backoff))))
			backoff = min(backoffLimit, 2*backoff)
			continue
		}
		rev = next
		backoff = backoffBase
	}
}

// watches lets a node that knows no current configuration ask as well, so
// that it never depends on the watchers alone.
func (w *Watcher) watches() (yes bool) {
	now := time.Now()
	w.Board.Do(func(s *board.State) { yes = Watches(s) || !Confirmed(s, 2*watchWait, now) })
	return yes
}

func (w *Watcher) watchOnce(ctx context.Context, rev uint64) (uint64, error) {
	var entry quetzalpier.Entry
	var err error
	start := time.Now()
	if rev == 0 {
		entry, err = w.KV.Get(ctx, Key)
	} else {
		entry, err = w.KV.Watch(ctx, Key, rev, watchWait)
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
		w.Log.Error().Err(err).Msg("configuration in the key-value service is unreadable")
		return rev, err
	}
	w.take(config, start)
	return entry.Rev, nil
}

func (w *Watcher) take(config quetzalpier.Config, asked time.Time) {
	taken := false
	w.Board.Update(func(s *board.State) {
		taken = s.SetConfig(config)
		if config.Number == s.Config.Number && asked.After(s.Confirmed) {
			s.Confirmed = asked
		}
	})
	if taken {
		w.Log.Info().Uint64("number", config.Number).Msg("configuration in force")
		w.Tell()
	}
}

// RunList polls the list of VMs until ctx ends.
func (w *Watcher) RunList(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(w.Seed, 2))
	for ctx.Err() == nil {
		if w.watches() {
			w.listOnce(ctx)
		}
		sleep.For(ctx, listEvery/2+time.Duration(rnd.Int64N(int64(listEvery))))
	}
}

func (w *Watcher) listOnce(ctx context.Context) {
	list, err := w.VMs.List(ctx)
	if err != nil {
		w.Log.Debug().Err(err).Msg("VM list not read")
		return
	}
	taken := false
	w.Board.Update(func(s *board.State) { taken = s.SetVMs(list, time.Now()) })
	if taken {
		w.Tell()
	}
}
