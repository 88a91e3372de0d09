package swap

import (
	"math"
	"slices"
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
	// maxPriorityFactor bounds the effect of priorities, so that the others keep enough
	// engines.
	maxPriorityFactor = 4
)

// EngineCounts returns the number of engines to assign to each model, in proportion
// to the work of its steps, as far as the weight store can update them, but at least
// minEnginesPerModel and half of an equal share of the engines. Half of a model's
// engines load each new version. The store serves atOnce concurrent loads of duration
// load, and intervals are the times between two versions of each model.
//
// Load pattern: several trainers share the engines and publish versions every
// few seconds. Updating all engines for all models exceeds the capacity of the
// weight store, and every model falls behind. A model with long steps needs more
// engines than one with short steps.
func EngineCounts(engines int, work []float64, intervals []time.Duration, atOnce int, load time.Duration) []int {
	counts := make([]int, len(work))
	if len(work) == 0 {
		return counts
	}
	total := 0.0
	for _, w := range work {
		total += w
	}
	shares := make([]float64, len(work))
	// versions is how many versions there are in a second for an engine that is assigned
	// to the models in proportion to their shares.
	versions := 0.0
	for i, w := range work {
		shares[i] = 1 / float64(len(work))
		if total > 0 {
			shares[i] = w / total
		}
		versions += shares[i] / intervals[i].Seconds()
	}
	capacity := 2 * plannedLoadShare * float64(atOnce) / load.Seconds() / versions
	minCount := min(engines, max(minEnginesPerModel, (engines+2*len(work)-1)/(2*len(work))))
	for i, share := range shares {
		counts[i] = min(engines, max(minCount, int(capacity*share)))
	}
	return counts
}

// WorkByPriority returns the work of models as EngineCounts uses it: each step of priority
// doubles it, up to maxPriorityFactor. Zero is the highest priority. If all are equal, the
// work is unchanged.
//
// Load pattern: on a day with too few engines, the largest steps are the most urgent ones,
// and need engines beyond their share of the work to end in time.
func WorkByPriority(work []float64, priorities []int) []float64 {
	weighted := slices.Clone(work)
	if len(priorities) == 0 {
		return weighted
	}
	lowest := slices.Max(priorities)
	for i, priority := range priorities {
		weighted[i] *= min(maxPriorityFactor, math.Exp2(float64(lowest-priority)))
	}
	return weighted
}

// AssignEngines returns the engines assigned to each model. The engines form a ring
// in the order of their ids, and each model gets an arc of the given width. The
// arcs overlap if there are too few engines. Adding or removing an engine shifts
// the arcs only slightly.
func AssignEngines(ids []string, widths []int) [][]string {
	total := 0
	for _, width := range widths {
		total += width
	}
	assigned := make([][]string, len(widths))
	offset := 0
	for i, width := range widths {
		start := offset * len(ids) / max(1, total)
		for j := range min(width, len(ids)) {
			assigned[i] = append(assigned[i], ids[(start+j)%len(ids)])
		}
		offset += width
	}
	return assigned
}

// Coverage counts the engines assigned to a model: Assigned is their number, and
// UpToDate how many of them have a version that the model's newest job accepts.
type Coverage struct {
	Model    string
	UpToDate int
	Assigned int
}

// OrderByCoverage returns the models in the order in which they get loads, the one
// with the smallest share of up-to-date engines first.
//
// Load pattern: after an outage all engines have old versions of all models, and
// in a fixed order the first model would take all loads for several steps.
func OrderByCoverage(coverages []Coverage) []string {
	sort.SliceStable(coverages, func(i, j int) bool {
		return coverages[i].UpToDate*coverages[j].Assigned < coverages[j].UpToDate*coverages[i].Assigned
	})
	models := make([]string, 0, len(coverages))
	for _, coverage := range coverages {
		models = append(models, coverage.Model)
	}
	return models
}
