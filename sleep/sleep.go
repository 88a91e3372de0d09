// Package sleep provides a wait that a context can cancel and a comparison of
// times.
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

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
