package limit_test

import (
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/wire"
)

// Guards against an age from another node that is negative after the conversion: the limit
// was from the future, and what the upstream named later was not believed any more.
func TestHugeAgeIsNotFromTheFuture(t *testing.T) {
	var cut atomic.Value
	cut.Store("")
	for _, age := range []uint64{math.MaxUint64, 1<<63 - 1, 1 << 63, math.MaxUint64 / 1_000_000, 1 << 44} {
		keeper := newKeepers(t, &cut, "a")["a"]
		now := time.Now()
		keeper.Serve(&wire.Limits{Limits: []*wire.Limit{{Upstream: "u", Born: 1, Named: true, Rate: 0, Age: age}}}, now)
		keeper.Observe(vm, quetzalpier.Notice{Limit: limit5}, now, now)
		require.Equal(t, limit5, named(keeper), "age %d", age)
	}
}

// FuzzServe checks that what another node says of limits keeps the limits within bounds.
func FuzzServe(f *testing.F) {
	f.Add("u", int64(1), true, 5.0, uint64(0), true, "u", "n")
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1, 1e300, 0} {
		f.Add("u", int64(math.MinInt64), true, rate, uint64(math.MaxUint64), false, "", "")
		f.Add("u", int64(1), true, rate, uint64(1<<63), false, "u", "")
		f.Add("x", int64(math.MaxInt64), false, rate, uint64(1), true, "x", "\xff")
	}
	var cut atomic.Value
	cut.Store("")
	f.Fuzz(func(t *testing.T, upstream string, born int64, isNamed bool, rate float64, age uint64, leaving bool, take, node string) {
		keeper := newKeepers(t, &cut, "a")["a"]
		now := time.Now()
		for _, full := range []bool{false, true} {
			permit := keeper.Serve(&wire.Limits{
				Limits: []*wire.Limit{nil, {Upstream: upstream, Born: born, Named: isNamed, Rate: rate, Age: age, Leaving: leaving}}, Take: take, Node: node, Full: full,
			}, now)
			require.LessOrEqual(t, wire.Millis(permit.GetWait()), time.Minute)
		}
		require.NoError(t, named(keeper).Validate())
		keeper.Observe(vm, quetzalpier.Notice{Limit: limit5}, now, now)
		require.Equal(t, limit5, named(keeper))
	})
}
