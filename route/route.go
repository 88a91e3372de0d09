// Package route chooses the upstream that runs a request next.
package route

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
)

const (
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 2 * time.Second
	// boundedLoad is how far above the mean an upstream may be loaded and
	// still be preferred for its prefix cache.
	boundedLoad = 1.25
	// domainCost is what another failure domain costs, in requests.
	domainCost = 0.5
	// reserveShare is the share of an upstream's slots kept for interactive
	// requests.
	reserveShare = 8
)

// Ask is a request to be placed.
type Ask struct {
	Pool  string
	Class quetzalpier.Class
	// Prefix is the hash of the prompt's start; zero for none.
	Prefix uint64
	// Alone asks for an upstream without other requests, on behalf of Ticket.
	Alone  bool
	Ticket uint64
	// Least is the lowest version wanted; upstreams known to be older are
	// used only if there is no other.
	Least quetzalpier.Version
	// Floor is the lowest version that is any use; upstreams known to be
	// older are not used at all.
	Floor quetzalpier.Version
	// Avoid names upstreams that must not be used, and Tried those that are
	// used again only if all that are open have been tried.
	Avoid map[string]bool
	Tried map[string]bool
}

// Pick returns the upstream to use; false if none has room now.
func Pick(s *board.State, ask Ask, now time.Time, rnd *rand.Rand) (string, bool) {
	candidates := Eligible(s, ask, now)
	if len(candidates) == 0 {
		return "", false
	}
	costs := make([]float64, len(candidates))
	pace := meanPace(candidates)
	total := 0.0
	for i, u := range candidates {
		costs[i] = cost(s, u, pace, now)
		total += costs[i]
	}
	limit := boundedLoad*total/float64(len(candidates)) + 1
	if i, ok := preferred(candidates, costs, ask.Prefix, limit); ok {
		return candidates[i].VM.ID, true
	}
	return candidates[cheapest(costs, rnd)].VM.ID, true
}

// Eligible returns the upstreams that may take the request, in order of id:
// those that this node works with, or any other if none of them can.
func Eligible(s *board.State, ask Ask, now time.Time) []*board.Upstream {
	var near, far []*board.Upstream
	for _, u := range untried(opened(s, ask, now), ask) {
		if !fits(s, u, ask, now) {
			continue
		}
		if s.Near == nil || s.Near[u.VM.ID] {
			near = append(near, u)
			continue
		}
		far = append(far, u)
	}
	if len(near) == 0 {
		near = far
	}
	near = newest(near, ask.Least, now)
	sort.Slice(near, func(i, j int) bool { return near[i].VM.ID < near[j].VM.ID })
	return near
}

// opened returns the upstreams of the pool that take new work at all.
func opened(s *board.State, ask Ask, now time.Time) []*board.Upstream {
	var list []*board.Upstream
	for _, u := range s.Upstreams {
		if u.VM.Pool == ask.Pool && open(u, ask, now) && !ask.Avoid[u.VM.ID] {
			list = append(list, u)
		}
	}
	return list
}

// untried leaves out those already tried, unless that leaves none.
func untried(us []*board.Upstream, ask Ask) []*board.Upstream {
	var fresh []*board.Upstream
	for _, u := range us {
		if !ask.Tried[u.VM.ID] {
			fresh = append(fresh, u)
		}
	}
	if len(fresh) == 0 {
		return us
	}
	return fresh
}

// fits tells whether the upstream has room for the request and is recent
// enough.
func fits(s *board.State, u *board.Upstream, ask Ask, now time.Time) bool {
	if u.Outstanding >= slots(concurrent(s, u), ask.Class) {
		return false
	}
	if ask.Alone && (u.Outstanding > 0 || u.Trial != ask.Ticket) {
		return false
	}
	return ask.Floor == 0 || u.Served(now) >= ask.Floor
}

// newest leaves out those older than least, unless that leaves none.
func newest(us []*board.Upstream, least quetzalpier.Version, now time.Time) []*board.Upstream {
	var fit []*board.Upstream
	for _, u := range us {
		if u.Served(now) >= least {
			fit = append(fit, u)
		}
	}
	if len(fit) == 0 {
		return us
	}
	return fit
}

// open tells whether the upstream takes new work of this kind.
func open(u *board.Upstream, ask Ask, now time.Time) bool {
	if u.Trial != 0 && (!ask.Alone || u.Trial != ask.Ticket) {
		return false
	}
	return !u.Leaving() && !now.Before(u.Health.EjectedUntil)
}

// concurrent is how many requests the upstream runs at a time, by its own word
// or by its pool's.
func concurrent(s *board.State, u *board.Upstream) int {
	if u.VM.Slots > 0 {
		return u.VM.Slots
	}
	return s.Config.Pools[u.VM.Pool].Concurrent()
}

// slots is how many requests of a class one upstream may run for this node.
func slots(all int, class quetzalpier.Class) int {
	if class == quetzalpier.ClassInteractive {
		return all
	}
	return all - max(1, all/reserveShare)
}

// cost is the expected wait on an upstream, in requests of mean pace.
func cost(s *board.State, u *board.Upstream, pace time.Duration, now time.Time) float64 {
	load := float64(u.Outstanding) + foreign(u, now)
	if u.VM.Domain != s.Self.Domain {
		load += domainCost
	}
	if u.Pace > 0 && pace > 0 {
		return (load + 1) * float64(u.Pace) / float64(pace)
	}
	return load + 1
}

// foreign estimates other nodes' requests from the last report, which counts
// for less the older it is.
func foreign(u *board.Upstream, now time.Time) float64 {
	if u.ReportAt.IsZero() {
		return 0
	}
	others := max(0, u.Report.Running+u.Report.Queued-u.Own)
	age := max(0, now.Sub(u.ReportAt))
	return float64(others) * math.Exp2(-float64(age)/float64(reportHalfLife))
}

func meanPace(us []*board.Upstream) time.Duration {
	var total time.Duration
	known := 0
	for _, u := range us {
		if u.Pace > 0 {
			total += u.Pace
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return total / time.Duration(known)
}

// preferred finds the upstream that rendezvous hashing gives to the prefix,
// skipping those loaded beyond limit.
func preferred(us []*board.Upstream, costs []float64, prefix uint64, limit float64) (int, bool) {
	if prefix == 0 {
		return 0, false
	}
	best, at := uint64(0), -1
	for i, u := range us {
		if costs[i] > limit {
			continue
		}
		if weight := hash.Pair(prefix, u.VM.ID); at < 0 || weight > best {
			best, at = weight, i
		}
	}
	return at, at >= 0
}

// cheapest returns a random one of the least costly.
func cheapest(costs []float64, rnd *rand.Rand) int {
	at, ties := 0, 1
	for i := 1; i < len(costs); i++ {
		switch {
		case costs[i] < costs[at]:
			at, ties = i, 1
		case costs[i] == costs[at]:
			ties++
			if rnd.IntN(ties) == 0 {
				at = i
			}
		}
	}
	return at
}
