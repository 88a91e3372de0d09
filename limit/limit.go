// Package limit decides how many requests the nodes send to an upstream that names a
// limit of the requests that it accepts from all nodes together.
package limit

import (
	"time"

	"quetzalpier"
	"quetzalpier/board"
)

// Observe records what an upstream named in its answer to a request that was sent at
// sentAt, and reports whether that differs from what was known. An answer without a
// limit ends one only if its request was sent after the limit was last named, since
// answers overtake each other.
func Observe(u *board.Upstream, limit quetzalpier.Limit, sentAt, now time.Time) bool {
	at := now
	if !limit.Named {
		at = sentAt
	}
	return Merge(u, limit, at)
}

// Merge records what an upstream named at a time, unless something newer is known, and
// reports whether that differs from what was known.
func Merge(u *board.Upstream, limit quetzalpier.Limit, at time.Time) bool {
	if at.Before(u.Limit.At) {
		return false
	}
	u.Limit.At = at
	if u.Limit.Limit == limit {
		return false
	}
	u.Limit.Limit = limit
	return true
}
