package wire

import (
	"time"

	"quetzalpier"
)

// Millis returns a duration that a message holds in milliseconds, or the longest valid one
// if it is longer. The conversion of a larger number would be negative.
func Millis(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(quetzalpier.MaxDuration.Milliseconds()))) * time.Millisecond
}
