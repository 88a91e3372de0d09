package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/board"
	"quetzalpier/poison"
)

var start = time.Unix(1_000_000, 0)

func newState() (s *board.State) {
	board.New(board.Member{ID: "n"}).Do(func(state *board.State) { s = state })
	return s
}

const bad = uint64(666)

// innocents are the fingerprints in flight beside the bad one.
func innocents(n int) []uint64 {
	var list []uint64
	for i := range n {
		list = append(list, uint64(i+1))
	}
	return list
}

// judge is a way of judging: the package's own or the naive one.
type judge struct {
	judge    func(s *board.State, fingerprint uint64, now time.Time) poison.Verdict
	crashed  func(s *board.State, fingerprints []uint64, now time.Time)
	finished func(s *board.State, fingerprint uint64)
}

var (
	ours = judge{
		poison.Judge,
		func(s *board.State, p []uint64, now time.Time) { poison.Crashed(s, p, now) },
		poison.Finished,
	}
	naive = judge{poison.JudgeNaive, poison.CrashedNaive, func(*board.State, uint64) {}}
)

// play sends the bad request again and again among innocent ones; it returns
// how many upstreams were lost and how many innocents were condemned.
func play(j judge, seed uint64) (lost, wronged int) {
	s := newState()
	rnd := rand.New(rand.NewPCG(seed, seed))
	now := start
	for range 12 {
		now = now.Add(time.Second)
		beside := innocents(rnd.IntN(20))
		switch j.judge(s, bad, now) {
		case poison.Condemned:
			continue
		case poison.Alone:
			beside = nil
		}
		lost++
		j.crashed(s, append(beside, bad), now)
		// The innocent ones are sent again and run to their end.
		for _, fingerprint := range beside {
			if j.judge(s, fingerprint, now) != poison.Condemned {
				j.finished(s, fingerprint)
			}
		}
	}
	for _, fingerprint := range innocents(20) {
		if j.judge(s, fingerprint, now) == poison.Condemned {
			wronged++
		}
	}
	return lost, wronged
}

func TestPoison(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("two upstreams at most and no innocent, seed %d", seed), func(t *testing.T) {
			lost, wronged := play(ours, seed)
			require.Equal(t, 2, lost)
			require.Zero(t, wronged)
		})
	}
	t.Run("the naive version condemns innocents", func(t *testing.T) {
		total := 0
		for seed := range uint64(10) {
			_, wronged := play(naive, seed)
			total += wronged
		}
		require.Positive(t, total)
	})
	t.Run("one crash with twenty in flight condemns none", func(t *testing.T) {
		s := newState()
		poison.Crashed(s, innocents(20), start)
		for _, fingerprint := range innocents(20) {
			require.Equal(t, poison.Alone, poison.Judge(s, fingerprint, start))
		}
	})
	t.Run("suspects wait until crashes with one cause are over", func(t *testing.T) {
		s := newState()
		require.True(t, poison.Ready(s, start))
		poison.Crashed(s, innocents(3), start)
		require.False(t, poison.Ready(s, start.Add(time.Second)))
		require.True(t, poison.Learn(s, bad, 1, 0, start.Add(3*time.Second)))
		require.False(t, poison.Ready(s, start.Add(5*time.Second)))
		require.True(t, poison.Ready(s, start.Add(8*time.Second)))
	})
	t.Run("strikes are forgotten", func(t *testing.T) {
		s := newState()
		poison.Crashed(s, []uint64{bad}, start)
		poison.Crashed(s, []uint64{bad}, start)
		require.Equal(t, poison.Condemned, poison.Judge(s, bad, start.Add(9*time.Minute)))
		require.Equal(t, poison.Free, poison.Judge(s, bad, start.Add(11*time.Minute)))
	})
	t.Run("other nodes' strikes count", func(t *testing.T) {
		s := newState()
		require.True(t, poison.Learn(s, bad, 2, time.Second, start))
		require.False(t, poison.Learn(s, bad, 1, time.Second, start))
		require.Equal(t, poison.Condemned, poison.Judge(s, bad, start))
	})
	t.Run("strikes are bounded", func(t *testing.T) {
		s := newState()
		for i := range 5000 {
			poison.Crashed(s, []uint64{uint64(i + 1)}, start.Add(time.Duration(i)*time.Millisecond))
		}
		require.LessOrEqual(t, len(s.Poison), 4096)
		require.Contains(t, s.Poison, uint64(5000))
	})
}
