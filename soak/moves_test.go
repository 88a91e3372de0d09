package soak_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier/soak"
)

// TestSoakMoves guards against accepted steps that no node runs any more, since the batch route was
// moved to another pool before the owner of theirs was lost (review-6).
func TestSoakMoves(t *testing.T) {
	for _, seed := range []uint64{74011, 74014} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r := openRigWith(t, soak.Options{Fronts: 2, Stores: 3, Engines: 4, SpareEngines: 4, Plains: 2, EventInterval: 100 * time.Millisecond})
			plan := soak.Plan{Seed: seed, FaultDuration: 12 * time.Second, Moves: true, StoreFaults: true, NoProcessFaults: true, Log: zerolog.Nop()}
			ledger := soak.Run(t.Context(), r, plan)
			t.Log(ledger.Summary())
			require.Empty(t, ledger.Violations)
			require.Positive(t, ledger.Steps)
		})
	}
}
