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

// crashing is the fingerprint of the request that crashes its upstream.
const crashing = uint64(666)

// harmless returns n fingerprints that cause no crash.
func harmless(n int) []uint64 {
	var list []uint64
	for i := range n {
		list = append(list, uint64(i+1))
	}
	return list
}

// policy is an implementation under test: the package's own or the baseline.
type policy struct {
	check            func(s *board.State, fingerprint uint64, now time.Time) poison.Verdict
	recordCrash      func(s *board.State, fingerprints []uint64, now time.Time)
	recordCompletion func(s *board.State, fingerprint uint64)
}

var (
	ours = policy{
		poison.Check,
		func(s *board.State, p []uint64, now time.Time) { poison.RecordCrash(s, p, now) },
		poison.RecordCompletion,
	}
	naive = policy{poison.CheckNaive, poison.RecordCrashNaive, func(*board.State, uint64) {}}
)

// simulate sends the crashing request repeatedly among harmless ones. It returns
// the number of lost upstreams and of harmless requests that were blocked.
func simulate(p policy, seed uint64) (lost, blocked int) {
	s := newState()
	rnd := rand.New(rand.NewPCG(seed, seed))
	now := start
	for range 12 {
		now = now.Add(time.Second)
		others := harmless(rnd.IntN(20))
		switch p.check(s, crashing, now) {
		case poison.Blocked:
			continue
		case poison.Isolated:
			others = nil
		}
		lost++
		p.recordCrash(s, append(others, crashing), now)
		// The harmless ones are sent again and complete.
		for _, fingerprint := range others {
			if p.check(s, fingerprint, now) != poison.Blocked {
				p.recordCompletion(s, fingerprint)
			}
		}
	}
	for _, fingerprint := range harmless(20) {
		if p.check(s, fingerprint, now) == poison.Blocked {
			blocked++
		}
	}
	return lost, blocked
}

func TestPoison(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("two upstreams are lost and no harmless request is blocked, seed %d", seed), func(t *testing.T) {
			lost, blocked := simulate(ours, seed)
			require.Equal(t, 2, lost)
			require.Zero(t, blocked)
		})
	}
	t.Run("the baseline blocks harmless requests", func(t *testing.T) {
		total := 0
		for seed := range uint64(10) {
			_, blocked := simulate(naive, seed)
			total += blocked
		}
		require.Positive(t, total)
	})
	t.Run("one crash with twenty requests in flight blocks none", func(t *testing.T) {
		s := newState()
		poison.RecordCrash(s, harmless(20), start)
		for _, fingerprint := range harmless(20) {
			require.Equal(t, poison.Isolated, poison.Check(s, fingerprint, start))
		}
	})
	t.Run("suspects wait until crashes with a common cause are over", func(t *testing.T) {
		s := newState()
		require.True(t, poison.TrialAllowed(s, start))
		poison.RecordCrash(s, harmless(3), start)
		require.False(t, poison.TrialAllowed(s, start.Add(time.Second)))
		require.True(t, poison.MergeStrikes(s, crashing, 1, 0, start.Add(3*time.Second)))
		require.False(t, poison.TrialAllowed(s, start.Add(5*time.Second)))
		require.True(t, poison.TrialAllowed(s, start.Add(8*time.Second)))
	})
	t.Run("strikes expire", func(t *testing.T) {
		s := newState()
		poison.RecordCrash(s, []uint64{crashing}, start)
		poison.RecordCrash(s, []uint64{crashing}, start)
		require.Equal(t, poison.Blocked, poison.Check(s, crashing, start.Add(9*time.Minute)))
		require.Equal(t, poison.Allowed, poison.Check(s, crashing, start.Add(11*time.Minute)))
	})
	t.Run("strikes of other nodes count", func(t *testing.T) {
		s := newState()
		require.True(t, poison.MergeStrikes(s, crashing, 2, time.Second, start))
		require.False(t, poison.MergeStrikes(s, crashing, 1, time.Second, start))
		require.Equal(t, poison.Blocked, poison.Check(s, crashing, start))
	})
	t.Run("the number of strikes is bounded", func(t *testing.T) {
		s := newState()
		for i := range 5000 {
			poison.RecordCrash(s, []uint64{uint64(i + 1)}, start.Add(time.Duration(i)*time.Millisecond))
		}
		require.LessOrEqual(t, len(s.Strikes), 4096)
		require.Contains(t, s.Strikes, uint64(5000))
	})
}
