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
	// Running counts the runs of the model, which a load would hold up, and
	// Busy tells that the engine carries out an order, of whatever model.
	Running int
	Busy    bool
}

// Turn is what a rotation leads to.
type Turn struct {
	// Target is the newest version. Floor is the oldest that the newest job
	// takes, and Next the oldest that the next job is expected to take.
	Target quetzalpier.Version
	Floor  quetzalpier.Version
	Next   quetzalpier.Version
	// Room is how many loads may begin now.
	Room int
}

// Rotate returns the engines to be ordered to the target now. An engine is
// moved while it runs nothing of the model, in the step in which its version
// is used for the last time, so that no run is held up and every engine is of
// use when the next step begins. Half of the engines are moved at each version
// where jobs take one version or more before the newest. Engines with runs are
// moved only when less than half of the others are of use to the newest job.
//
// Load pattern: a trainer names a version and submits a step at the same
// moment, all tasks of it at once; the longest of them last for most of the
// time that the step has, and the weight store bears only few loads at a time.
func Rotate(seats []Seat, turn Turn) []string {
	fresh, useful := 0, 0
	var due []Seat
	for _, seat := range seats {
		if max(seat.Version, seat.Loading) >= turn.Floor {
			useful++
		}
		switch {
		case max(seat.Version, seat.Loading) >= turn.Target:
			fresh++
		case !seat.Busy:
			due = append(due, seat)
		}
	}
	sort.Slice(due, func(i, j int) bool { return sooner(due[i], due[j]) })
	var ids []string
	for _, seat := range due {
		if len(ids) >= turn.Room {
			break
		}
		urgent := seat.Version < turn.Floor && 2*useful < len(seats)
		last := seat.Version < turn.Next || fresh < len(seats)/2
		if !urgent && (seat.Running > 0 || !last) {
			continue
		}
		ids = append(ids, seat.ID)
		fresh++
		useful++
	}
	return ids
}

// sooner orders seats by their version, and of one version the idle ones first.
func sooner(a, b Seat) bool {
	if a.Version != b.Version {
		return a.Version < b.Version
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	return a.ID < b.ID
}
