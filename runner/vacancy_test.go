package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMayTake(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name              string
		rank              int
		answered, standby bool
		stable            bool
		wait              time.Duration
	}{
		{"the first candidate takes a pool at once", 0, false, false, true, 0},
		{"a later one leaves time to those before it", 2, true, false, true, 2 * candidateDelay},
		{"after an outage the first one waits for the answers", 0, false, false, false, standbyTimeout},
		{"it waits no longer if no node processes the pool", 0, true, false, false, 0},
		{"the first one leaves the pool to a node that processes it", 0, true, true, false, standbyLead},
		{"so does a later one, which takes it after the first", 3, true, true, true, standbyLead + 3*candidateDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &vacancy{since: start, answered: c.answered, standby: c.standby}
			require.True(t, v.mayTake(c.rank, c.stable, start.Add(c.wait)))
			if c.wait > 0 {
				require.False(t, v.mayTake(c.rank, c.stable, start.Add(c.wait-time.Millisecond)))
			}
		})
	}
}
