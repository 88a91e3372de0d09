// Package intake bounds what the clients of a process make it hold: the bytes of their
// requests' bodies, and their connections.
package intake

import (
	"cmp"
	"slices"
	"time"
)

// progressPeriod is the time over which the progress of a body is measured. A younger body does
// not yield.
const progressPeriod = time.Second

// ID identifies a body or a connection.
type ID uint64

// Limits bound the bodies that are held at a time.
type Limits struct {
	// Bytes is the most that all bodies hold. Bodies of up to Small bytes may hold Reserve more,
	// so that they don't wait for large ones.
	Bytes, Reserve, Small int
}

// Body is the state of a body that is read, or held for work on its request.
type Body struct {
	Held int
	// Whole is set once the body was read to its end. UsesReserve is set if it may then grow into
	// the reserve.
	Whole, UsesReserve bool
	// Answer is set once an answer is being written to its client, who reads the last part of it
	// at ArrivedAt.
	Answer bool
	// Yielding is set once the body was told to make room for others.
	Yielding             bool
	StartedAt, ArrivedAt time.Time

	// mark begins the present period, and rate is that of the one before in bytes per second.
	mark     time.Time
	markHeld int
	rate     float64
}

// Rate returns the bytes per second that have arrived lately.
func (b *Body) Rate(now time.Time) float64 {
	if now.Sub(b.ArrivedAt) >= progressPeriod {
		return 0
	}
	if b.mark.Equal(b.StartedAt) {
		return float64(b.Held) / max(now.Sub(b.StartedAt), time.Millisecond).Seconds()
	}
	return b.rate
}

func (b *Body) arrive(n int, now time.Time) {
	if period := now.Sub(b.mark); period >= progressPeriod {
		b.rate = float64(b.Held-b.markHeld) / period.Seconds()
		b.mark, b.markHeld = now, b.Held
	}
	b.Held += n
	b.ArrivedAt = now
}

// Account holds the bodies of a process. It is not safe for concurrent use.
type Account struct {
	Limits Limits
	Bodies map[ID]*Body
	// Held is the number of bytes that all bodies hold.
	Held int
}

// Decision is the answer to a body that is to grow. If it is neither granted nor pending, there
// is no room.
type Decision struct {
	Granted bool
	// Pending is set if there is room once the bodies that were told to yield are released, of
	// which Yield are to be told now.
	Pending bool
	Yield   []ID
}

// NewAccount returns an account without bodies.
func NewAccount(limits Limits) *Account { return &Account{Limits: limits, Bodies: map[ID]*Body{}} }

// Open adds a body that holds nothing.
func (a *Account) Open(id ID, now time.Time) {
	a.Bodies[id] = &Body{StartedAt: now, ArrivedAt: now, mark: now}
}

// OpenAnswer adds an answer that holds nothing. It does not yield before it is delivered.
func (a *Account) OpenAnswer(id ID, now time.Time) {
	a.Open(id, now)
	a.Bodies[id].Whole = true
}

// Deliver records that an answer is being written to its client, and that the client has read a
// part of it. From now on, it yields if the client reads nothing for a while.
func (a *Account) Deliver(id ID, now time.Time) {
	if body := a.Bodies[id]; body != nil {
		body.Answer, body.ArrivedAt = true, now
	}
}

// Fits reports whether a body of this size has room beside no other.
func (a *Account) Fits(n int) bool { return n <= a.limit(n) }

func (a *Account) limit(n int) int {
	if n <= a.Limits.Small {
		return a.Limits.Bytes + a.Limits.Reserve
	}
	return a.Limits.Bytes
}

// Grow decides whether a body may hold n bytes more. If there is no room, the unfinished bodies
// that have made less progress lately yield, the slowest first, and answers of which nothing is
// read. A whole body does not yield.
//
// A whole body that grows by what work on it needs may use the reserve.
func (a *Account) Grow(id ID, n int, now time.Time) Decision {
	body := a.Bodies[id]
	if body == nil || body.Yielding {
		return Decision{}
	}
	limit := a.limit(body.Held + n)
	if body.UsesReserve {
		limit = a.Limits.Bytes + a.Limits.Reserve
	}
	short := a.Held + n - limit
	if short <= 0 {
		body.arrive(n, now)
		a.Held += n
		return Decision{Granted: true}
	}
	for _, other := range a.Bodies {
		if other.Yielding {
			short -= other.Held
		}
	}
	var yield []ID
	for _, other := range a.slower(id, now) {
		if short <= 0 {
			break
		}
		yield = append(yield, other)
		short -= a.Bodies[other].Held
	}
	if short > 0 {
		return Decision{}
	}
	for _, other := range yield {
		a.Bodies[other].Yielding = true
	}
	return Decision{Pending: true, Yield: yield}
}

// slower returns the bodies that yield to a body, the slowest first.
func (a *Account) slower(id ID, now time.Time) []ID {
	body := a.Bodies[id]
	young := now.Sub(body.StartedAt) < progressPeriod
	var found []ID
	for other, b := range a.Bodies {
		if other == id || b.Yielding || b.Held == 0 {
			continue
		}
		if b.Answer && now.Sub(b.ArrivedAt) >= progressPeriod {
			found = append(found, other)
		}
		if !b.Whole && now.Sub(b.StartedAt) >= progressPeriod && (young || b.Rate(now) < body.Rate(now)) {
			found = append(found, other)
		}
	}
	slices.SortFunc(found, func(x, y ID) int {
		bx, by := a.Bodies[x], a.Bodies[y]
		return cmp.Or(cmp.Compare(bx.Rate(now), by.Rate(now)), bx.ArrivedAt.Compare(by.ArrivedAt), cmp.Compare(x, y))
	})
	return found
}

// Finish marks a body as whole: it does not yield from now on. It returns false if the body was
// already told to yield.
func (a *Account) Finish(id ID) bool {
	body := a.Bodies[id]
	if body == nil || body.Yielding {
		return false
	}
	body.Whole, body.UsesReserve = true, true
	return true
}

// Shrink gives back n bytes of a body.
func (a *Account) Shrink(id ID, n int) {
	if body := a.Bodies[id]; body != nil {
		body.Held -= n
		a.Held -= n
	}
}

// Release removes a body.
func (a *Account) Release(id ID) {
	if body := a.Bodies[id]; body != nil {
		a.Held -= body.Held
		delete(a.Bodies, id)
	}
}
