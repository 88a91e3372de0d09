package swap

import (
	"sort"
	"time"
)

const (
	// homeSlack is the share of the loads that the weight store bears in time
	// which is planned with; the rest is for engines that come and go.
	homeSlack = 0.85
	// minHomes is the least number of engines that a model has, so that the
	// loss of some leaves a choice.
	minHomes = 4
)

// Widths returns on how many engines each model is kept fresh, by the work that
// its steps bring. Half of a model's engines are loaded for every version; the
// weight store bears atOnce loads of the given length at a time, and versions
// come every gap.
//
// Load pattern: several trainers share the engines and name versions every few
// seconds. Keeping all engines fresh for all models takes more loads than the
// weight store bears, and every model falls behind; and a model whose steps are
// long needs more engines than one whose steps are short.
func Widths(engines int, work []float64, atOnce int, load, gap time.Duration) []int {
	widths := make([]int, len(work))
	if len(work) == 0 {
		return widths
	}
	total := 0.0
	for _, w := range work {
		total += w
	}
	homes := 2 * homeSlack * float64(atOnce) * gap.Seconds() / load.Seconds()
	least := min(engines, max(minHomes, (engines+2*len(work)-1)/(2*len(work))))
	for i, w := range work {
		share := 1 / float64(len(work))
		if total > 0 {
			share = w / total
		}
		widths[i] = min(engines, max(least, int(homes*share)))
	}
	return widths
}

// Homes returns the engines that each model is kept fresh on: arcs of the given
// widths, laid one after the other around the engines in the order of their
// ids. An engine more or less moves them a little.
func Homes(ids []string, widths []int) [][]string {
	total := 0
	for _, width := range widths {
		total += width
	}
	homes := make([][]string, len(widths))
	before := 0
	for i, width := range widths {
		start := before * len(ids) / max(1, total)
		for j := range min(width, len(ids)) {
			homes[i] = append(homes[i], ids[(start+j)%len(ids)])
		}
		before += width
	}
	return homes
}

// Share is how many of a model's engines its newest job takes.
type Share struct {
	Model  string
	Useful int
	Homes  int
}

// Neediest returns the models in the order in which they get loads: the one
// with the smallest share of useful engines first.
//
// Load pattern: after an outage all engines are behind for all models, and the
// model that is served first would take all loads for several steps.
func Neediest(shares []Share) []string {
	sort.SliceStable(shares, func(i, j int) bool {
		return shares[i].Useful*shares[j].Homes < shares[j].Useful*shares[i].Homes
	})
	models := make([]string, 0, len(shares))
	for _, share := range shares {
		models = append(models, share.Model)
	}
	return models
}
