package route

import (
	"sort"
	"time"

	"quetzalpier"
	"quetzalpier/board"
)

// RoundRobin is the naive baseline that Pick is measured against: it takes
// the open upstreams in turn and knows no load.
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

// ListOnly is the naive baseline for leaving upstreams: it takes those in turn
// that the platform's list shows as live.
type ListOnly struct {
	next int
}

// Pick returns the next upstream that the list shows as live.
func (l *ListOnly) Pick(s *board.State, _ time.Time) string {
	var live []string
	for _, vm := range s.VMs.VMs {
		if vm.State == quetzalpier.VMLive {
			live = append(live, vm.ID)
		}
	}
	sort.Strings(live)
	l.next++
	return live[l.next%len(live)]
}
