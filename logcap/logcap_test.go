package logcap_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier/logcap"
)

func TestAllow(t *testing.T) {
	start := time.Unix(1000, 0)
	var limiter logcap.Limiter
	for range logcap.Burst {
		_, ok := limiter.Allow("reward call failed", start)
		require.True(t, ok)
	}
	for range 7 {
		_, ok := limiter.Allow("reward call failed", start.Add(logcap.Period/2))
		require.False(t, ok)
	}
	_, ok := limiter.Allow("job ended", start)
	require.True(t, ok, "another message has its own limit")
	suppressed, ok := limiter.Allow("reward call failed", start.Add(logcap.Period))
	require.True(t, ok)
	require.Equal(t, 7, suppressed)
	suppressed, _ = limiter.Allow("reward call failed", start.Add(logcap.Period))
	require.Zero(t, suppressed, "each suppressed line is reported once")
}

func TestLimiter(t *testing.T) {
	var out bytes.Buffer
	suppressed := 0
	log := zerolog.New(&out).Hook(&logcap.Limiter{OnSuppress: func() { suppressed++ }})
	for range 3 * logcap.Burst {
		log.Warn().Str("task", "t").Msg("reward call failed")
		log.Info().Msg("run ended")
	}
	require.GreaterOrEqual(t, suppressed, logcap.Burst, "three bursts fall into at most two periods")
	require.Equal(t, 3*logcap.Burst-suppressed, strings.Count(out.String(), "reward call failed"))
	require.Equal(t, 3*logcap.Burst, strings.Count(out.String(), "run ended"), "work done is always logged")
}
