package probe

import (
	"cmp"
	"slices"

	"quetzalpier/hash"
)

// Targets returns the members that self probes: those before it on a ring ordered by
// the hash of their IDs, back to the given number of reachable ones. Unreachable
// members in between are probed as well, so that the loss of neighbours on the ring
// leaves no member without a prober.
//
// Load pattern: half of all nodes lose power at once.
func Targets(self string, ids []string, reachable func(id string) bool, count int) []string {
	ring, at := ringFrom(self, ids)
	if at < 0 {
		return nil
	}
	var targets []string
	for i := 1; i < len(ring) && count > 0; i++ {
		id := ring[(at-i+len(ring))%len(ring)]
		targets = append(targets, id)
		if reachable(id) {
			count--
		}
	}
	return targets
}

// Rank returns the number of reachable members between target and self on the ring:
// zero for the first of the members that probe the target.
func Rank(self, target string, ids []string, reachable func(id string) bool) int {
	ring, at := ringFrom(target, ids)
	if at < 0 {
		return 0
	}
	rank := 0
	for i := 1; i < len(ring); i++ {
		id := ring[(at+i)%len(ring)]
		if id == self {
			break
		}
		if reachable(id) {
			rank++
		}
	}
	return rank
}

// ringFrom returns the ring and the position of a member on it, or -1 if it is not
// among the IDs.
func ringFrom(member string, ids []string) (ring []string, at int) {
	type point struct {
		id   string
		hash uint64
	}
	points := make([]point, len(ids))
	for i, id := range ids {
		points[i] = point{id, hash.Text(id)}
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id)) })
	ring = make([]string, len(points))
	for i, p := range points {
		ring[i] = p.id
	}
	return ring, slices.Index(ring, member)
}
