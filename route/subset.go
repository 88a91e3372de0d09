package route

import "sort"

// minSubset is the minimum number of upstreams in the subset of a gate, so that
// the loss of some leaves others to choose from.
const minSubset = 16

// Subset returns the upstreams to which a gate sends requests as long as one of
// them can run the request. Gates and upstreams are spread evenly around a ring in
// the order of their ids, and each gate uses the arc that starts at its own
// position. The numbers of gates per upstream differ by about one, and adding or
// removing a gate shifts each arc slightly instead of reshuffling all of them.
func Subset(upstreams, gates []string, self string) []string {
	upstreams = sorted(upstreams)
	gates = sorted(gates)
	index := sort.SearchStrings(gates, self)
	if index == len(gates) || gates[index] != self || len(upstreams) <= minSubset {
		return upstreams
	}
	n, g := len(upstreams), len(gates)
	width := max(minSubset, (n+g-1)/g)
	start := index * n / g
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
