package proof_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier/find"
	"quetzalpier/stand"
)

// traffic sends streaming requests and payouts to the addresses that the nodes
// list, until it is stopped, and records which failed.
type traffic struct {
	rig    *rig
	ctx    context.Context
	cancel context.CancelFunc
	wait   conc.WaitGroup

	mu        sync.Mutex
	succeeded int
	failures  []string
}

func (r *rig) startTraffic(workers int) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{rig: r, ctx: ctx, cancel: cancel}
	for w := range workers {
		resolver := &find.Resolver{Caller: fmt.Sprintf("caller-%d", w), Seeds: r.addrs()}
		tr.wait.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				tr.sendRequest(resolver, w, i)
			}
		})
	}
	return tr
}

func (tr *traffic) sendRequest(resolver *find.Resolver, w, i int) {
	addr := resolver.Addr(time.Now())
	key := fmt.Sprintf("w%d-%d", w, i)
	var a response
	var want string
	if w%2 == 0 {
		a = sendPayout(addr, key)
		want = key
	} else {
		a = sendOnce(addr, "POST", "/v1/completions", fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":64,"stream":true}`, key), "Quetzalpier-Caller", "app")
		want = "data: [DONE]"
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if a.err != nil || a.status != 200 || !strings.Contains(a.body, want) {
		tr.failures = append(tr.failures, fmt.Sprintf("%s at %s: %v %d %s", key, addr, a.err, a.status, a.body))
		resolver.MarkFailed(addr)
		return
	}
	tr.succeeded++
}

func (tr *traffic) stopAndCheck(t *testing.T) {
	t.Helper()
	tr.cancel()
	tr.wait.Wait()
	require.Empty(t, tr.failures)
	require.Positive(t, tr.succeeded)
}

func TestPlannedStops(t *testing.T) {
	t.Parallel()
	t.Run("every node is restarted in turn under load, with streams and long pulls open", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigOptions{engines: 3, plains: 2, swapTime: 20 * time.Millisecond})
		r.start(nil, 1, 2, 3)
		tr := r.startTraffic(8)
		var result stand.TrainerResult
		var wait conc.WaitGroup
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			result = stand.RunTrainer(ctx, trainerOptions(r, 12))
		})
		for _, i := range []int{1, 2, 3} {
			r.nodes[i].drain()
			delete(r.nodes, i)
			r.start(nil, i)
		}
		wait.Wait()
		tr.stopAndCheck(t)
		requireCorrectResult(t, result)
	})
	t.Run("a planned stop while the key-value service is unavailable cuts no stream", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigOptions{engines: 2})
		r.start(nil, 1, 2)
		r.kv.SetFaults(stand.KVFaults{Unavailable: true})
		client := openAI(r.nodes[1].addr)
		stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams(longPrompt))
		require.True(t, stream.Next())
		text := stream.Current().Choices[0].Delta.Content
		var wait conc.WaitGroup
		wait.Go(r.nodes[1].drain)
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		require.NoError(t, stream.Err())
		require.Equal(t, expectedText(longPrompt), text)
		wait.Wait()
	})
	t.Run("another node is killed during a drain", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigOptions{engines: 2, swapTime: 20 * time.Millisecond})
		r.startProcesses(1, 2, 3)
		result := r.trainDuring(trainerOptions(r, 4), func() {
			r.waitEngineBusy()
			var wait conc.WaitGroup
			wait.Go(r.nodes[1].drain)
			time.Sleep(300 * time.Millisecond)
			r.nodes[2].kill()
			wait.Wait()
		})
		requireCorrectResult(t, result)
	})
}

func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{engines: 3, plains: 1, listLag: time.Hour})
	r.start(nil, 1, 2)
	tr := r.startTraffic(5)
	time.Sleep(time.Second)
	r.engines[0].SetLeaving(true)
	r.vms.SetState("e0", "leaving", time.Now())
	// The platform's VM list lags by an hour, so the nodes can learn this only from
	// the upstream.
	for _, i := range []int{1, 2} {
		r.eventually("nodes to know that the upstream is leaving", func() bool {
			s, ok := r.status(i)
			return ok && s.Upstreams[0].Leaving
		})
	}
	known := time.Now()
	time.Sleep(3 * time.Second)
	tr.cancel()
	tr.wait.Wait()
	require.False(t, r.engines[0].Report().LastRun.After(known.Add(200*time.Millisecond)))
	require.True(t, r.engines[1].Report().LastRun.After(known))
}
