package runner_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalpier/wire"
)

// Guards against a read from a position beyond an integer, which is negative after the
// conversion: the slice of the listed results panicked, and the process ended.
func TestReadFromHugePositionDoesNotEndTheProcess(t *testing.T) {
	r := newFixture(t, 1)
	r.putJob(t, newJob("j", 1, 2))
	r.waitResults(t, "j", 1)
	for _, after := range []uint64{math.MaxUint64, 1 << 63, math.MaxInt64, 1} {
		require.NotPanics(t, func() {
			require.Empty(t, r.runner.Read(t.Context(), &wire.Read{Job: "j", After: after}).GetResults())
		}, "position %d", after)
	}
}
