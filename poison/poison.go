// Package poison detects requests that crash the upstreams running them, and
// stops them from being sent to further upstreams.
package poison

import (
	"sort"
	"time"

	"quetzalpier/board"
)

const (
	// blockStrikes is the number of strikes at which a fingerprint is blocked.
	blockStrikes = 2
	// trialDelay is how long after the last crash suspects wait before they run
	// alone. Crashes with a common cause, such as the loss of a rack, are over by
	// then and block no request.
	trialDelay = 4 * time.Second
	// TrialDuration is how long a suspect runs alone before the upstream gets other
	// requests again.
	TrialDuration = 10 * time.Second
	// strikeLifetime is how long after the last strike the strikes of a fingerprint
	// count.
	strikeLifetime = 10 * time.Minute
	// maxStrikes is the maximum number of fingerprints with strikes. Above it the
	// oldest are removed until strikesAfterTrim are left.
	maxStrikes       = 4096
	strikesAfterTrim = 3072
)

// Verdict states whether and how a request may run.
type Verdict int

// The verdicts.
const (
	Allowed Verdict = iota
	// Isolated requests were in flight on an upstream that crashed. They run
	// without other requests on the same upstream, so that a second crash has one
	// suspect.
	Isolated
	// Blocked requests have as many strikes as blockStrikes and are refused.
	Blocked
)

// Check returns the verdict for the request with this fingerprint.
func Check(s *board.State, fingerprint uint64, now time.Time) Verdict {
	strike, ok := s.Strikes[fingerprint]
	if !ok || now.Sub(strike.Last) > strikeLifetime {
		return Allowed
	}
	if strike.Count >= blockStrikes {
		return Blocked
	}
	return Isolated
}

// TrialAllowed reports whether suspects may run: no upstream crashed within
// trialDelay.
func TrialAllowed(s *board.State, now time.Time) bool { return now.Sub(s.CrashedAt) >= trialDelay }

// RecordCrash records that an upstream crashed while the fingerprints were in
// flight, and returns those that got a strike. A single fingerprint always gets
// one. Of several, only those without a strike get one, since any of them may be
// harmless.
func RecordCrash(s *board.State, fingerprints []uint64, now time.Time) []uint64 {
	s.CrashedAt = now
	var changed []uint64
	for _, fingerprint := range fingerprints {
		strike := s.Strikes[fingerprint]
		if now.Sub(strike.Last) > strikeLifetime {
			strike = board.Strike{}
		}
		if strike.Count > 0 && len(fingerprints) > 1 {
			continue
		}
		strike.Count++
		strike.Last = now
		s.Strikes[fingerprint] = strike
		changed = append(changed, fingerprint)
	}
	trim(s, now)
	return changed
}

// RecordCompletion removes the strikes of a fingerprint whose request completed,
// unless it is blocked.
func RecordCompletion(s *board.State, fingerprint uint64) {
	if strike, ok := s.Strikes[fingerprint]; ok && strike.Count < blockStrikes {
		delete(s.Strikes, fingerprint)
	}
}

// MergeStrikes merges the strikes of a fingerprint recorded by another node. It
// reports whether they changed the state.
func MergeStrikes(s *board.State, fingerprint uint64, count int, age time.Duration, now time.Time) bool {
	if age < 0 || age > strikeLifetime {
		return false
	}
	known := s.Strikes[fingerprint]
	if known.Count >= count && now.Sub(known.Last) <= strikeLifetime {
		return false
	}
	if at := now.Add(-age); at.After(s.CrashedAt) {
		s.CrashedAt = at
	}
	s.Strikes[fingerprint] = board.Strike{Count: min(count, blockStrikes), Last: now.Add(-age)}
	trim(s, now)
	return true
}

// trim removes expired strikes, and the oldest others, if there are more than
// maxStrikes.
func trim(s *board.State, now time.Time) {
	if len(s.Strikes) <= maxStrikes {
		return
	}
	for fingerprint, strike := range s.Strikes {
		if now.Sub(strike.Last) > strikeLifetime {
			delete(s.Strikes, fingerprint)
		}
	}
	if len(s.Strikes) <= maxStrikes {
		return
	}
	fingerprints := make([]uint64, 0, len(s.Strikes))
	for fingerprint := range s.Strikes {
		fingerprints = append(fingerprints, fingerprint)
	}
	sort.Slice(fingerprints, func(i, j int) bool {
		return s.Strikes[fingerprints[i]].Last.Before(s.Strikes[fingerprints[j]].Last)
	})
	for _, fingerprint := range fingerprints[:len(fingerprints)-strikesAfterTrim] {
		delete(s.Strikes, fingerprint)
	}
}
