package conf_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/conf"
	"quetzalpier/stand"
)

type patchFunc func(ctx context.Context, kv quetzalpier.KV, number uint64, id string, patch []byte) (quetzalpier.Config, error)

type patchInput struct {
	baseNumber uint64
	id         string
}

type patchOutput struct {
	// kind is "accepted", "stale" or "unknown".
	kind   string
	number uint64
}

// document is the model's state: the IDs of the applied patches, in order.
type document string

func (d document) ids() []string { return strings.Fields(string(d)) }

func (d document) number() uint64 { return uint64(len(d.ids())) }

func (d document) has(id string) bool {
	for _, known := range d.ids() {
		if known == id {
			return true
		}
	}
	return false
}

// patchModel defines the valid results of a patch: it is accepted only if it is
// based on the current number, and applied once.
var patchModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{document("")} },
	Step: func(state, input, output any) []any {
		d, in, out := state.(document), input.(patchInput), output.(patchOutput)
		applied := document(strings.TrimSpace(string(d) + " " + in.id))
		switch out.kind {
		case "accepted":
			if d.has(in.id) {
				return []any{d}
			}
			// If the outcome was read back, the number may already include later
			// patches.
			if d.number() == in.baseNumber && out.number > in.baseNumber {
				return []any{applied}
			}
			return nil
		case "stale":
			if d.number() == out.number && !d.has(in.id) {
				return []any{d}
			}
			return nil
		default:
			if d.number() == in.baseNumber && !d.has(in.id) {
				return []any{d, applied}
			}
			return []any{d}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// history records operations.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(client int, in patchInput, out patchOutput, call, end time.Time) {
	returned := end.UnixNano()
	if out.kind == "unknown" {
		// A delayed write may still take effect.
		returned = call.Add(time.Hour).UnixNano()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call.UnixNano(), Return: returned})
}

// runOperators lets operators patch concurrently. Each patch is based on the
// number that its operator saw last, and is sent again with the same ID while
// its outcome is unknown.
func runOperators(patch patchFunc, memory *stand.MemoryKV, operators, patches int, seed uint64) *history {
	h := &history{}
	var all conc.WaitGroup
	for op := range operators {
		all.Go(func() {
			kv := stand.NewFlakyKV(memory, seed+uint64(op))
			kv.LostAnswerRate, kv.LateWriteRate, kv.DropRate, kv.LateWriteDelay = 0.15, 0.1, 0.1, 700*time.Millisecond
			rnd := rand.New(rand.NewPCG(seed, uint64(op)))
			number := uint64(0)
			for i := range patches {
				id := fmt.Sprintf("o%dp%d", op, i)
				number = sendPatch(h, patch, kv, op, number, id)
				time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
			}
		})
	}
	all.Wait()
	time.Sleep(2 * time.Second)
	return h
}

// sendPatch sends one patch until its outcome is known, and returns the
// configuration number seen.
func sendPatch(h *history, patch patchFunc, kv quetzalpier.KV, client int, number uint64, id string) uint64 {
	in := patchInput{number, id}
	for {
		call := time.Now()
		config, err := patch(context.Background(), kv, number, id, []byte(`{"callers":{"`+id+`":{"class":"internal"}}}`))
		var stale *conf.StaleError
		switch {
		case err == nil:
			h.add(client, in, patchOutput{"accepted", config.Number}, call, time.Now())
			return config.Number
		case errors.As(err, &stale):
			h.add(client, in, patchOutput{"stale", stale.Number}, call, time.Now())
			return stale.Number
		default:
			h.add(client, in, patchOutput{kind: "unknown"}, call, time.Now())
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func linearizable(h *history) bool {
	model := patchModel.ToModel()
	return porcupine.CheckOperations(model, h.ops)
}

func TestPatchRaces(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("8 operators, seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := stand.NewMemoryKV()
				h := runOperators(conf.Patch, memory, 8, 3, seed)
				require.True(t, linearizable(h))
				requireAppliedOnce(t, memory, h)
			})
		})
	}
	t.Run("the naive version fails the same check", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			failed := 0
			for seed := range uint64(4) {
				if !linearizable(runOperators(conf.PatchNaive, stand.NewMemoryKV(), 4, 2, seed)) {
					failed++
				}
			}
			require.Positive(t, failed)
		})
	})
}

// requireAppliedOnce checks that the configuration contains each accepted patch
// once, and that its number is the count of patches.
func requireAppliedOnce(t *testing.T, memory *stand.MemoryKV, h *history) {
	t.Helper()
	config, _, err := conf.Read(t.Context(), memory)
	require.NoError(t, err)
	require.Len(t, config.PatchIDs, int(config.Number))
	applied := map[string]int{}
	for _, id := range config.PatchIDs {
		applied[id]++
	}
	for _, op := range h.ops {
		in, out := op.Input.(patchInput), op.Output.(patchOutput)
		require.LessOrEqual(t, applied[in.id], 1)
		if out.kind == "accepted" {
			require.Equal(t, 1, applied[in.id], in.id)
			require.Contains(t, config.Callers, in.id)
		}
	}
}

func TestApply(t *testing.T) {
	base := quetzalpier.Config{Number: 4, Pools: map[string]quetzalpier.Pool{"m": {Kind: "engine", Slots: 8}}}
	cases := []struct{ name, patch, fault string }{
		{"changes one field", `{"pools":{"m":{"slots":16}}}`, ""},
		{"removes a pool", `{"pools":{"m":null}}`, ""},
		{"unknown kind", `{"pools":{"m":{"kind":"x"}}}`, "pools.m.kind"},
		{"share out of range", `{"pools":{"m":{"serving":2}}}`, "pools.m.serving"},
		{"rule without a path", `{"pools":{"m":{"once":["POST"]}}}`, "pools.m.once[0]"},
		{"unknown class", `{"callers":{"a":{"class":"x"}}}`, "class"},
		{"unknown field", `{"pools":{"m":{"slotz":16}}}`, `unknown field "slotz"`},
		{"not an object", `[1]`, "cannot unmarshal"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, err := conf.Apply(base, "id", []byte(c.patch))
			if c.fault != "" {
				require.ErrorContains(t, err, c.fault)
				return
			}
			require.NoError(t, err)
			require.Equal(t, uint64(5), next.Number)
			require.True(t, next.HasPatch("id"))
		})
	}
	t.Run("a patch can't set the number", func(t *testing.T) {
		next, err := conf.Apply(base, "id", []byte(`{"number":99,"ids":["x"]}`))
		require.NoError(t, err)
		require.Equal(t, uint64(5), next.Number)
	})
	t.Run("old IDs are dropped", func(t *testing.T) {
		config := base
		for i := range quetzalpier.MaxPatchIDs + 5 {
			var err error
			config, err = conf.Apply(config, fmt.Sprint(i), []byte(`{}`))
			require.NoError(t, err)
		}
		require.Len(t, config.PatchIDs, quetzalpier.MaxPatchIDs)
		require.True(t, config.HasPatch(fmt.Sprint(quetzalpier.MaxPatchIDs+4)))
	})
}

func ExampleApply() {
	config := quetzalpier.Config{Number: 7}
	next, _ := conf.Apply(config, "raise-slots", []byte(`{"pools":{"m":{"kind":"engine","slots":16}}}`))
	fmt.Println(next.Number, next.PatchIDs, next.Pools["m"].Slots)
	// Output: 8 [raise-slots] 16
}
