package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/wire"
)

// step is a job whose results are stored at given times.
type step struct {
	start    time.Time
	storedAt []time.Duration
	// needed is how many results the trainer needs.
	needed int
}

// poll returns the results stored by now, like poolRunner.pollResults.
func (s step) poll(now time.Time) (*wire.Results, chan struct{}) {
	stored := 0
	for stored < len(s.storedAt) && now.Sub(s.start) >= s.storedAt[stored] {
		stored++
	}
	reply := &wire.Results{Known: true}
	for range stored {
		reply.Results = append(reply.Results, &wire.Result{})
	}
	if stored >= s.needed {
		return reply, nil
	}
	more := make(chan struct{})
	time.AfterFunc(s.start.Add(s.storedAt[stored]).Sub(now), func() { close(more) })
	return reply, more
}

func TestWaitForResults(t *testing.T) {
	read := func(t *testing.T, at []time.Duration, needed, results int, took time.Duration) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			s := step{start: time.Now(), storedAt: at, needed: needed}
			reply := waitForResults(t.Context(), time.Second, s.poll)
			require.Len(t, reply.GetResults(), results)
			require.Equal(t, took, time.Since(s.start))
		})
	}
	ms := time.Millisecond
	t.Run("available results are returned at once", func(t *testing.T) {
		read(t, []time.Duration{0, 50 * ms, 2 * time.Second}, 3, 1, 0)
	})
	t.Run("results stored shortly after the first are returned with it", func(t *testing.T) {
		read(t, []time.Duration{400 * ms, 408 * ms, 2 * time.Second}, 3, 2, 550*ms)
	})
	t.Run("the reply is not delayed once the trainer can have all it needs", func(t *testing.T) {
		read(t, []time.Duration{400 * ms, 480 * ms, 2 * time.Second}, 2, 2, 480*ms)
	})
	t.Run("a read without a result times out", func(t *testing.T) {
		read(t, []time.Duration{2 * time.Second}, 1, 0, time.Second)
	})
	t.Run("the delay for more results may exceed the wait", func(t *testing.T) {
		read(t, []time.Duration{990 * ms, 1100 * ms, 2 * time.Second}, 3, 2, 1140*ms)
	})
	t.Run("a canceled read returns without results", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*ms)
			defer cancel()
			s := step{start: time.Now(), storedAt: []time.Duration{2 * time.Second}, needed: 1}
			require.Empty(t, waitForResults(ctx, time.Second, s.poll).GetResults())
			require.Equal(t, 100*ms, time.Since(s.start))
		})
	})
}
