package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/claim"
	"quetzalpier/stand"
)

// openFunc is Registry.Open or Registry.OpenNaive.
type openFunc func(r *claim.Registry, ctx context.Context, key string, requestHash uint64, now time.Time) (*claim.Held, *claim.Claim, *quetzalpier.Refusal)

// cluster is a set of nodes and an upstream that counts its runs.
type cluster struct {
	memory *stand.MemoryKV
	open   openFunc
	seed   uint64

	mu         sync.Mutex
	rnd        *rand.Rand
	registries map[string]*claim.Registry
	// unreachable nodes don't answer requests for a claim.
	unreachable map[string]int
	runs        map[string]int
	ops         map[string][]porcupine.Operation
	token       int
	starts      int
}

const nodes = 3

func newCluster(open openFunc, seed uint64) *cluster {
	w := &cluster{
		memory: stand.NewMemoryKV(), open: open, seed: seed, rnd: rand.New(rand.NewPCG(seed, 99)),
		registries: map[string]*claim.Registry{}, unreachable: map[string]int{}, runs: map[string]int{}, ops: map[string][]porcupine.Operation{},
	}
	for i := range nodes {
		w.startNode(fmt.Sprintf("n%d", i))
	}
	return w
}

// startNode starts a node, or restarts it without its state in memory.
func (w *cluster) startNode(node string) {
	w.starts++
	kv := stand.NewFlakyKV(w.memory, w.seed*1000+uint64(w.starts))
	kv.LostAnswerRate, kv.LateWriteRate, kv.DropRate, kv.LateWriteDelay = 0.12, 0.08, 0.1, 800*time.Millisecond
	w.registries[node] = &claim.Registry{KV: kv, Node: node, RequestClaim: w.requestClaim, Token: w.nextToken, Log: zerolog.Nop()}
}

func (w *cluster) nextToken() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.token++
	return fmt.Sprintf("t%d", w.token)
}

// requestClaim implements claim.RequestClaimFunc.
func (w *cluster) requestClaim(_ context.Context, node, key, token string) (claim.Claim, bool) {
	w.mu.Lock()
	registry, unreachable := w.registries[node], w.unreachable[node] > 0
	w.mu.Unlock()
	if unreachable {
		return claim.Claim{}, false
	}
	return registry.HeldClaim(key, token)
}

func (w *cluster) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.Float64() < p
}

// serve handles one copy of a request at a node and returns what its client
// sees: "ran", "replay", or after a refusal or failure whether the request ran:
// "no", "yes" or "unknown".
func (w *cluster) serve(node, key string) string {
	w.mu.Lock()
	registry := w.registries[node]
	w.mu.Unlock()
	held, kept, refusal := w.open(registry, context.Background(), key, 1, time.Now())
	switch {
	case refusal != nil:
		return string(refusal.Ran)
	case kept != nil && string(kept.Body) != key:
		return "replay of another response"
	case kept != nil:
		return "replay"
	}
	if w.chance(0.15) {
		w.makeUnreachable(node, 20*time.Second)
	}
	if w.chance(0.1) {
		w.restart(node)
		return "unknown"
	}
	return w.dispatch(node, registry, held, key)
}

// makeUnreachable blocks for d, during which the node doesn't answer requests
// for a claim, like a node that is suspended before it dispatches a request.
func (w *cluster) makeUnreachable(node string, d time.Duration) {
	w.mu.Lock()
	w.unreachable[node]++
	w.mu.Unlock()
	time.Sleep(d)
	w.mu.Lock()
	w.unreachable[node]--
	w.mu.Unlock()
}

func (w *cluster) restart(node string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startNode(node)
}

func (w *cluster) dispatch(node string, registry *claim.Registry, held *claim.Held, key string) string {
	if w.chance(0.15) {
		registry.RecordVoid(held, time.Now())
		return "no"
	}
	w.mu.Lock()
	w.runs[key]++
	w.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	if w.chance(0.1) {
		w.restart(node)
		return "unknown"
	}
	if w.chance(0.15) {
		registry.RecordLost(held, time.Now())
		return "unknown"
	}
	registry.RecordDone(held, 200, "text/plain", []byte(key), time.Now())
	return "ran"
}

// runCallers sends copies of each request to random nodes, some concurrently.
func (w *cluster) runCallers(keys, copies int) {
	ctx, stop := context.WithCancel(context.Background())
	var flushers, all conc.WaitGroup
	flushers.Go(func() { w.flush(ctx) })
	for k := range keys {
		for c := range copies {
			all.Go(func() { w.runCaller(fmt.Sprintf("claim/p/%d", k), k*copies+c) })
		}
	}
	all.Wait()
	stop()
	flushers.Wait()
}

func (w *cluster) runCaller(key string, client int) {
	for range 3 {
		w.mu.Lock()
		node := fmt.Sprintf("n%d", w.rnd.IntN(nodes))
		wait := time.Duration(w.rnd.IntN(400)) * time.Millisecond
		w.mu.Unlock()
		time.Sleep(wait)
		call := time.Now()
		answer := w.serve(node, key)
		w.mu.Lock()
		w.ops[key] = append(w.ops[key], porcupine.Operation{ClientId: client, Input: key, Output: answer, Call: call.UnixNano(), Return: time.Now().UnixNano()})
		w.mu.Unlock()
	}
}

// flush writes the outcomes of claims, as Registry.Run does.
func (w *cluster) flush(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		var registries []*claim.Registry
		for _, registry := range w.registries {
			registries = append(registries, registry)
		}
		w.mu.Unlock()
		for _, registry := range registries {
			registry.Flush(ctx)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// requestModel defines the valid results of the copies of one request; its state
// is whether the request has run.
var requestModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran := state.(bool)
		switch output.(string) {
		case "ran":
			return allow(!ran, true)
		case "replay", "yes":
			return allow(ran, true)
		case "no":
			return allow(!ran, false)
		case "unknown":
			return []any{ran, true}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// allow returns the next state, or none if the result is not valid.
func allow(allowed bool, next bool) []any {
	if !allowed {
		return nil
	}
	return []any{next}
}

// violations returns the number of keys that ran twice or whose results
// contradict each other.
func (w *cluster) violations() int {
	model := requestModel.ToModel()
	n := 0
	for key, ops := range w.ops {
		if w.runs[key] > 1 || !porcupine.CheckOperations(model, ops) {
			n++
		}
	}
	return n
}

func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("lost answers, delayed writes, restarts and unreachable nodes, seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster((*claim.Registry).Open, seed)
				w.runCallers(12, 3)
				require.Zero(t, w.violations())
				require.NotEmpty(t, w.runs)
			})
		})
	}
	t.Run("the baseline fails the same check", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newCluster((*claim.Registry).OpenNaive, 1)
			w.runCallers(12, 3)
			require.Positive(t, w.violations())
		})
	})
}

func TestDecide(t *testing.T) {
	const mine, other = 1, 2
	cases := []struct {
		name        string
		known       claim.Claim
		holderAsked bool
		action      claim.Action
		ran         quetzalpier.Ran
	}{
		{"other body", claim.Claim{Hash: other, State: claim.Done}, false, claim.Refuse, quetzalpier.RanNo},
		{"void", claim.Claim{Hash: mine, State: claim.Void}, false, claim.Dispatch, ""},
		{"done and kept", claim.Claim{Hash: mine, State: claim.Done, Kept: true}, false, claim.Replay, ""},
		{"done, too large", claim.Claim{Hash: mine, State: claim.Done}, false, claim.Refuse, quetzalpier.RanYes},
		{"lost", claim.Claim{Hash: mine, State: claim.Lost}, false, claim.Refuse, quetzalpier.RanUnknown},
		{"open, holder not asked", claim.Claim{Hash: mine, State: claim.Open}, false, claim.RequestFromHolder, ""},
		{"open, stated by its holder", claim.Claim{Hash: mine, State: claim.Open}, true, claim.Refuse, quetzalpier.RanUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			decision := claim.Decide(c.known, mine, c.holderAsked)
			require.Equal(t, c.action, decision.Action)
			if c.action == claim.Refuse {
				require.Equal(t, c.ran, decision.Refusal.Ran)
			}
		})
	}
}

func TestOutage(t *testing.T) {
	t.Run("a request that can't be claimed is refused, and its claim becomes void later", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			memory := stand.NewMemoryKV()
			kv := stand.NewFlakyKV(memory, 1)
			registry := &claim.Registry{KV: kv, Node: "n0", Token: func() string { return "t" }, Log: zerolog.Nop()}
			_, _, refusal := registry.Open(t.Context(), "warm", 1, time.Now())
			require.Nil(t, refusal)
			kv.LateWriteRate, kv.LateWriteDelay = 1, time.Second
			_, _, refusal = registry.Open(t.Context(), "k", 1, time.Now())
			require.Equal(t, quetzalpier.RanUnknown, refusal.Ran)
			require.Positive(t, refusal.RetryAfter)
			time.Sleep(2 * time.Second)
			kv.LateWriteRate = 0
			require.True(t, registry.Flush(t.Context()))
			held, _, refusal := registry.Open(t.Context(), "k", 1, time.Now())
			require.Nil(t, refusal)
			require.NotNil(t, held)
		})
	})
}
