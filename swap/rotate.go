package swap

import (
	"sort"

	"quetzalpier"
)

// Seat is an engine as the rotation sees it.
type Seat struct {
	ID      string
	Version quetzalpier.Version
	// Loading is the version that the engine is being moved to; zero for none.
	Loading quetzalpier.Version
	// Running counts the runs that a load would hold up, and Busy tells that
	// the engine carries out an order, of whatever model.
	Running int
	Busy    bool
}

// Rotate returns the engines to be ordered to target now, at most room of
// them. Those that no open job takes any more, below floor, go first, straight
// to the target. The others keep their version, which the next job takes as
// well, as long as half of the engines have the target: each engine is then
// loaded for every second version only, and half of them never pause.
//
// Load pattern: a trainer names a version and submits a step at the same
// moment, the step takes the version before as well, and the weight store
// bears only few loads at a time.
func Rotate(seats []Seat, target, floor quetzalpier.Version, room int) []string {
	fresh := 0
	var due []Seat
	for _, seat := range seats {
		switch {
		case seat.Version >= target || seat.Loading >= target:
			fresh++
		case !seat.Busy:
			due = append(due, seat)
		}
	}
	sort.Slice(due, func(i, j int) bool { return sooner(due[i], due[j], floor) })
	var ids []string
	for _, seat := range due {
		if len(ids) >= room || (seat.Version >= floor && fresh >= max(1, len(seats)/2)) {
			break
		}
		ids = append(ids, seat.ID)
		fresh++
	}
	return ids
}

// sooner orders seats: useless ones first, of these the idle ones.
func sooner(a, b Seat, floor quetzalpier.Version) bool {
	if useless := a.Version < floor; useless != (b.Version < floor) {
		return useless
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	if a.Version != b.Version {
		return a.Version < b.Version
	}
	return a.ID < b.ID
}
