// Package poison finds requests that crash the upstreams which run them, and
// keeps them from the others.
package poison

import (
	"sort"
	"time"

	"quetzalpier/board"
)

const (
	// condemnAt is how many crashes condemn a fingerprint.
	condemnAt = 2
	// settle is how long after a crash suspects wait for their trial. Crashes
	// that have a cause in common, as the loss of a rack, are over by then, and
	// condemn nobody.
	settle = 4 * time.Second
	// TrialTime is how long a suspect runs alone before others may join it.
	TrialTime = 10 * time.Second
	// memory is how long a strike counts.
	memory = 10 * time.Minute
	// maxStrikes bounds the strikes; beyond it the oldest go, until only
	// keptStrikes are left.
	maxStrikes  = 4096
	keptStrikes = 3072
)

// Verdict tells how a request may run.
type Verdict int

// The verdicts.
const (
	Free Verdict = iota
	// Alone requests were in flight on one upstream that crashed. They run
	// with nothing beside them, so that a second crash has one suspect.
	Alone
	// Condemned requests crashed two upstreams and run no more.
	Condemned
)

// Judge tells how the request with this fingerprint may run.
func Judge(s *board.State, fingerprint uint64, now time.Time) Verdict {
	strike, ok := s.Poison[fingerprint]
	if !ok || now.Sub(strike.Last) > memory {
		return Free
	}
	if strike.Count >= condemnAt {
		return Condemned
	}
	return Alone
}

// Ready tells whether suspects may be tried: no upstream crashed lately.
func Ready(s *board.State, now time.Time) bool { return now.Sub(s.CrashedAt) >= settle }

// Crashed notes that an upstream crashed while the fingerprints were in
// flight. One fingerprint alone gets a strike more; of several, those never
// seen in a crash get their first, and the others gain none, since any of
// them may be innocent.
func Crashed(s *board.State, prints []uint64, now time.Time) []uint64 {
	s.CrashedAt = now
	var struck []uint64
	for _, fingerprint := range prints {
		strike := s.Poison[fingerprint]
		if now.Sub(strike.Last) > memory {
			strike = board.Strike{}
		}
		if strike.Count > 0 && len(prints) > 1 {
			continue
		}
		strike.Count++
		strike.Last = now
		s.Poison[fingerprint] = strike
		struck = append(struck, fingerprint)
	}
	trim(s, now)
	return struck
}

// Finished clears a fingerprint whose request ran to its end.
func Finished(s *board.State, fingerprint uint64) {
	if strike, ok := s.Poison[fingerprint]; ok && strike.Count < condemnAt {
		delete(s.Poison, fingerprint)
	}
}

// Learn takes over a strike that another node has noted. It tells whether it
// was news.
func Learn(s *board.State, fingerprint uint64, count int, age time.Duration, now time.Time) bool {
	if age < 0 || age > memory {
		return false
	}
	known := s.Poison[fingerprint]
	if known.Count >= count && now.Sub(known.Last) <= memory {
		return false
	}
	if at := now.Add(-age); at.After(s.CrashedAt) {
		s.CrashedAt = at
	}
	s.Poison[fingerprint] = board.Strike{Count: min(count, condemnAt), Last: now.Add(-age)}
	trim(s, now)
	return true
}

// trim drops strikes that no longer count and bounds the rest.
func trim(s *board.State, now time.Time) {
	if len(s.Poison) <= maxStrikes {
		return
	}
	for fingerprint, strike := range s.Poison {
		if now.Sub(strike.Last) > memory {
			delete(s.Poison, fingerprint)
		}
	}
	if len(s.Poison) <= maxStrikes {
		return
	}
	fingerprints := make([]uint64, 0, len(s.Poison))
	for fingerprint := range s.Poison {
		fingerprints = append(fingerprints, fingerprint)
	}
	sort.Slice(fingerprints, func(i, j int) bool {
		return s.Poison[fingerprints[i]].Last.Before(s.Poison[fingerprints[j]].Last)
	})
	for _, fingerprint := range fingerprints[:len(fingerprints)-keptStrikes] {
		delete(s.Poison, fingerprint)
	}
}
