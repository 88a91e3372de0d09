package runner

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/stand"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

// A job that was kept back until the ends were read was opened without the results that an
// earlier owner had stored, and readers got none of them.
func TestKeptBackJobLacksStoredResults(t *testing.T) {
	p, kv := newBurst(t, 1, 1, 1).pool, stand.NewMemoryKV()
	p.runner.KV, p.runner.Vault = kv, &vault.Vault{KV: kv}
	job := &quetzalpier.Job{
		ID: "k", Pool: "lm", Host: "h", Model: "m", MinVersion: 1, WantGroups: 1, MaxAttempts: 1,
		SubmittedAt: burstStart.Add(-time.Minute), DueAt: burstStart.Add(time.Minute), ExpiresAt: burstStart.Add(time.Hour),
	}
	job.Tasks = []quetzalpier.Task{{ID: "k-0", Group: "g", Path: "/k"}}
	_, err := p.runner.Vault.Put(t.Context(), job)
	require.NoError(t, err)
	page, err := wire.EncodeResults([]quetzalpier.Result{{ID: "k-0", Done: true, Text: "x", Versions: []quetzalpier.Version{1}}})
	require.NoError(t, err)
	_, err = kv.CompareAndSwap(t.Context(), "out/k/000000", page, 0, "")
	require.NoError(t, err)
	require.True(t, p.hold(job))
	stored, err := kv.Range(t.Context(), vault.Jobs, false)
	require.NoError(t, err)
	// The goroutine that opens the job gets its turn after the jobs have been read.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	p.applyJobs(stored.Entries, true, burstStart)
	p.goroutines.Wait()
	require.NotNil(t, p.scheduler.Jobs["k"])
	require.True(t, p.unread["k"] || len(p.scheduler.Jobs["k"].Listed) == 1, "the stored results are neither read nor known to be unread")
}
