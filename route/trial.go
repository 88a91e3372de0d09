package route

import (
	"sort"
	"time"

	"quetzalpier/board"
	"quetzalpier/hash"
)

// Reserve keeps an upstream free for a suspect request that must run alone,
// if none is kept for it yet. Each upstream is used for trials by one node
// only, so that two nodes' suspects don't meet on it.
func Reserve(s *board.State, ask Ask, now time.Time) {
	var best *board.Upstream
	for _, u := range trials(s, ask, now) {
		if u.Trial == ask.Ticket {
			return
		}
		if best == nil || u.Outstanding < best.Outstanding {
			best = u
		}
	}
	if best != nil {
		best.Trial = ask.Ticket
	}
}

// Unreserve ends every reservation of a ticket.
func Unreserve(s *board.State, ticket uint64) {
	for _, u := range s.Upstreams {
		if u.Trial == ticket {
			u.Trial = 0
		}
	}
}

// trials returns the upstreams that this node may use for a suspect, or all
// that are open if none of the pool falls to this node.
func trials(s *board.State, ask Ask, now time.Time) []*board.Upstream {
	nodes := usable(s)
	var own []*board.Upstream
	all := untried(opened(s, ask, now), ask)
	for _, u := range all {
		if hash.Owner(u.VM.ID, nodes) == s.Self.ID {
			own = append(own, u)
		}
	}
	if len(own) == 0 {
		own = all
	}
	sort.Slice(own, func(i, j int) bool { return own[i].VM.ID < own[j].VM.ID })
	return own
}

func usable(s *board.State) []string {
	nodes := []string{s.Self.ID}
	for id, m := range s.Members {
		if m.Usable() && id != s.Self.ID {
			nodes = append(nodes, id)
		}
	}
	return nodes
}
