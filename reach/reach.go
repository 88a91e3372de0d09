// Package reach keeps which upstreams a node reaches over connections of its own. A node
// that other nodes and clients reach may still be partitioned from some or all upstreams.
package reach

import (
	"time"

	"quetzalpier/board"
	"quetzalpier/sleep"
)

const (
	// retryBase and retryMax bound the time between two connections that are tried to an
	// upstream which this node does not reach.
	retryBase = 250 * time.Millisecond
	retryMax  = 2 * time.Second
)

// RecordReached records that a connection to the upstream was established, and reports
// whether the path was lost before. The other paths count as lost no longer then: most
// partitions end for all upstreams at once, and requests find out about the rest.
func RecordReached(s *board.State, id string, now time.Time) (regained bool) {
	u := s.Upstreams[id]
	if u == nil {
		return false
	}
	regained = u.Path.Lost()
	u.Path = board.Path{ReachedAt: now}
	if !regained {
		return false
	}
	for _, other := range s.Upstreams {
		if other.Path.Lost() {
			other.Path = board.Path{ReachedAt: other.Path.ReachedAt}
		}
	}
	return true
}

// RecordLost records that a connection to the upstream could not be established, and
// reports whether the path was not lost before.
func RecordLost(s *board.State, id string, now time.Time) (lost bool) {
	u := s.Upstreams[id]
	if u == nil {
		return false
	}
	lost = !u.Path.Lost()
	if lost {
		u.Path.LostAt = now
	}
	u.Path.Failures++
	u.Path.RetryAt = now.Add(sleep.Backoff(u.Path.Failures, retryBase, retryMax, 0))
	return lost
}

// Count returns how many upstreams of a pool stay, and to how many of them the path is
// lost.
func Count(s *board.State, pool string) (upstreams, lost int) {
	for _, u := range s.Upstreams {
		if u.VM.Pool != pool || u.Leaving() {
			continue
		}
		upstreams++
		if u.Path.Lost() {
			lost++
		}
	}
	return upstreams, lost
}

// Partitioned reports whether this node reaches no upstream of a pool.
func Partitioned(s *board.State, pool string) bool {
	upstreams, lost := Count(s, pool)
	return upstreams > 0 && lost == upstreams
}
