// Package limit decides how many requests the nodes send to an upstream that names a
// limit of the requests that it accepts from all nodes together. One node grants the
// permits for it: the owner of its pool, or one that all nodes choose alike. The package
// also keeps which upstreams said that they are leaving, since both are told alike.
package limit

import (
	"math"
	"time"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
)

const (
	// minRate is the lowest rate of permits, in requests per second. The answers to
	// these requests tell when a limit of almost nothing ends.
	minRate = 0.25
	// burstTime is the time whose permits a bucket holds at most.
	burstTime = time.Second
	// askTime is the time whose permits a node asks for at once.
	askTime = 100 * time.Millisecond
	// holdTime is the longest time between placing a request and asking for its permit.
	// Later, the request has ended without asking.
	holdTime = 100 * time.Millisecond
	// askMemory is how long a node counts among those that share a limit after its
	// last question.
	askMemory = 4 * time.Second
	// urgentMemory is how long a refused urgent question takes precedence over those
	// that are not. minShare is the share of the permits that the others get
	// meanwhile, as of the grants of package admit.
	urgentMemory = time.Second
	minShare     = 0.2
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
	if u.Limit.Limit == limit {
		u.Limit.At = at
		return false
	}
	if limit.Named {
		u.Limit.Limit, u.Limit.At = limit, at
		return true
	}
	u.Limit = board.Limit{At: at, Told: u.Limit.Told}
	return true
}

// SetLeaving records that an upstream said that it is about to leave, and reports whether
// that was not known. What another node heard is not believed if the pool would be empty:
// a false word of one node costs the load that it takes from one upstream.
func SetLeaving(s *board.State, u *board.Upstream, heard bool) bool {
	if u.SaidLeaving || heard && isLast(s, u) {
		return false
	}
	u.SaidLeaving = true
	return true
}

// isLast reports whether no other upstream of the pool stays.
func isLast(s *board.State, u *board.Upstream) bool {
	for _, other := range s.Upstreams {
		if other != u && other.VM.Pool == u.VM.Pool && !other.Leaving() {
			return false
		}
	}
	return true
}

func permitRate(l quetzalpier.Limit) float64 { return max(minRate, l.PerSecond) }

// Room returns how many more requests a node may try to send to the upstream now.
func Room(u *board.Upstream, now time.Time) int {
	switch {
	case !u.Limit.Named:
		return math.MaxInt
	case now.Before(u.Limit.RetryAt):
		return 0
	}
	return max(1, int(permitRate(u.Limit.Limit)*askTime.Seconds())) - u.Limit.Asking - held(u, now)
}

// Hold records that a request was placed on the upstream and will ask for a permit, so
// that no others are placed there in vain.
func Hold(u *board.Upstream, now time.Time) {
	if u.Limit.Named {
		u.Limit.Held, u.Limit.HeldAt = held(u, now)+1, now
	}
}

// held returns the number of requests that are about to ask for a permit.
func held(u *board.Upstream, now time.Time) int {
	if now.Sub(u.Limit.HeldAt) > holdTime {
		return 0
	}
	return u.Limit.Held
}

// Grantor returns the node that grants the permits of the upstream: the owner of its
// pool, which sends most of the requests, if it is known and answers.
func Grantor(s *board.State, u *board.Upstream) board.Member {
	owner := s.Owners[u.VM.Pool].Node
	if m, known := s.Members[owner]; known && (owner == s.Self.ID || s.Answers(m)) {
		return m
	}
	var ids []string
	for id, m := range s.Members {
		if id == s.Self.ID || s.Answers(m) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return s.Self
	}
	return s.Members[hash.Owner("limit/"+u.VM.ID, ids)]
}

// Take takes a permit for a node's request from the upstream's bucket. If there is none,
// it returns after how long the node may ask again. The nodes that share the limit are
// spread over the time that they need together, by spread from 0 to 1.
//
// A bucket starts empty, so that two nodes which grant permits one after the other don't
// allow a burst each.
func Take(u *board.Upstream, node string, urgent bool, spread float64, now time.Time) (granted bool, after time.Duration) {
	b, rate := &u.Limit.Bucket, permitRate(u.Limit.Limit)
	if b.Asked == nil {
		b.Asked, b.RefilledAt = map[string]time.Time{}, now
	}
	b.Asked[node] = now
	for other, at := range b.Asked {
		if now.Sub(at) > askMemory {
			delete(b.Asked, other)
		}
	}
	u.Limit.Nodes = len(b.Asked)
	b.Tokens = min(b.Tokens+max(0, now.Sub(b.RefilledAt).Seconds())*rate, max(1, rate*burstTime.Seconds()))
	b.RefilledAt = now
	behindUrgent := !urgent && now.Sub(b.UrgentRefusedAt) < urgentMemory && spread >= minShare
	if b.Tokens >= 1 && !behindUrgent {
		b.Tokens--
		return true, 0
	}
	if urgent {
		b.UrgentRefusedAt = now
	}
	wait := (max(0, 1-b.Tokens) + spread*float64(u.Limit.Nodes-1)) / rate
	if behindUrgent {
		wait = max(wait, 1/rate)
	}
	return false, time.Duration(wait * float64(time.Second))
}

// Estimate tells how long requests wait for the limits of a pool's upstreams. Share is
// this node's share of the limits, in requests a second, and First the time until the
// first permit.
type Estimate struct {
	Share float64
	First time.Duration
}

// NewEstimate returns the estimate for a pool, by this node's share of the limits. It
// returns false unless all of the pool's upstreams name one.
func NewEstimate(s *board.State, pool string, now time.Time) (Estimate, bool) {
	e := Estimate{First: math.MaxInt64}
	for _, u := range s.Upstreams {
		if u.VM.Pool != pool || u.Leaving() {
			continue
		}
		if !u.Limit.Named {
			return Estimate{}, false
		}
		e.Share += permitRate(u.Limit.Limit) / float64(max(1, u.Limit.Nodes))
		e.First = min(e.First, max(0, u.Limit.RetryAt.Sub(now)))
	}
	return e, e.Share > 0
}

// Wait returns how long a request with ahead others before it waits.
func (e Estimate) Wait(ahead int) time.Duration {
	return e.First + time.Duration(float64(ahead)/e.Share*float64(time.Second))
}
