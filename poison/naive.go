package poison

import (
	"time"

	"quetzalpier/board"
)

// CrashedNaive is the naive baseline that Crashed is measured against: every
// fingerprint in flight gets a strike with every crash.
func CrashedNaive(s *board.State, fingerprints []uint64, now time.Time) {
	for _, fingerprint := range fingerprints {
		strike := s.Poison[fingerprint]
		strike.Count++
		strike.Last = now
		s.Poison[fingerprint] = strike
	}
}

// JudgeNaive is the naive baseline that Judge is measured against: it knows no
// trial alone.
func JudgeNaive(s *board.State, fingerprint uint64, _ time.Time) Verdict {
	if s.Poison[fingerprint].Count >= condemnAt {
		return Condemned
	}
	return Free
}
