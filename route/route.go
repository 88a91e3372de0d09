// Package route selects the upstream for a request.
package route

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/limit"
	"quetzalpier/pace"
)

const (
	// reportHalfLife is the half-life of the weight of a load report.
	reportHalfLife = 2 * time.Second
	// maxLoadFactor is the multiple of the mean cost up to which an upstream is
	// preferred for its prefix cache.
	maxLoadFactor = 1.25
	// crossDomainCost is the added cost of an upstream in another failure domain,
	// in requests.
	crossDomainCost = 0.5
	// busySlotCost is the added cost of an upstream without a free slot, in requests; it is
	// below crossDomainCost, so that a free slot in the own domain is used first.
	busySlotCost = 0.4
	// reserveDivisor sets the slots reserved for interactive requests: one in
	// reserveDivisor of an upstream's slots, but at least one.
	reserveDivisor = 8
)

// Request describes the request for which an upstream is selected.
type Request struct {
	Pool  string
	Class quetzalpier.Class
	// Prefix is the hash of the start of the prompt; zero for none.
	Prefix uint64
	// Alone requires an upstream without other requests, reserved for Ticket.
	Alone  bool
	Ticket uint64
	// PreferredVersion is the lowest preferred version. Upstreams with a lower or
	// unknown one are used only if there is no other.
	PreferredVersion quetzalpier.Version
	// MinVersion is the lowest accepted version. Upstreams with a lower or unknown
	// one are never used.
	MinVersion quetzalpier.Version
	// Software is the software version that the upstream must have; empty for any.
	Software string
	// Avoid holds the ids of upstreams that must not be used, Tried those that are
	// used again only if all open upstreams have been tried.
	Avoid map[string]bool
	Tried map[string]bool
}

// Pick returns the id of the upstream to use; false if none is eligible now.
func Pick(s *board.State, req Request, now time.Time, rnd *rand.Rand) (string, bool) {
	candidates := Eligible(s, req, now)
	if len(candidates) == 0 {
		return "", false
	}
	costs := make([]float64, len(candidates))
	mean := meanUnitTime(candidates)
	total := 0.0
	for i, u := range candidates {
		costs[i] = cost(s, u, mean, now)
		total += costs[i]
	}
	limit := maxLoadFactor*total/float64(len(candidates)) + 1
	if i, ok := prefixUpstream(candidates, costs, req.Prefix, limit); ok {
		return candidates[i].VM.ID, true
	}
	return candidates[cheapest(costs, rnd)].VM.ID, true
}

// Eligible returns the upstreams that can run the request, in order of id: those
// in this node's subset, or the others if none of the subset can.
func Eligible(s *board.State, req Request, now time.Time) []*board.Upstream {
	var eligible, others []*board.Upstream
	for _, u := range preferUntried(openUpstreams(s, req, now), req) {
		if !accepts(s, u, req, now) {
			continue
		}
		if s.UsedUpstreams == nil || s.UsedUpstreams[u.VM.ID] {
			eligible = append(eligible, u)
			continue
		}
		others = append(others, u)
	}
	if len(eligible) == 0 {
		eligible = others
	}
	eligible = preferVersion(eligible, req.PreferredVersion, now)
	sort.Slice(eligible, func(i, j int) bool { return eligible[i].VM.ID < eligible[j].VM.ID })
	return eligible
}

// openUpstreams returns the upstreams of the pool that are open to the request.
func openUpstreams(s *board.State, req Request, now time.Time) []*board.Upstream {
	var list []*board.Upstream
	for _, u := range s.Upstreams {
		if u.VM.Pool == req.Pool && isOpen(u, req, now) && !req.Avoid[u.VM.ID] && (req.Software == "" || u.VM.Software == req.Software) {
			list = append(list, u)
		}
	}
	return list
}

// preferUntried removes the upstreams already tried, unless all have been tried.
func preferUntried(upstreams []*board.Upstream, req Request) []*board.Upstream {
	var rest []*board.Upstream
	for _, u := range upstreams {
		if !req.Tried[u.VM.ID] {
			rest = append(rest, u)
		}
	}
	if len(rest) == 0 {
		return upstreams
	}
	return rest
}

// accepts reports whether the upstream has a free slot for the request, room within its
// limit, and a weight version of at least the request's MinVersion.
func accepts(s *board.State, u *board.Upstream, req Request, now time.Time) bool {
	if u.Outstanding >= classSlots(concurrency(s, u), req.Class) {
		return false
	}
	if limit.Room(u, now) <= 0 {
		return false
	}
	if req.Alone && (u.Outstanding > 0 || u.SuspectTicket != req.Ticket) {
		return false
	}
	return req.MinVersion == 0 || u.EffectiveVersion(now) >= req.MinVersion
}

// preferVersion removes the upstreams with a version below preferred, unless all
// are below it.
func preferVersion(upstreams []*board.Upstream, preferred quetzalpier.Version, now time.Time) []*board.Upstream {
	var rest []*board.Upstream
	for _, u := range upstreams {
		if u.EffectiveVersion(now) >= preferred {
			rest = append(rest, u)
		}
	}
	if len(rest) == 0 {
		return upstreams
	}
	return rest
}

// isOpen reports whether the upstream accepts new requests of this kind: it is
// neither leaving nor ejected nor reserved for another request.
func isOpen(u *board.Upstream, req Request, now time.Time) bool {
	if u.SuspectTicket != 0 && (!req.Alone || u.SuspectTicket != req.Ticket) {
		return false
	}
	return !u.Leaving() && !now.Before(u.Health.EjectedUntil)
}

// concurrency returns the number of requests that the upstream runs at a time,
// from its own entry or else from its pool's configuration.
func concurrency(s *board.State, u *board.Upstream) int {
	if u.VM.Slots > 0 {
		return u.VM.Slots
	}
	return s.Config.Pools[u.VM.Pool].SlotCount()
}

// classSlots returns how many of an upstream's slots this node's requests of a class
// may use.
func classSlots(total int, class quetzalpier.Class) int {
	if class == quetzalpier.ClassInteractive {
		return total
	}
	return total - max(1, total/reserveDivisor)
}

// cost returns the expected wait on an upstream, in requests of mean time per unit. For an
// upstream that reports its slowdown it is the expected finish time instead.
func cost(s *board.State, u *board.Upstream, mean time.Duration, now time.Time) float64 {
	load := float64(u.Outstanding) + otherNodesLoad(u, now)
	unit := 1.0
	if u.UnitTime > 0 && mean > 0 {
		unit = float64(u.UnitTime) / float64(mean)
	}
	otherDomain := 0.0
	if u.VM.Domain != s.Self.Domain {
		otherDomain = crossDomainCost
	}
	if pace.Noisy(u) {
		return otherDomain + unit*finishTime(load, concurrency(s, u), pace.Factor(u.Slowdown, now.Sub(u.SlowdownAt)))
	}
	return (load + otherDomain + 1) * unit
}

// finishTime returns the time until one more request is finished on an upstream with a
// load, in requests: it waits while all slots are busy. A slot in use counts a little, since
// the load is an estimate.
//
// Load pattern: a few upstreams of a failure domain are slow for a moment, or get more
// requests than they have slots, while those of another domain are idle.
func finishTime(load float64, slots int, slowdown float64) float64 {
	n := float64(max(1, slots))
	return slowdown * (1 + max(0, load+1-n)/n + busySlotCost*min(load, n)/n)
}

// otherNodesLoad estimates the requests of other nodes from the last load report,
// whose weight decays with its age.
func otherNodesLoad(u *board.Upstream, now time.Time) float64 {
	if u.ReportAt.IsZero() {
		return 0
	}
	others := max(0, u.Report.Running+u.Report.Queued-u.OwnReported)
	age := max(0, now.Sub(u.ReportAt))
	return float64(others) * math.Exp2(-float64(age)/float64(reportHalfLife))
}

// meanUnitTime returns the mean of the known times per unit; zero if none is known.
func meanUnitTime(upstreams []*board.Upstream) time.Duration {
	var total time.Duration
	known := 0
	for _, u := range upstreams {
		if u.UnitTime > 0 {
			total += u.UnitTime
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return total / time.Duration(known)
}

// prefixUpstream returns the index of the upstream for the prefix by rendezvous
// hashing, skipping those whose cost is above limit.
func prefixUpstream(upstreams []*board.Upstream, costs []float64, prefix uint64, limit float64) (int, bool) {
	if prefix == 0 {
		return 0, false
	}
	highest, index := uint64(0), -1
	for i, u := range upstreams {
		if costs[i] > limit {
			continue
		}
		if weight := hash.Pair(prefix, u.VM.ID); index < 0 || weight > highest {
			highest, index = weight, i
		}
	}
	return index, index >= 0
}

// cheapest returns the index of the lowest cost, a random one if several are
// equal.
func cheapest(costs []float64, rnd *rand.Rand) int {
	lowest, ties := 0, 1
	for i := 1; i < len(costs); i++ {
		switch {
		case costs[i] < costs[lowest]:
			lowest, ties = i, 1
		case costs[i] == costs[lowest]:
			ties++
			if rnd.IntN(ties) == 0 {
				lowest = i
			}
		}
	}
	return lowest
}
