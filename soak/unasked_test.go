package soak_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier/soak"
)

// TestSoakUnasked guards against work that no client sent, ends of jobs that are forgotten,
// streams and answers that look complete, and nodes that odd entries of another writer mislead.
func TestSoakUnasked(t *testing.T) {
	cases := map[string]struct {
		plan soak.Plan
		// count returns what the case must have counted.
		count func(l *soak.Ledger) int
	}{
		"broken answers": {soak.Plan{Seed: 5502, Answers: true}, func(l *soak.Ledger) int { return l.Streams.Complete }},
		"ends sent once": {soak.Plan{Seed: 5503, Ends: true}, func(l *soak.Ledger) int { return l.UnrepeatedEnds - l.LostEnds }},
		"odd entries":    {soak.Plan{Seed: 5502, Odd: true}, func(l *soak.Ledger) int { return l.Followed }},
		"planned stops":  {soak.Plan{Seed: 6101, Stops: true}, func(l *soak.Ledger) int { return l.KeptServed }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := openRigWith(t, soak.Options{Fronts: 3, Stores: 3, Engines: 4, Plains: 2, SoftwareVersions: 2, EventInterval: 30 * time.Millisecond})
			c.plan.FaultDuration, c.plan.NoProcessFaults, c.plan.Log = 8*time.Second, true, zerolog.Nop()
			ledger := soak.Run(context.Background(), r, c.plan)
			t.Log(ledger.Summary())
			require.Empty(t, ledger.Violations)
			require.Positive(t, c.count(ledger))
			require.Positive(t, ledger.Received)
		})
	}
}
