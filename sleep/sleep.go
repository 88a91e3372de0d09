// Package sleep waits in a way that a context can end.
package sleep

import (
	"context"
	"time"
)

// For waits for d; false if ctx ended first.
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
