package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/wire"
)

// step is a step's job whose results are listed at given times.
type step struct {
	start time.Time
	at    []time.Duration
	// want is how many results the trainer needs.
	want int
}

// peek answers as a term does.
func (s step) peek(now time.Time) (*wire.Results, chan struct{}) {
	listed := 0
	for listed < len(s.at) && now.Sub(s.start) >= s.at[listed] {
		listed++
	}
	answer := &wire.Results{Known: true}
	for range listed {
		answer.Results = append(answer.Results, &wire.Result{})
	}
	if listed >= s.want {
		return answer, nil
	}
	news := make(chan struct{})
	time.AfterFunc(s.start.Add(s.at[listed]).Sub(now), func() { close(news) })
	return answer, news
}

func TestGather(t *testing.T) {
	read := func(t *testing.T, at []time.Duration, want, results int, took time.Duration) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			s := step{start: time.Now(), at: at, want: want}
			answer := gather(t.Context(), time.Second, s.peek)
			require.Len(t, answer.GetResults(), results)
			require.Equal(t, took, time.Since(s.start))
		})
	}
	ms := time.Millisecond
	t.Run("what is there is answered at once", func(t *testing.T) {
		read(t, []time.Duration{0, 50 * ms, 2 * time.Second}, 3, 1, 0)
	})
	t.Run("results that come together are read together", func(t *testing.T) {
		read(t, []time.Duration{400 * ms, 408 * ms, 2 * time.Second}, 3, 2, 550*ms)
	})
	t.Run("nothing is held back once the trainer can have all it needs", func(t *testing.T) {
		read(t, []time.Duration{400 * ms, 480 * ms, 2 * time.Second}, 2, 2, 480*ms)
	})
	t.Run("a wait without a result ends", func(t *testing.T) {
		read(t, []time.Duration{2 * time.Second}, 1, 0, time.Second)
	})
	t.Run("the last result may come while others are waited for", func(t *testing.T) {
		read(t, []time.Duration{990 * ms, 1100 * ms, 2 * time.Second}, 3, 2, 1140*ms)
	})
	t.Run("a caller that leaves ends the wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*ms)
			defer cancel()
			s := step{start: time.Now(), at: []time.Duration{2 * time.Second}, want: 1}
			require.Empty(t, gather(ctx, time.Second, s.peek).GetResults())
			require.Equal(t, 100*ms, time.Since(s.start))
		})
	})
}
