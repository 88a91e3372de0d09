package runner

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

// endedLine is the line of a job that ended, as far as tests use it.
type endedLine struct {
	Message  string
	Source   string
	Lag      *float64 `json:"lag_ms"`
	Canceled activity
}

// logLines decodes the lines of a log with a message.
func logLines[T any](t *testing.T, log *bytes.Buffer, message string) []T {
	t.Helper()
	var lines []T
	for _, text := range bytes.Split(bytes.TrimSpace(log.Bytes()), []byte("\n")) {
		if bytes.Contains(text, []byte(`"message":"`+message+`"`)) {
			var line T
			require.NoError(t, json.Unmarshal(text, &line))
			lines = append(lines, line)
		}
	}
	return lines
}

// newLoggedBurst returns a burst and its log.
func newLoggedBurst(t *testing.T, taskCount int) (*burst, *bytes.Buffer) {
	t.Helper()
	b, log := newBurst(t, 1, taskCount, taskCount), &bytes.Buffer{}
	b.pool.runner.Log = zerolog.New(log)
	return b, log
}

// Guards against logs that do not tell how late, and how, an owner learned of an end.
func TestEndLag(t *testing.T) {
	lag := 2 * time.Second
	stored, err := wire.EncodeEnd(burstStart)
	require.NoError(t, err)
	for name, learn := range map[string]func(p *poolRunner, now time.Time){
		"watch":  func(p *poolRunner, now time.Time) { p.applyEnds(endEntries(stored), false, now) },
		"read":   func(p *poolRunner, now time.Time) { p.applyEnds(endEntries(stored), true, now) },
		"notice": func(p *poolRunner, now time.Time) { p.endJob("j", end{burstStart, sourceNotice}, now) },
	} {
		t.Run(name, func(t *testing.T) {
			b, log := newLoggedBurst(t, 3)
			b.place(t)
			learn(b.pool, burstStart.Add(lag))
			learn(b.pool, burstStart.Add(2*lag))
			ms := float64(lag.Milliseconds())
			require.Equal(t, []endedLine{{Message: "job ended", Source: name, Lag: &ms, Canceled: activity{Runs: 3}}}, logLines[endedLine](t, log, "job ended"))
			require.Equal(t, 1, testutil.CollectAndCount(b.pool.runner.Meter.EndLag))
		})
	}
	t.Run("the value of an earlier version", func(t *testing.T) {
		b, log := newLoggedBurst(t, 1)
		b.pool.applyEnds(endEntries([]byte("ended")), false, burstStart)
		require.Equal(t, []endedLine{{Message: "job ended", Source: "watch"}}, logLines[endedLine](t, log, "job ended"))
		require.Zero(t, testutil.CollectAndCount(b.pool.runner.Meter.EndLag))
	})
}

func endEntries(value []byte) []quetzalpier.Entry {
	return []quetzalpier.Entry{{Key: vault.Ends + "j", Value: value, Rev: 1}}
}
