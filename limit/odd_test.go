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
