package swap

import (
	"sort"
	"time"
)

const (
	// plannedLoadShare is the share of the weight store's capacity that the regular
	// loads may use; the rest is for engines that join or leave.
	plannedLoadShare = 0.85
	// minEnginesPerModel is the minimum number of engines of a model, so that the
	// loss of some leaves others to choose from.
	minEnginesPerModel = 4
)

// EngineCounts returns the number of engines assigned to each model, in proportion to
// the work of its steps. A new version is loaded by half of a model's engines.
// The weight store serves atOnce concurrent loads of duration load, and a new
// version is published every gap.
//
// Load pattern: several trainers share the engines and publish versions every
// few seconds. Updating all engines for all models exceeds the capacity of the
// weight store, and every model falls behind. A model with long steps needs more
// engines than one with short steps.
func EngineCounts(engines int, work []float64, atOnce int, load, gap time.Duration) []int {
	widths := make([]int, len(work))
	if len(work) == 0 {
		return widths
	}
	total := 0.0
	for _, w := range work {
		total += w
	}
	capacity := 2 * plannedLoadShare * float64(atOnce) * gap.Seconds() / load.Seconds()
	minWidth := min(engines, max(minEnginesPerModel, (engines+2*len(work)-1)/(2*len(work))))
	for i, w := range work {
		share := 1 / float64(len(work))
		if total > 0 {
			share = w / total
		}
		widths[i] = min(engines, max(minWidth, int(capacity*share)))
	}
	return widths
}

// AssignEngines returns the engines assigned to each model. The engines form a ring in
// the order of their ids, and the models take consecutive arcs of the given
// widths, which overlap if there are too few engines. An engine more or less
// shifts the arcs only slightly.
func AssignEngines(ids []string, widths []int) [][]string {
	total := 0
	for _, width := range widths {
		total += width
	}
	homes := make([][]string, len(widths))
	offset := 0
	for i, width := range widths {
		start := offset * len(ids) / max(1, total)
		for j := range min(width, len(ids)) {
			homes[i] = append(homes[i], ids[(start+j)%len(ids)])
		}
		offset += width
	}
	return homes
}

// Coverage counts the engines assigned to a model: Homes is their number, Useful
// how many of them have a version that the model's newest job accepts.
type Coverage struct {
	Model    string
	UpToDate int
	Assigned int
}

// OrderByCoverage returns the models in the order in which they get loads, the one
// with the smallest share of useful engines first.
//
// Load pattern: after an outage all engines have old versions of all models, and
// in a fixed order the first model would take all loads for several steps.
func OrderByCoverage(shares []Coverage) []string {
	sort.SliceStable(shares, func(i, j int) bool {
		return shares[i].UpToDate*shares[j].Assigned < shares[j].UpToDate*shares[i].Assigned
	})
	models := make([]string, 0, len(shares))
	for _, share := range shares {
		models = append(models, share.Model)
	}
	return models
}
