package poison

import (
	"time"

	"quetzalpier/board"
)

// RecordCrashNaive is the baseline for measurements of RecordCrash: every
// fingerprint in flight gets a strike at every crash.
func RecordCrashNaive(s *board.State, fingerprints []uint64, now time.Time) {
	for _, fingerprint := range fingerprints {
		strike := s.Strikes[fingerprint]
		strike.Count++
		strike.Last = now
		s.Strikes[fingerprint] = strike
	}
}

// CheckNaive is the baseline for measurements of Check: it never isolates a
// request.
func CheckNaive(s *board.State, fingerprint uint64, _ time.Time) Verdict {
	if s.Strikes[fingerprint].Count >= blockStrikes {
		return Blocked
	}
	return Allowed
}
