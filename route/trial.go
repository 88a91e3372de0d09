package route

import (
	"sort"
	"time"

	"quetzalpier/board"
	"quetzalpier/hash"
)

// Reserve reserves an upstream for a suspect request that must run alone, unless
// one is already reserved for it. Each upstream is used for trials by one node
// only, so that suspects of two nodes do not run on it together.
func Reserve(s *board.State, req Request, now time.Time) {
	var best *board.Upstream
	for _, u := range trialUpstreams(s, req, now) {
		if u.SuspectTicket == req.Ticket {
			return
		}
		if best == nil || u.Outstanding < best.Outstanding {
			best = u
		}
	}
	if best != nil {
		best.SuspectTicket = req.Ticket
	}
}

// Unreserve removes every reservation of a ticket.
func Unreserve(s *board.State, ticket uint64) {
	for _, u := range s.Upstreams {
		if u.SuspectTicket == ticket {
			u.SuspectTicket = 0
		}
	}
}

// trialUpstreams returns the open upstreams on which this node may try a suspect:
// those that hashing assigns to this node, or all if none is assigned to it.
func trialUpstreams(s *board.State, req Request, now time.Time) []*board.Upstream {
	nodes := usableNodes(s)
	var own []*board.Upstream
	all := preferUntried(openUpstreams(s, req, now), req)
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

// usableNodes returns the ids of this node and the other usable members.
func usableNodes(s *board.State) []string {
	nodes := []string{s.Self.ID}
	for id, m := range s.Members {
		if m.Usable() && id != s.Self.ID {
			nodes = append(nodes, id)
		}
	}
	return nodes
}
