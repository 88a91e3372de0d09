// Package peer implements the protocol between nodes: gossip membership with
// suspicion and incarnations, digests of documents, and calls between roles.
package peer

import (
	"sort"
	"time"

	"quetzalpier/board"
	"quetzalpier/hash"
)

const (
	// suspectTimeout is how long a suspect has to refute the suspicion.
	suspectTimeout = 4 * time.Second
	// failedRetention is how long a failed member is kept. It exceeds the outage of
	// a region, so that the smaller side still knows that it is a minority.
	failedRetention = 3 * time.Hour
	// leftRetention is how long a member that left is kept, so that delayed gossip
	// does not add it again.
	leftRetention = 2 * time.Minute
)

// Merge merges a received member state and reports whether it changed anything. A
// higher incarnation wins, and at the same incarnation the worse state. A worse
// state of this node itself is refuted with a higher incarnation.
func Merge(s *board.State, received board.Member, now time.Time) bool {
	if received.ID == s.Self.ID {
		return refute(s, received)
	}
	known, ok := s.Members[received.ID]
	if !ok && received.FailedOrLeft() {
		return false
	}
	if ok && !supersedes(received, known) {
		return false
	}
	received.Since = now
	s.Members[received.ID] = received
	return true
}

func supersedes(received, known board.Member) bool {
	if received.Incarnation != known.Incarnation {
		return received.Incarnation > known.Incarnation
	}
	return received.State > known.State
}

func refute(s *board.State, received board.Member) bool {
	if received.Incarnation < s.Self.Incarnation || received.State <= s.Self.State {
		return false
	}
	s.Self.Incarnation = received.Incarnation + 1
	return true
}

// Suspect marks a member that did not respond as suspect. It reports whether the
// state changed.
func Suspect(s *board.State, id string, now time.Time) bool {
	m, ok := s.Members[id]
	if !ok || m.State >= board.Suspect {
		return false
	}
	m.State = board.Suspect
	m.Since = now
	s.Members[id] = m
	return true
}

// Sweep declares suspects failed whose refutation time has passed and deletes
// members whose retention time has passed. It returns the sorted ids of the
// members that it declared failed.
func Sweep(s *board.State, now time.Time) []string {
	var failed []string
	for id, m := range s.Members {
		age := now.Sub(m.Since)
		switch {
		case m.State == board.Suspect && age >= suspectTimeout:
			m.State = board.Failed
			m.Since = now
			s.Members[id] = m
			failed = append(failed, id)
		case m.State == board.Failed && age >= failedRetention, m.State == board.Left && age >= leftRetention:
			delete(s.Members, id)
		}
	}
	sort.Strings(failed)
	return failed
}

// Reachable returns the sorted ids of the members that have neither failed nor
// left.
func Reachable(s *board.State) []string {
	var ids []string
	for id, m := range s.Members {
		if !m.FailedOrLeft() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Neighbours returns the ids of the members that this node exchanges heartbeats
// with: those at distances 1, 2, 4 and so on in a ring ordered by the hashes of the
// ids. Each node has log2(n) neighbours and is a neighbour of as many nodes, and an
// update crosses the ring in as many steps.
func Neighbours(s *board.State) []string {
	ring := newRing(append(Reachable(s), s.Self.ID))
	self := 0
	for i, pos := range ring {
		if pos.id == s.Self.ID {
			self = i
		}
	}
	var ids []string
	for distance := 1; distance < len(ring); distance *= 2 {
		ids = append(ids, ring[(self+distance)%len(ring)].id)
	}
	return ids
}

type ringPosition struct {
	hash uint64
	id   string
}

func newRing(ids []string) []ringPosition {
	ring := make([]ringPosition, len(ids))
	for i, id := range ids {
		ring[i] = ringPosition{hash.Text(id), id}
	}
	sort.Slice(ring, func(i, j int) bool {
		return ring[i].hash < ring[j].hash || (ring[i].hash == ring[j].hash && ring[i].id < ring[j].id)
	})
	return ring
}

// Usable returns the sorted ids of the members, including this node, that run a
// role and accept new work.
func Usable(s *board.State, role string) []string {
	var ids []string
	if s.Self.Usable() && s.Self.HasRole(role) {
		ids = append(ids, s.Self.ID)
	}
	for id, m := range s.Members {
		if m.Usable() && m.HasRole(role) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}
