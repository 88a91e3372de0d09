// Package sleep provides a wait that a context can cancel, pauses between retries
// and a comparison of times.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports whether d passed before ctx was done.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Backoff returns the pause before a call that failed failures times in a row is
// repeated. It doubles with each failure from base to limit. The random number
// jitter in [0,1) takes off up to half of it, so that callers don't repeat in step.
func Backoff(failures int, base, limit time.Duration, jitter float64) time.Duration {
	pause := limit
	if doublings := max(0, failures-1); doublings < maxDoublings {
		pause = min(limit, base<<doublings)
	}
	return pause - time.Duration(jitter*float64(pause/2))
}

// maxDoublings keeps the shift in Backoff far from an overflow.
const maxDoublings = 16

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
