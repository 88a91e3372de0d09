package swap

import (
	"sort"

	"quetzalpier"
)

// EngineStatus is the state of an engine for one model, as used by Rotate.
type EngineStatus struct {
	ID      string
	Version quetzalpier.Version
	// Loading is the version that the engine is loading; zero for none.
	Loading quetzalpier.Version
	// Running counts the runs of the model, which a load would delay. Busy
	// reports whether the engine is executing an order, for whichever model.
	Running int
	Busy    bool
}

// Rotation holds the target version, the versions that jobs accept and the load
// limit.
type Rotation struct {
	// Target is the newest version. MinVersion is the oldest one that the newest
	// job accepts, and NextMinVersion the oldest one that the next job is expected
	// to accept.
	Target         quetzalpier.Version
	MinVersion     quetzalpier.Version
	NextMinVersion quetzalpier.Version
	// MaxLoads is the number of loads that may start now.
	MaxLoads int
}

// Rotate returns the engines that should load the target now. An engine loads
// while it has no runs of the model, in the last step that accepts its version,
// so that no run is delayed and every engine is usable when the next step
// starts. If jobs accept older versions than the newest one, half of the engines
// load each version. An engine with runs loads only if the newest job rejects
// its version, and fewer than half of all engines have or load an accepted one.
//
// Load pattern: a trainer publishes a version and submits all tasks of a step at
// the same moment. The longest tasks run for most of the step, and the weight
// store serves only a few loads at a time.
func Rotate(engines []EngineStatus, rotation Rotation) []string {
	atTarget, accepted := 0, 0
	var outdated []EngineStatus
	for _, engine := range engines {
		if max(engine.Version, engine.Loading) >= rotation.MinVersion {
			accepted++
		}
		switch {
		case max(engine.Version, engine.Loading) >= rotation.Target:
			atTarget++
		case !engine.Busy:
			outdated = append(outdated, engine)
		}
	}
	sort.Slice(outdated, func(i, j int) bool { return loadsBefore(outdated[i], outdated[j]) })
	var ids []string
	for _, engine := range outdated {
		if len(ids) >= rotation.MaxLoads {
			break
		}
		urgent := engine.Version < rotation.MinVersion && 2*accepted < len(engines)
		shouldLoad := engine.Version < rotation.NextMinVersion || atTarget < len(engines)/2
		if !urgent && (engine.Running > 0 || !shouldLoad) {
			continue
		}
		ids = append(ids, engine.ID)
		atTarget++
		accepted++
	}
	return ids
}

// loadsBefore reports whether a loads before b: by version, oldest first, then by
// number of runs.
func loadsBefore(a, b EngineStatus) bool {
	if a.Version != b.Version {
		return a.Version < b.Version
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	return a.ID < b.ID
}
