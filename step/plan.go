package step

import (
	"sort"
	"time"

	"quetzalpier"
)

const (
	// slowFactor is how much slower than the median a run must be to be
	// hedged.
	slowFactor = 2.0
	// hedgeShare bounds the hedges to a share of the step's samples.
	hedgeShare = 0.05
	minHedges  = 2
	// settleTime is how long a run must last before its pace tells anything.
	settleTime = 6 * time.Second
)

// Launch is a run to be started.
type Launch struct {
	Index int
	Hedge bool
	// From is the partial sample to resume; empty for a new start.
	From quetzalpier.Sample
	// Avoid is the upstream that a hedge must not use.
	Avoid string
}

// Plan returns the runs to start now, at most room: waiting samples first,
// those of groups nearly whole before others, and then hedges of runs that
// are much slower than the rest.
func (l *Ledger) Plan(room int, now time.Time) []Launch {
	launches := l.waiting(now)
	if len(launches) < room && len(launches) == 0 {
		launches = l.slow(now)
	}
	return launches[:min(room, len(launches))]
}

func (l *Ledger) waiting(now time.Time) []Launch {
	var launches []Launch
	for i := range l.Items {
		item := &l.Items[i]
		if item.Phase == Waiting && !now.Before(item.NotBefore) {
			launches = append(launches, Launch{Index: i, From: l.resumable(item.Partial)})
		}
	}
	sort.SliceStable(launches, func(a, b int) bool {
		return l.left[l.Items[launches[a].Index].Group] < l.left[l.Items[launches[b].Index].Group]
	})
	return launches
}

// resumable drops a partial sample whose oldest token is too old.
func (l *Ledger) resumable(partial quetzalpier.Sample) quetzalpier.Sample {
	if partial.Tokens == 0 || !partial.Fresh(l.Version, l.Bound) {
		return quetzalpier.Sample{}
	}
	return partial
}

// slow returns hedges of the runs whose pace is far behind the median.
func (l *Ledger) slow(now time.Time) []Launch {
	paces := l.paces(now)
	if len(paces) < 2 {
		return nil
	}
	limit := slowFactor * paces[len(paces)/2]
	room := max(minHedges, int(hedgeShare*float64(len(l.Items)))) - l.hedges
	var launches []Launch
	for i := range l.Items {
		item := &l.Items[i]
		if len(launches) >= room {
			break
		}
		if item.Phase != Running || len(item.Runs) != 1 {
			continue
		}
		run := item.Runs[0]
		if p, ok := pace(run, now); ok && p > limit {
			launches = append(launches, Launch{Index: i, Hedge: true, Avoid: run.Upstream})
		}
	}
	return launches
}

// paces returns the seconds per token of all settled runs, sorted.
func (l *Ledger) paces(now time.Time) []float64 {
	var paces []float64
	for i := range l.Items {
		for _, run := range l.Items[i].Runs {
			if p, ok := pace(run, now); ok {
				paces = append(paces, p)
			}
		}
	}
	sort.Float64s(paces)
	return paces
}

func pace(run *Run, now time.Time) (float64, bool) {
	if run.Placed.IsZero() || now.Sub(run.Placed) < settleTime {
		return 0, false
	}
	return now.Sub(run.Placed).Seconds() / float64(max(1, run.Tokens-run.Base)), true
}
