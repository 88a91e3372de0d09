// Package peer is what nodes share with each other: membership with suspicion
// and incarnations, digests of documents, and calls between roles.
package peer

import (
	"sort"
	"time"

	"quetzalpier/board"
	"quetzalpier/hash"
)

const (
	// suspectLimit is how long a suspect has to refute.
	suspectLimit = 4 * time.Second
	// forgetOut is how long a member that is out stays known. It outlasts the
	// loss of a region, so that the smaller side knows that it is one.
	forgetOut = 3 * time.Hour
	// forgetLeft is how long a member that left stays known, so that late news
	// does not bring it back.
	forgetLeft = 2 * time.Minute
)

// Merge takes over what is heard of a member; it tells whether that was news.
// A higher incarnation wins, and at the same one the worse state. News that
// this node itself is suspect is refuted by a higher incarnation.
func Merge(s *board.State, heard board.Member, now time.Time) bool {
	if heard.ID == s.Self.ID {
		return refute(s, heard)
	}
	known, ok := s.Members[heard.ID]
	if !ok && heard.Gone() {
		return false
	}
	if ok && !newer(heard, known) {
		return false
	}
	heard.Since = now
	s.Members[heard.ID] = heard
	return true
}

func newer(heard, known board.Member) bool {
	if heard.Incarnation != known.Incarnation {
		return heard.Incarnation > known.Incarnation
	}
	return heard.State > known.State
}

func refute(s *board.State, heard board.Member) bool {
	if heard.Incarnation < s.Self.Incarnation || heard.State <= s.Self.State {
		return false
	}
	s.Self.Incarnation = heard.Incarnation + 1
	return true
}

// Doubt suspects a member that did not answer.
func Doubt(s *board.State, id string, now time.Time) bool {
	m, ok := s.Members[id]
	if !ok || m.State >= board.Suspect {
		return false
	}
	m.State = board.Suspect
	m.Since = now
	s.Members[id] = m
	return true
}

// Sweep puts suspects out whose time to refute is over, and forgets members
// that have long been out. It returns the members put out.
func Sweep(s *board.State, now time.Time) []string {
	var out []string
	for id, m := range s.Members {
		age := now.Sub(m.Since)
		switch {
		case m.State == board.Suspect && age >= suspectLimit:
			m.State = board.Out
			m.Since = now
			s.Members[id] = m
			out = append(out, id)
		case m.State == board.Out && age >= forgetOut, m.State == board.Left && age >= forgetLeft:
			delete(s.Members, id)
		}
	}
	sort.Strings(out)
	return out
}

// Reachable returns the ids of the members that are not out, sorted.
func Reachable(s *board.State) []string {
	var ids []string
	for id, m := range s.Members {
		if !m.Gone() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Neighbours returns the ids of the members that this node exchanges heartbeats
// with: those at distances 1, 2, 4 and so on around a ring in the order of the
// ids' hashes. Each node has as many neighbours as it is one to others, the
// logarithm of the members, and news crosses the ring in as many steps.
func Neighbours(s *board.State) []string {
	ring := ringOf(append(Reachable(s), s.Self.ID))
	self := 0
	for i, place := range ring {
		if place.id == s.Self.ID {
			self = i
		}
	}
	var ids []string
	for distance := 1; distance < len(ring); distance *= 2 {
		ids = append(ids, ring[(self+distance)%len(ring)].id)
	}
	return ids
}

type place struct {
	hash uint64
	id   string
}

func ringOf(ids []string) []place {
	ring := make([]place, len(ids))
	for i, id := range ids {
		ring[i] = place{hash.Text(id), id}
	}
	sort.Slice(ring, func(i, j int) bool {
		return ring[i].hash < ring[j].hash || (ring[i].hash == ring[j].hash && ring[i].id < ring[j].id)
	})
	return ring
}

// Usable returns the ids of the members that run a role and take new work,
// this node included, sorted.
func Usable(s *board.State, role string) []string {
	var ids []string
	if s.Self.Usable() && s.Self.Has(role) {
		ids = append(ids, s.Self.ID)
	}
	for id, m := range s.Members {
		if m.Usable() && m.Has(role) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}
