package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/stand"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

// endedLine is the line of a job that ended, as far as tests use it.
type endedLine struct {
	Message  string
	Source   string
	Lag      *float64 `json:"lag_ms"`
	Canceled activity
	// After is what was sent after the end, the last by Worst.
	After struct {
		activity
		Worst float64 `json:"worst_ms"`
	} `json:"sent_after"`
}

// sentLine is the line of a call for a task, as far as tests use it.
type sentLine struct {
	Kind     string
	Task     string
	Sent     string
	AfterEnd float64 `json:"after_end_ms"`
	Known    float64 `json:"known_ms"`
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

// Guards against steps that wait for ends which can't be read in an outage, and against
// work for ended jobs before they are read.
func TestJobKeptBack(t *testing.T) {
	notice := func(p *poolRunner) (opened func() bool) {
		job := &quetzalpier.Job{ID: "k", SubmittedAt: burstStart, ExpiresAt: burstStart.Add(time.Hour)}
		if !p.hold(job) {
			p.openJob(job, false, burstStart)
		}
		return func() bool {
			p.goroutines.Wait()
			return p.scheduler.Jobs["k"] != nil
		}
	}
	newPool := func() *poolRunner {
		p, kv := newBurst(t, 1, 1, 1).pool, stand.NewMemoryKV()
		p.runner.KV, p.runner.Vault = kv, &vault.Vault{KV: kv}
		return p
	}
	t.Run("until the ends are read", func(t *testing.T) {
		p := newPool()
		opened := notice(p)
		p.failEndsRead(false, burstStart)
		p.applyEnds(nil, false, burstStart)
		require.False(t, opened())
		p.applyEnds(nil, true, burstStart)
		require.True(t, opened())
	})
	t.Run("an ended job is never opened", func(t *testing.T) {
		p := newPool()
		opened := notice(p)
		p.applyEnds([]quetzalpier.Entry{{Key: vault.Ends + "k", Rev: 1}}, true, burstStart)
		require.False(t, opened())
	})
	t.Run("a stand-in goes on after a failed read", func(t *testing.T) {
		p := newPool()
		p.standInFor = &board.Owner{}
		opened := notice(p)
		p.failEndsRead(true, burstStart)
		require.True(t, opened())
	})
	t.Run("an owner goes on about when its lease ends", func(t *testing.T) {
		p := newPool()
		opened := notice(p)
		p.failEndsRead(true, burstStart)
		require.False(t, opened())
		p.failEndsRead(false, burstStart.Add(unreadEndsWait))
		p.failEndsRead(true, burstStart.Add(unreadEndsWait))
		require.False(t, opened())
		p.failEndsRead(true, burstStart.Add(2*unreadEndsWait))
		require.True(t, opened())
	})
}

// Guards against a customer that ends another one's job before the end is stored.
func TestStopJob(t *testing.T) {
	b, log := newLoggedBurst(t, 2)
	b.place(t)
	b.pool.scheduler.Jobs["j"].Spec.Customer = "alpha"
	r := b.pool.runner
	r.runners = map[string]*poolRunner{"lm": b.pool}
	for _, other := range []string{"beta", ""} {
		r.StopJob("j", other, burstStart, burstStart)
	}
	r.StopJob("k", "alpha", burstStart, burstStart)
	require.Empty(t, logLines[endedLine](t, log, "job ended"))
	require.Empty(t, b.pool.endedJobs)
	r.StopJob("j", "alpha", burstStart, burstStart)
	require.Len(t, logLines[endedLine](t, log, "job ended"), 1)
}

// Guards against calls that reach an upstream after the end of their job unseen.
func TestSentAfterEnd(t *testing.T) {
	b, log := newLoggedBurst(t, 5)
	runs, _ := b.place(t)
	require.Len(t, runs, 5)
	endedAt := burstStart.Add(time.Second)
	early, late, known := endedAt.Add(-time.Millisecond), endedAt.Add(700*time.Millisecond), endedAt.Add(2*time.Second)
	runs[0].recordSent(early)
	runs[1].recordSent(late)
	b.pool.recordSent(kindReward, runs[0].task, "r", "s", endedAt.Add(1200*time.Millisecond))
	b.pool.endJob("j", end{endedAt, sourceWatch}, known)
	lines := logLines[endedLine](t, log, "job ended")
	require.Len(t, lines, 1)
	require.Equal(t, activity{Runs: 1, Rewards: 1}, lines[0].After.activity)
	require.InDelta(t, 1200, lines[0].After.Worst, 0)
	require.Empty(t, b.pool.sent)

	t.Run("a call that is sent although the end is known", func(t *testing.T) {
		runs[2].recordSent(known.Add(50 * time.Millisecond))
		runs[3].recordSent(known)
		sentAt := known.Add(50 * time.Millisecond)
		lines := logLines[sentLine](t, log, "request was sent although its job is known to have ended")
		require.Equal(t, []sentLine{{Kind: "run", Task: "t2", Sent: sentAt.Format(zerolog.TimeFieldFormat), AfterEnd: 2050, Known: 50}}, lines)
		require.Equal(t, 2, testutil.CollectAndCount(b.pool.runner.Meter.SentAfterEnd))
	})
	t.Run("canceled calls", func(t *testing.T) {
		for _, r := range runs {
			b.pool.finishRun(r, context.Canceled, true, known)
		}
		lines := logLines[sentLine](t, log, "run ended")
		require.Len(t, lines, 5)
		require.Equal(t, sentLine{Task: "t1", Sent: late.Format(zerolog.TimeFieldFormat), AfterEnd: 700}, lines[1])
		require.Equal(t, sentLine{Task: "t4"}, lines[4], "it was not sent")
		reward := rewardOutcome{Upstream: "s", BeganAt: early, SentAt: late, Err: context.Canceled}
		runs[0].task.Spec.Reward = &quetzalpier.Reward{ID: "r"}
		require.True(t, b.pool.applyReward(runs[0].task, reward, known))
		require.Equal(t, []sentLine{{Task: "t0", Sent: late.Format(zerolog.TimeFieldFormat), AfterEnd: 700}}, logLines[sentLine](t, log, "reward call of a closed job ended"))
	})
}

// An owner decoded all jobs of the last minutes at each full read, for seconds on a small VM.
func TestHandledJobsAreNotDecoded(t *testing.T) {
	b, log := newLoggedBurst(t, 2)
	b.place(t)
	// A job that a front sent is decoded once, to see that it is stored for this pool.
	require.True(t, b.pool.mayBeForeign("j"))
	require.True(t, b.pool.applyRecord("j", b.pool.pool, burstStart))
	b.pool.applyEnds([]quetzalpier.Entry{{Key: vault.Ends + "k", Rev: 1}}, false, burstStart)
	handled := []quetzalpier.Entry{{Key: vault.Jobs + "j", Value: []byte("odd"), Rev: 2}, {Key: vault.Jobs + "k", Value: []byte("odd"), Rev: 3}}
	b.pool.applyJobs(handled, false, burstStart)
	require.NotContains(t, log.String(), "failed to decode job")
	require.Contains(t, b.pool.dropped, "k")
	b.pool.applyJobs([]quetzalpier.Entry{{Key: vault.Jobs + "l", Value: []byte("odd"), Rev: 4}}, false, burstStart)
	require.Contains(t, log.String(), "failed to decode job")
}
