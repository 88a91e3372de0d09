package route

import "sort"

// minSubset is the least number of upstreams that a gate works with, so that
// the loss of some leaves a choice.
const minSubset = 16

// Subset returns the upstreams that a gate works with. Gates and upstreams
// are laid evenly around a ring in the order of their ids and each gate takes
// the arc that starts at its own place: every upstream is in as many arcs as
// any other, give or take one, and one gate more or less moves each arc a
// little instead of reshuffling all of them.
func Subset(upstreams, gates []string, self string) []string {
	upstreams = sorted(upstreams)
	gates = sorted(gates)
	at := sort.SearchStrings(gates, self)
	if at == len(gates) || gates[at] != self || len(upstreams) <= minSubset {
		return upstreams
	}
	n, g := len(upstreams), len(gates)
	width := max(minSubset, (n+g-1)/g)
	start := at * n / g
	subset := make([]string, 0, width)
	for i := range min(width, n) {
		subset = append(subset, upstreams[(start+i)%n])
	}
	return subset
}

func sorted(names []string) []string {
	names = append([]string(nil), names...)
	sort.Strings(names)
	return names
}
