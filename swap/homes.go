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
	// loss of one leaves a choice.
	minHomes = 2
)

// Width is how many engines each of the models can be kept fresh on: of these,
// half are loaded for every version, atOnce loads at a time last load each, and
// versions come every gap.
//
// Load pattern: several trainers share the engines and name versions every few
// seconds. Keeping all engines fresh for all models takes more loads than the
// weight store bears, and every model falls behind.
func Width(engines, models, atOnce int, load, gap time.Duration) int {
	if models <= 1 || load <= 0 || gap <= 0 {
		return engines
	}
	loads := homeSlack * float64(atOnce) * gap.Seconds() / load.Seconds()
	return min(engines, max(minHomes, int(2*loads/float64(models)), (engines+models-1)/models))
}

// Homes returns the engines that the model with the given place among models
// is kept fresh on: an arc of width engines, in the order of their ids. The
// arcs of all models are spread evenly, and an engine more or less moves them
// a little.
func Homes(ids []string, place, models, width int) []string {
	homes := make([]string, 0, width)
	start := place * len(ids) / max(1, models)
	for i := range min(width, len(ids)) {
		homes = append(homes, ids[(start+i)%len(ids)])
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
