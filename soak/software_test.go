package soak_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/soak"
	"quetzalpier/stand"
)

// TestSoftwareVersions guards against texts and streams with events of engines of two
// software versions, whatever makes them go on elsewhere.
func TestSoftwareVersions(t *testing.T) {
	cutRuns := func(r *soak.Rig) {
		for range 8 {
			for i, w := range r.Engines {
				w.SetFaults(stand.WorkerFaults{CutAtEvent: 3 + i})
				time.Sleep(300 * time.Millisecond)
				w.SetFaults(stand.WorkerFaults{})
			}
		}
	}
	cases := []struct {
		name    string
		disturb func(r *soak.Rig)
	}{
		{"engines break off runs", cutRuns},
		{"the owner is killed", func(r *soak.Rig) {
			for _, n := range r.Stores {
				n.Kill()
				time.Sleep(time.Second)
				require.NoError(t, n.Start())
				time.Sleep(time.Second)
			}
		}},
		{"clients take up streams at other fronts", func(r *soak.Rig) {
			for range 3 {
				for _, n := range r.Fronts {
					n.Kill()
					require.NoError(t, n.Start())
					time.Sleep(1200 * time.Millisecond)
				}
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := openRigWith(t, soak.Options{Fronts: 3, Stores: 3, Engines: 4, Plains: 2, SoftwareVersions: 2, EventInterval: 30 * time.Millisecond})
			ledger := soak.RunWithFaults(context.Background(), r, 11, 14*time.Second, func() { c.disturb(r) })
			t.Logf("%s; streams: %+v", ledger.Summary(), ledger.Streams)
			require.Empty(t, ledger.Violations)
			require.Positive(t, ledger.Steps)
			require.Positive(t, ledger.Streams.Complete)
			if ledger.Streams.Resumed >= minResumed {
				require.Greater(t, 2*ledger.Streams.WentOn, ledger.Streams.Resumed, "streams that are taken up go on")
			}
		})
	}
}

// minResumed is the number of streams that were taken up from which on at least half of
// them must go on.
const minResumed = 12
