package main

import (
	"slices"

	"quetzalpier/review/third/rig"
)

// sortedByTime returns requests in the order in which workers began them.
func sortedByTime(runs []rig.Received) []rig.Received {
	sorted := slices.Clone(runs)
	slices.SortFunc(sorted, func(a, b rig.Received) int { return a.At.Compare(b.At) })
	return sorted
}
