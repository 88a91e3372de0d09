package reach

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"quetzalpier"
	"quetzalpier/board"
)

const (
	// OwnLead is how long a connection of the node's own is awaited before others are tried
	// beside it (RFC 8305 calls it the connection attempt delay): many round trips between
	// failure domains.
	OwnLead = 200 * time.Millisecond
	// lossMemory is how long after a path was lost the others are doubted, unless one of
	// them works since.
	lossMemory = 10 * time.Second
	// maxHelpers is how many nodes are asked for one connection.
	maxHelpers = 6
	// avoidTime is how long a node that could not be asked, or reaches no upstream itself,
	// is not asked again, and noDetourTime how long no node is asked for an upstream that
	// none reached.
	avoidTime    = 700 * time.Millisecond
	noDetourTime = 500 * time.Millisecond
	// maxWitnesses is how many nodes are asked whether they reach an upstream.
	maxWitnesses = 3
	// minLosses is how many paths of a pool are lost before all others are checked, and
	// maxChecks how many at a time.
	minLosses = 2
	maxChecks = 16
)

// Plan is how a connection to an upstream is opened.
type Plan struct {
	// Own is set if a connection of the node's own is tried, which gets a lead of Lead over
	// those through other nodes.
	Own  bool
	Lead time.Duration
	// Helpers are the nodes to open a connection through, in this order.
	Helpers []board.Member
}

// Choose returns how to open a connection to an upstream.
//
// Load pattern: some nodes are partitioned from all upstreams for seconds, and their
// clients go on sending requests.
func Choose(s *board.State, id string, now time.Time, rnd *rand.Rand) Plan {
	plan := Plan{Own: true, Lead: OwnLead, Helpers: helpers(s, now, rnd)}
	u := s.Upstreams[id]
	if u == nil {
		plan.Helpers = nil
		return plan
	}
	if u.Path.Lost() && len(s.Members) > 1 {
		plan.Own, plan.Lead = false, 0
		if now.Before(u.Path.NoDetourUntil) {
			plan.Helpers = nil
		}
		return plan
	}
	if doubted(s, u, now) {
		plan.Lead = 0
	}
	return plan
}

// doubted reports whether the path to an upstream may be lost although no connection has
// failed: another one was lost lately, and none was found to work since.
func doubted(s *board.State, u *board.Upstream, now time.Time) bool {
	var lostAt, reachedAt time.Time
	for _, other := range s.Upstreams {
		if other.Path.LostAt.After(lostAt) {
			lostAt = other.Path.LostAt
		}
		if !other.Path.Lost() && other.Path.ReachedAt.After(reachedAt) {
			reachedAt = other.Path.ReachedAt
		}
	}
	return !lostAt.IsZero() && now.Sub(lostAt) < lossMemory && !reachedAt.After(lostAt) && !u.Path.ReachedAt.After(lostAt)
}

// helpers returns the nodes to ask for connections: first the one that opened the last one,
// and owners of pools, which have the most work, last.
func helpers(s *board.State, now time.Time, rnd *rand.Rand) []board.Member {
	owners := map[string]bool{}
	for _, owner := range s.Owners {
		owners[owner.Node] = true
	}
	list := usableHelpers(s, now, rnd)
	slices.SortStableFunc(list, func(a, b board.Member) int {
		if c := s.Helpers[b.ID].UsedAt.Compare(s.Helpers[a.ID].UsedAt); c != 0 {
			return c
		}
		switch {
		case owners[a.ID] == owners[b.ID]:
			return 0
		case owners[a.ID]:
			return 1
		default:
			return -1
		}
	})
	return list[:min(len(list), maxHelpers)]
}

// usableHelpers returns the other nodes that may be asked for connections, in random order.
func usableHelpers(s *board.State, now time.Time, rnd *rand.Rand) []board.Member {
	var list []board.Member
	for id, m := range s.Members {
		if id != s.Self.ID && s.Answers(m) && !now.Before(s.Helpers[id].AvoidUntil) {
			list = append(list, m)
		}
	}
	// The map has an order of its own in each process.
	slices.SortFunc(list, func(a, b board.Member) int { return strings.Compare(a.ID, b.ID) })
	rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// Witnesses returns the nodes to ask whether they reach an upstream that this node does not:
// one of each failure domain, this node's own last.
func Witnesses(s *board.State, now time.Time, rnd *rand.Rand) []board.Member {
	var others, own []board.Member
	seen := map[string]bool{}
	for _, m := range usableHelpers(s, now, rnd) {
		switch {
		case m.Domain == s.Self.Domain:
			own = append(own, m)
		case !seen[m.Domain]:
			seen[m.Domain] = true
			others = append(others, m)
		}
	}
	list := append(others, own[:min(1, len(own))]...)
	return list[:min(len(list), maxWitnesses)]
}

// RecordHelper records that another node opened a connection.
func RecordHelper(s *board.State, node string, now time.Time) {
	h := s.Helpers[node]
	s.Helpers[node] = board.Helper{UsedAt: now, FailedAt: h.FailedAt}
}

// AvoidHelper records that another node can't be asked for connections now.
func AvoidHelper(s *board.State, node string, now time.Time) {
	s.Helpers[node] = board.Helper{FailedAt: now, AvoidUntil: now.Add(avoidTime)}
}

// Trusted reports whether a connection through another node, opened at a time, may carry a
// further request: the node has not failed since, and does not stop.
func Trusted(s *board.State, node string, openedAt time.Time) bool {
	return s.Answers(s.Members[node]) && !s.Helpers[node].FailedAt.After(openedAt)
}

// RecordNoDetour records that none of the nodes that were asked reached the upstream.
func RecordNoDetour(s *board.State, id string, now time.Time) {
	if u := s.Upstreams[id]; u != nil {
		u.Path.NoDetourUntil = now.Add(noDetourTime)
	}
}

// Due returns the upstreams to which a connection is to be tried again.
func Due(s *board.State, now time.Time) (due []*board.Upstream) {
	for _, u := range s.Upstreams {
		if u.Path.Lost() && !now.Before(u.Path.RetryAt) {
			due = append(due, u)
		}
	}
	return due
}

// Next returns the upstreams whose paths are checked after the one to an upstream was found
// to be lost: one of the same pool, since the upstream itself may have failed, and all once
// two paths are lost and none is known to have worked since.
func Next(s *board.State, id string) (next []quetzalpier.VM) {
	lost := s.Upstreams[id]
	if lost == nil {
		return nil
	}
	losses := 0
	for _, u := range s.Upstreams {
		switch {
		case u.VM.Pool != lost.VM.Pool || u.Leaving():
		case u.Path.Lost():
			losses++
		case u.Path.ReachedAt.After(lost.Path.LostAt):
			return nil
		default:
			next = append(next, u.VM)
		}
	}
	slices.SortFunc(next, func(a, b quetzalpier.VM) int { return strings.Compare(a.ID, b.ID) })
	if losses < minLosses {
		return next[:min(1, len(next))]
	}
	return next[:min(maxChecks, len(next))]
}
