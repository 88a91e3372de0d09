package intake

import (
	"cmp"
	"time"
)

// Phase is what a connection waits for.
type Phase int

// Phases of a connection.
const (
	// Idle waits for a request.
	Idle Phase = iota
	// Receiving waits for the rest of a request.
	Receiving
	// Serving waits for the answer, Answering for the client to read a large one, and Closing for
	// it to read the last one.
	Serving
	Answering
	Closing
)

// staleAfter is how long a client may send nothing of a request that it has begun, or of its first
// one, or read nothing of a large answer, before its connection may be closed for another.
const staleAfter = time.Second

// Place is the state of a connection.
type Place struct {
	Phase Phase
	// Used is set once the connection brought a request.
	Used bool
	// Since is when the phase began or, while a body or a large answer is on its way, when the last
	// part of it went on.
	Since time.Time
	// Yielding is set once the connection was told to close.
	Yielding bool
}

// rank orders the places that may yield, the first one first. The second value is false for a
// place that does not yield now.
func (p *Place) rank(now time.Time) (int, bool) {
	stale := now.Sub(p.Since) >= staleAfter
	switch {
	case p.Yielding:
		return 0, false
	case p.Phase == Closing:
		return 0, true
	case p.Phase == Receiving || p.Phase == Answering:
		return 1, stale
	case p.Phase == Idle && !p.Used:
		return 2, stale
	case p.Phase == Idle:
		return 3, true
	}
	return 0, false
}

// Places holds the connections to a port. It is not safe for concurrent use.
type Places struct {
	Max   int
	Conns map[ID]*Place
	// yielding is the number of places that were told to close.
	yielding int
}

// NewPlaces returns places for count connections.
func NewPlaces(count int) *Places { return &Places{Max: count, Conns: map[ID]*Place{}} }

// Open adds a connection. If all places are taken, the connection to yield is that which has waited
// longest for the rest of its request or for its client to read, then for its first one, then for
// its next one; the older connection of two that have waited equally long. It returns false if there
// is none, and the connection is not added.
func (p *Places) Open(id ID, now time.Time) (yield ID, found, opened bool) {
	if len(p.Conns)-p.yielding >= p.Max {
		if yield, found = p.next(now); !found {
			return 0, false, false
		}
		p.Conns[yield].Yielding = true
		p.yielding++
	}
	p.Conns[id] = &Place{Since: now}
	return yield, found, true
}

func (p *Places) next(now time.Time) (next ID, found bool) {
	// Those that are told to close still hold their memory for a moment.
	if p.yielding >= max(1, p.Max/8) {
		return 0, false
	}
	best := 0
	for id, place := range p.Conns {
		rank, yields := place.rank(now)
		if !yields {
			continue
		}
		if !found || cmp.Or(cmp.Compare(rank, best), place.Since.Compare(p.Conns[next].Since), cmp.Compare(id, next)) < 0 {
			next, best, found = id, rank, true
		}
	}
	return next, found
}

// Set records that a connection is in a phase from now on.
func (p *Places) Set(id ID, phase Phase, now time.Time) {
	if place := p.Conns[id]; place != nil {
		place.Used = place.Used || phase != Idle
		place.Phase, place.Since = phase, now
	}
}

// Close removes a connection.
func (p *Places) Close(id ID) {
	place := p.Conns[id]
	if place == nil {
		return
	}
	if place.Yielding {
		p.yielding--
	}
	delete(p.Conns, id)
}
