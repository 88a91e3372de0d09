package proof_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/hash"
	"quetzalpier/stand"
	"quetzalpier/train"
)

// trainerOptions returns options of a trainer whose steps take longer than the
// injected faults.
func trainerOptions(r *rig, steps int) stand.TrainerOptions {
	return stand.TrainerOptions{
		Name: "t", Nodes: r.addrs(), Pool: "m", Steps: steps, Groups: 6, GroupSize: 6, Tokens: 256, MaxAge: 1, FirstStep: 1,
		LearnDuration: 50 * time.Millisecond,
	}
}

func requireCorrectResult(t *testing.T, result stand.TrainerResult) {
	t.Helper()
	require.Empty(t, result.ErrorText)
	require.Equal(t, result.Expected, result.Samples)
	require.Zero(t, result.Duplicates)
	require.Zero(t, result.Stale)
	require.Zero(t, result.BadSpans)
	require.Zero(t, result.Wrong)
}

// trainDuring runs a trainer while fault injects faults, and returns its result.
func (r *rig) trainDuring(o stand.TrainerOptions, fault func()) stand.TrainerResult {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var result stand.TrainerResult
	var wait conc.WaitGroup
	wait.Go(func() { result = stand.RunTrainer(ctx, o) })
	fault()
	wait.Wait()
	return result
}

// stepOwner returns the number of the node that owns the trainer's steps.
func (r *rig) stepOwner(trainer string) int {
	var names []string
	byName := map[string]int{}
	for i := range r.nodes {
		name := fmt.Sprintf("n%d", i)
		names = append(names, name)
		byName[name] = i
	}
	return byName[hash.Owner("steps/"+trainer, names)]
}

func (r *rig) waitEngineBusy() {
	r.t.Helper()
	r.eventually("an engine to have requests in flight", func() bool {
		for _, e := range r.engines {
			if e.SequenceCount() > 0 {
				return true
			}
		}
		return false
	})
}

func TestTrainerUnderFaults(t *testing.T) {
	t.Parallel()
	slow := defaultParams()
	slow.BaseTime = 15 * time.Millisecond
	cases := []struct {
		name  string
		fault func(r *rig)
	}{
		{"owner killed", func(r *rig) {
			r.nodes[r.stepOwner("t")].kill()
		}},
		{"owner paused until it is removed from the membership, then resumed", func(r *rig) {
			owner := r.nodes[r.stepOwner("t")]
			owner.signal(r.t, syscall.SIGSTOP)
			time.Sleep(12 * time.Second)
			owner.signal(r.t, syscall.SIGCONT)
		}},
		{"key-value service unavailable throughout", func(r *rig) {
			r.kv.SetFaults(stand.KVFaults{Unavailable: true})
		}},
		{"engine crashes", func(r *rig) {
			r.engines[0].Crash(2 * time.Second)
			time.Sleep(time.Second)
			r.engines[1].Crash(time.Second)
		}},
		{"engine paused and resumed", func(r *rig) {
			r.engines[0].SetFaults(stand.EngineFaults{Frozen: true})
			time.Sleep(6 * time.Second)
			r.engines[0].SetFaults(stand.EngineFaults{})
		}},
		{"swaps fail halfway and an engine reports swaps that it did not make", func(r *rig) {
			r.engines[0].SetFaults(stand.EngineFaults{FailSwaps: 2})
			r.engines[1].SetFaults(stand.EngineFaults{FalseSuccess: true})
			time.Sleep(8 * time.Second)
			r.engines[1].SetFaults(stand.EngineFaults{})
		}},
		{"owner killed while the key-value service is unavailable and an engine crashes", func(r *rig) {
			r.kv.SetFaults(stand.KVFaults{Unavailable: true})
			r.engines[0].Crash(2 * time.Second)
			r.nodes[r.stepOwner("t")].kill()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, rigOptions{engines: 3, params: slow, swapTime: 50 * time.Millisecond})
			r.startProcesses(1, 2, 3)
			result := r.trainDuring(trainerOptions(r, 3), func() {
				r.waitEngineBusy()
				c.fault(r)
			})
			requireCorrectResult(t, result)
		})
	}
}

func TestTrainerRestart(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{engines: 2})
	r.start(nil, 1, 2)
	s := quetzalpier.Step{Number: 1, Pool: "m"}
	for range 4 {
		s.Groups = append(s.Groups, quetzalpier.Group{ID: "g", Prompt: "p", Count: 4, Tokens: 64})
	}
	pullAll := func(client *train.Client) int {
		total := 0
		for client.Remaining() > 0 {
			samples, _, err := client.Pull(t.Context(), time.Second)
			require.NoError(t, err)
			total += len(samples)
		}
		return total
	}
	first := train.New("t", r.addrs())
	first.Version, first.MaxAge = 1, 1
	require.NoError(t, first.OpenStep(t.Context(), s))
	require.Equal(t, 16, pullAll(first))
	t.Run("a trainer restored from a checkpoint gets the samples that the checkpoint lacks", func(t *testing.T) {
		var saved quetzalpier.Bitmap
		for i := range 10 {
			saved = saved.Set(i)
		}
		second := train.New("t", r.addrs())
		second.Version, second.MaxAge = 1, 1
		second.Restore(s, saved)
		require.Equal(t, 6, pullAll(second))
	})
	t.Run("a repeated step changes nothing, and one with another body is refused", func(t *testing.T) {
		require.NoError(t, first.OpenStep(t.Context(), s))
		other := s
		other.Groups = s.Groups[:1]
		require.ErrorContains(t, first.OpenStep(t.Context(), other), "409")
	})
}

// TestStaleness publishes versions while pulls wait and samples are in flight. No
// pull may return a sample older than maxAge versions.
func TestStaleness(t *testing.T) {
	t.Parallel()
	slow := defaultParams()
	slow.BaseTime = 10 * time.Millisecond
	r := newRig(t, rigOptions{engines: 2, params: slow, swapTime: 20 * time.Millisecond})
	r.start(nil, 1, 2, 3)
	maxAge := uint64(1)
	s := quetzalpier.Step{Trainer: "t", Number: 1, Pool: "m", Version: 1, MaxAge: maxAge, Groups: []quetzalpier.Group{{ID: "g", Prompt: "p", Count: 40, Tokens: 512}}}
	client := train.New("t", r.addrs())
	client.Version, client.MaxAge = 1, maxAge
	require.NoError(t, client.OpenStep(t.Context(), s))
	var wait conc.WaitGroup
	ctx, stop := context.WithCancel(t.Context())
	publisher := train.New("t", r.addrs())
	var published atomic.Uint64
	wait.Go(func() {
		for version := quetzalpier.Version(2); version < 8 && ctx.Err() == nil; version++ {
			time.Sleep(400 * time.Millisecond)
			published.Store(uint64(version))
			_ = publisher.Publish(ctx, "m", version)
		}
	})
	defer wait.Wait()
	defer stop()
	received := 0
	for client.Remaining() > 0 {
		// The trainer's version may increase while the pull waits.
		samples, _, err := client.Pull(t.Context(), time.Second)
		require.NoError(t, err)
		for _, sample := range samples {
			require.True(t, sample.Fresh(client.Version, maxAge))
			received++
		}
		client.Version = max(client.Version, quetzalpier.Version(published.Load()))
	}
	require.Equal(t, 40, received)
}
