package poison

import (
	"time"

	"quetzalpier/board"
)

// CrashedNaive is the baseline for measurements of Crashed: every fingerprint in
// flight gets a strike at every crash.
func CrashedNaive(s *board.State, fingerprints []uint64, now time.Time) {
	for _, fingerprint := range fingerprints {
		strike := s.Poison[fingerprint]
		strike.Count++
		strike.Last = now
		s.Poison[fingerprint] = strike
	}
}

// JudgeNaive is the baseline for measurements of Judge: it never runs a request
// alone.
func JudgeNaive(s *board.State, fingerprint uint64, _ time.Time) Verdict {
	if s.Poison[fingerprint].Count >= condemnStrikes {
		return Condemned
	}
	return Free
}
