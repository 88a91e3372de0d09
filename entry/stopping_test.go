package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopPlan guards against requests that are taken although they can't be answered before a
// node stops, and against refusals of those that can.
func TestStopPlan(t *testing.T) {
	requestedAt := time.Unix(1000, 0)
	plan := stopPlan{requestedAt: requestedAt, answerBy: requestedAt.Add(6600 * time.Millisecond)}
	for _, c := range []struct {
		name   string
		after  time.Duration
		work   work
		admits bool
	}{
		{"its deadline is before the end", 5 * time.Second, work{bound: 1500 * time.Millisecond}, true},
		{"early, duration unknown", 2 * time.Second, work{bound: time.Minute}, true},
		{"late, duration unknown", 3500 * time.Millisecond, work{bound: time.Minute}, false},
		{"early, usually too long", 2 * time.Second, work{bound: time.Minute, longest: 4 * time.Second}, false},
		{"early, usually short", 2 * time.Second, work{bound: time.Minute, longest: 3 * time.Second}, true},
		{"late, usually short", 4 * time.Second, work{bound: time.Minute, longest: 30 * time.Millisecond}, true},
		{"late, usually too long", 4 * time.Second, work{bound: 6 * time.Second, longest: 3 * time.Second}, false},
		{"a late stream may last longer than others", 4 * time.Second, work{bound: time.Minute, longest: 30 * time.Millisecond, streamed: true}, false},
		{"an early stream", time.Second, work{bound: time.Minute, longest: 3 * time.Second, streamed: true}, true},
		{"after the end", 7 * time.Second, work{bound: time.Millisecond, longest: time.Millisecond}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.admits, plan.admits(c.work, requestedAt.Add(c.after)))
			require.True(t, stopPlan{}.admits(c.work, requestedAt.Add(c.after)), "no stop is planned")
		})
	}
}

func TestDurations(t *testing.T) {
	var d durations
	start := time.Unix(1000, 0)
	require.Zero(t, d.longest("r", start))
	d.observe("r", 3*time.Second, start)
	d.observe("r", time.Second, start.Add(durationPeriod))
	require.Equal(t, 3*time.Second, d.longest("r", start.Add(durationPeriod)))
	require.Zero(t, d.longest("other", start))
	require.Equal(t, time.Second, d.longest("r", start.Add(2*durationPeriod)))
	require.Zero(t, d.longest("r", start.Add(5*durationPeriod)))
}
