// Package mirror keeps a copy of the keys under one prefix of the platform's
// key-value service.
package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/sleep"
)

const (
	// backoffBase and backoffLimit bound the pause after a failed call. The
	// limit is short against the two seconds in which news must be in force.
	backoffBase  = 100 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
)

// Mirror follows a prefix.
type Mirror struct {
	KV     quetzalpier.KV
	Prefix string
	// Wait is how long one watch waits for news, and Gap the least time between
	// two watches: each is a call that the platform counts, and keys that change
	// all the time would make as many.
	Wait time.Duration
	Gap  time.Duration
	Log  zerolog.Logger
	// Apply is told of every change. Whole tells that changed holds all keys
	// there are, not only those that changed.
	Apply func(changed []quetzalpier.Entry, whole bool, now time.Time)

	mu       sync.Mutex
	heard    time.Time
	failing  bool
	returned time.Time
}

// State tells when the service was last heard, and whether the last call to it
// failed.
type State struct {
	Heard   time.Time
	Failing bool
	// Returned is when the service was heard again after it had failed.
	Returned time.Time
}

// State returns the mirror's state.
func (m *Mirror) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{m.heard, m.failing, m.returned}
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	var rev uint64
	known := false
	failures := 0
	for ctx.Err() == nil {
		start := time.Now()
		changes, err := m.next(ctx, known, rev)
		now := time.Now()
		m.note(err, now)
		var gone *quetzalpier.GoneError
		switch {
		case err == nil:
			failures = 0
			if !known || len(changes.Entries) > 0 {
				m.Apply(changes.Entries, !known, now)
			}
			known, rev = true, changes.Rev
			sleep.For(ctx, m.Gap-now.Sub(start))
		case errors.As(err, &gone):
			known = false
		default:
			failures++
			sleep.For(ctx, backoff(failures))
		}
	}
}

func (m *Mirror) next(ctx context.Context, known bool, rev uint64) (quetzalpier.Changes, error) {
	if !known {
		return m.KV.Range(ctx, m.Prefix, false)
	}
	return m.KV.Follow(ctx, m.Prefix, rev, m.Wait)
}

func (m *Mirror) note(err error, now time.Time) {
	var gone *quetzalpier.GoneError
	failed := err != nil && !errors.As(err, &gone)
	m.mu.Lock()
	defer m.mu.Unlock()
	if failed != m.failing {
		m.Log.Warn().Str("prefix", m.Prefix).Bool("lost", failed).AnErr("cause", err).
			Dur("silent_ms", now.Sub(m.heard)).Msg("platform store")
	}
	if !failed {
		if m.failing {
			m.returned = now
		}
		m.heard = now
	}
	m.failing = failed
}

// backoff grows with the failures in a row and is spread, so that nodes don't
// come back together.
func backoff(failures int) time.Duration {
	pause := min(backoffLimit, backoffBase<<min(failures-1, 4))
	return pause/2 + rand.N(pause/2)
}
