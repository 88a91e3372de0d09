package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/setup"
)

// Load pattern: nothing changes for longer than the key-value service keeps its
// history, at all nodes at once.
func TestWatchTimeout(t *testing.T) {
	for _, c := range []struct{ history, contact, apply, want time.Duration }{
		{20 * time.Second, 3 * time.Second, 2 * time.Second, 3700 * time.Millisecond},
		{20 * time.Second, time.Minute, 2 * time.Second, 17 * time.Second},
		{4 * time.Second, 3 * time.Second, 2 * time.Second, 3400 * time.Millisecond},
		{time.Hour, time.Minute, 2 * time.Second, maxWatchTimeout},
		{20 * time.Second, time.Second, time.Second, time.Second},
	} {
		settings := setup.Serve{KVHistory: setup.Duration(c.history), ContactTime: setup.Duration(c.contact), ApplyTime: setup.Duration(c.apply)}
		require.Equal(t, c.want, watchTimeout(settings))
	}
}
