package step

import (
	"sort"
	"time"

	"quetzalpier"
)

const (
	// slowFactor is the multiple of the median time per token above which a run is
	// hedged.
	slowFactor = 2.0
	// hedgeShare is the maximum number of hedges as a share of the step's samples,
	// but at least minHedges are allowed.
	hedgeShare = 0.05
	minHedges  = 2
	// minPaceTime is the minimum duration of a run before its time per token is
	// used; that of a shorter run says nothing about its speed.
	minPaceTime = 6 * time.Second
)

// Launch is a run to start.
type Launch struct {
	Index int
	Hedge bool
	// From is the partial sample to resume; empty for a new start.
	From quetzalpier.Sample
	// Avoid is the upstream that a hedge must not use.
	Avoid string
}

// Plan returns the runs to start now, at most room: waiting samples, those of the
// groups with the fewest unfinished samples first. If no sample waits, it returns
// hedges of runs that are much slower than the median.
func (l *Ledger) Plan(room int, now time.Time) []Launch {
	launches := l.waitingLaunches(now)
	if len(launches) < room && len(launches) == 0 {
		launches = l.hedgeLaunches(now)
	}
	return launches[:min(room, len(launches))]
}

// waitingLaunches returns launches of the waiting samples.
func (l *Ledger) waitingLaunches(now time.Time) []Launch {
	var launches []Launch
	for i := range l.Items {
		item := &l.Items[i]
		if item.Phase == Waiting && !now.Before(item.NotBefore) {
			launches = append(launches, Launch{Index: i, From: l.resumable(item.Partial)})
		}
	}
	sort.SliceStable(launches, func(a, b int) bool {
		return l.unfinished[l.Items[launches[a].Index].Group] < l.unfinished[l.Items[launches[b].Index].Group]
	})
	return launches
}

// resumable returns the partial sample, or an empty one if its oldest token is too
// old.
func (l *Ledger) resumable(partial quetzalpier.Sample) quetzalpier.Sample {
	if partial.Tokens == 0 || !partial.Fresh(l.Version, l.MaxAge) {
		return quetzalpier.Sample{}
	}
	return partial
}

// hedgeLaunches returns hedges of the runs whose time per token is above
// slowFactor times the median.
func (l *Ledger) hedgeLaunches(now time.Time) []Launch {
	paces := l.sortedPaces(now)
	if len(paces) < 2 {
		return nil
	}
	limit := slowFactor * paces[len(paces)/2]
	allowed := max(minHedges, int(hedgeShare*float64(len(l.Items)))) - l.hedges
	var launches []Launch
	for i := range l.Items {
		item := &l.Items[i]
		if len(launches) >= allowed {
			break
		}
		if item.Phase != Running || len(item.Runs) != 1 {
			continue
		}
		run := item.Runs[0]
		if p, ok := secondsPerToken(run, now); ok && p > limit {
			launches = append(launches, Launch{Index: i, Hedge: true, Avoid: run.Upstream})
		}
	}
	return launches
}

// sortedPaces returns the seconds per token of all runs older than minPaceTime, in
// ascending order.
func (l *Ledger) sortedPaces(now time.Time) []float64 {
	var paces []float64
	for i := range l.Items {
		for _, run := range l.Items[i].Runs {
			if p, ok := secondsPerToken(run, now); ok {
				paces = append(paces, p)
			}
		}
	}
	sort.Float64s(paces)
	return paces
}

// secondsPerToken returns the time per token of a run; false if the run is too
// recent.
func secondsPerToken(run *Run, now time.Time) (float64, bool) {
	if run.SlotAt.IsZero() || now.Sub(run.SlotAt) < minPaceTime {
		return 0, false
	}
	return now.Sub(run.SlotAt).Seconds() / float64(max(1, run.Tokens-run.Base)), true
}
