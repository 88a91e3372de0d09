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

// traffic sends streams and payouts through whatever addresses the nodes give
// out, until it is stopped, and gathers what broke.
type traffic struct {
	rig    *rig
	ctx    context.Context
	cancel context.CancelFunc
	wait   conc.WaitGroup

	mu     sync.Mutex
	done   int
	broken []string
}

func (r *rig) traffic(workers int) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{rig: r, ctx: ctx, cancel: cancel}
	for w := range workers {
		nodes := &find.Nodes{Caller: fmt.Sprintf("caller-%d", w), Seeds: r.addrs()}
		tr.wait.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				tr.one(nodes, w, i)
			}
		})
	}
	return tr
}

func (tr *traffic) one(nodes *find.Nodes, w, i int) {
	addr := nodes.Addr(time.Now())
	key := fmt.Sprintf("w%d-%d", w, i)
	var a answer
	var want string
	if w%2 == 0 {
		a = pay(addr, key)
		want = key
	} else {
		a = post(addr, "POST", "/v1/completions", fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":64,"stream":true}`, key), "Quetzalpier-Caller", "app")
		want = "data: [DONE]"
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if a.err != nil || a.status != 200 || !strings.Contains(a.body, want) {
		tr.broken = append(tr.broken, fmt.Sprintf("%s at %s: %v %d %s", key, addr, a.err, a.status, a.body))
		nodes.Failed(addr)
		return
	}
	tr.done++
}

func (tr *traffic) stop(t *testing.T) {
	t.Helper()
	tr.cancel()
	tr.wait.Wait()
	require.Empty(t, tr.broken)
	require.Positive(t, tr.done)
}

func TestPlannedStops(t *testing.T) {
	t.Parallel()
	t.Run("every node restarted in turn under load, with streams and long pulls open", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigOptions{engines: 3, plains: 2, swap: 20 * time.Millisecond})
		r.start(nil, 1, 2, 3)
		tr := r.traffic(8)
		var tally stand.Tally
		var wait conc.WaitGroup
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			tally = stand.Train(ctx, trainerOptions(r, 12))
		})
		for _, i := range []int{1, 2, 3} {
			r.nodes[i].drain()
			delete(r.nodes, i)
			r.start(nil, i)
		}
		wait.Wait()
		tr.stop(t)
		requireWhole(t, tally)
	})
	t.Run("a stop while the key-value service is out cuts no stream off", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigOptions{engines: 2})
		r.start(nil, 1, 2)
		r.kv.SetFaults(stand.KVFaults{Out: true})
		client := openAI(r.nodes[1].addr)
		stream := client.Chat.Completions.NewStreaming(t.Context(), chat(long))
		require.True(t, stream.Next())
		text := stream.Current().Choices[0].Delta.Content
		var wait conc.WaitGroup
		wait.Go(r.nodes[1].drain)
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		require.NoError(t, stream.Err())
		require.Equal(t, wanted(long), text)
		wait.Wait()
	})
	t.Run("another node killed in the midst of a drain", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigOptions{engines: 2, swap: 20 * time.Millisecond})
		r.spawn(1, 2, 3)
		tally := r.train(trainerOptions(r, 4), func() {
			r.stepAtWork()
			var wait conc.WaitGroup
			wait.Go(r.nodes[1].drain)
			time.Sleep(300 * time.Millisecond)
			r.nodes[2].kill()
			wait.Wait()
		})
		requireWhole(t, tally)
	})
}

func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{engines: 3, plains: 1, lag: time.Hour})
	r.start(nil, 1, 2)
	tr := r.traffic(5)
	time.Sleep(time.Second)
	r.engines[0].SetLeaving(true)
	r.vms.Mark("e0", "leaving", time.Now())
	// The list shows nothing for an hour; the nodes learn it from the upstream.
	for _, i := range []int{1, 2} {
		r.eventually("leaving to be known", func() bool {
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
