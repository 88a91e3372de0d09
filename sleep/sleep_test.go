package sleep_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/sleep"
)

func TestBackoff(t *testing.T) {
	const base, limit = 100 * time.Millisecond, 2 * time.Second
	for failures, want := range map[int]time.Duration{
		0: base, 1: base, 2: 2 * base, 4: 8 * base, 5: 16 * base, 6: limit, 1000: limit,
	} {
		require.Equal(t, want, sleep.Backoff(failures, base, limit, 0), "%d failures", failures)
		require.Equal(t, want/2, sleep.Backoff(failures, base, limit, 1), "%d failures", failures)
	}
}
