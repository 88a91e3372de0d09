package route

import (
	"sort"
	"time"

	"quetzalpier"
	"quetzalpier/board"
)

// RoundRobin is the baseline for measurements of Pick: it uses the eligible
// upstreams in turn and ignores their load.
type RoundRobin struct {
	next int
}

// Pick returns the next upstream of the pool with a free slot.
func (r *RoundRobin) Pick(s *board.State, req Request, now time.Time) (string, bool) {
	candidates := Eligible(s, Request{Pool: req.Pool, Class: req.Class}, now)
	if len(candidates) == 0 {
		return "", false
	}
	r.next++
	return candidates[r.next%len(candidates)].VM.ID, true
}

// ListOnly is the baseline for the handling of leaving upstreams: it uses in turn
// those that are live according to the platform's list alone.
type ListOnly struct {
	next int
}

// Pick returns the next upstream that is live according to the list.
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
