package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load pattern: nothing changes for longer than the key-value service keeps its
// history, at all nodes at once.
func TestWatchTimeout(t *testing.T) {
	for history, want := range map[time.Duration]time.Duration{
		20 * time.Second: 17 * time.Second, 4 * time.Second: 3400 * time.Millisecond, time.Hour: maxWatchTimeout,
	} {
		require.Equal(t, want, watchTimeout(history))
	}
}
