package route

import (
	"time"

	"quetzalpier/board"
)

// RoundRobin is the naive baseline that Pick is measured against: it takes
// the listed upstreams in turn and knows neither load nor health.
type RoundRobin struct {
	next int
}

// Pick returns the next upstream of the pool with a free slot.
func (r *RoundRobin) Pick(s *board.State, ask Ask, now time.Time) (string, bool) {
	candidates := Eligible(s, Ask{Pool: ask.Pool, Class: ask.Class}, now)
	if len(candidates) == 0 {
		return "", false
	}
	r.next++
	return candidates[r.next%len(candidates)].VM.ID, true
}
