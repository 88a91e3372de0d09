package runner_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/vault"
)

// orderInterval is the least time between orders of two nodes in these tests.
const orderInterval = 800 * time.Millisecond

// takeOver starts a node that takes over the pool from the node in the record of orders, and
// returns how long after that the engine got an order. lose is the number of writes of the record
// whose answer is lost.
func takeOver(t *testing.T, record string, lose int, prepare func(*fixture)) time.Duration {
	t.Helper()
	kv := &orderingKV{lose: lose}
	r := newFixture(t, 1, func(r *fixture) {
		kv.KV = r.kv
		_, err := r.kv.CompareAndSwap(t.Context(), "last/lm", []byte(record), 0, "")
		require.NoError(t, err)
		r.runner.MinOrderInterval = orderInterval
		r.runner.Vault = &vault.Vault{KV: kv}
		r.board.Update(func(s *board.State) { s.TargetVersions["m"] = 2 })
		r.putJob(t, newJob("j", 2, 3))
		prepare(r)
	})
	require.Eventually(t, func() bool { return len(r.lease.Names()) > 0 }, waitTimeout, time.Millisecond)
	tookOverAt := time.Now()
	require.Eventually(t, func() bool { _, orders := r.engines[0].Version("m"); return orders > 0 }, waitTimeout, time.Millisecond)
	took := time.Since(tookOverAt)
	require.Eventually(t, func() bool {
		entry, err := r.kv.Get(t.Context(), "last/lm")
		return err == nil && string(entry.Value) == "n"
	}, waitTimeout, 5*time.Millisecond, "the record names only the node once others have been waited for")
	return took
}

// orderingKV loses the answers of writes of the record of orders.
type orderingKV struct {
	quetzalpier.KV
	lose int
}

func (k *orderingKV) CompareAndSwap(ctx context.Context, key string, value []byte, rev uint64, lease string) (uint64, error) {
	return k.Commit(ctx, quetzalpier.Txn{Expect: map[string]uint64{key: rev}, Writes: []quetzalpier.Write{{Key: key, Value: value, Lease: lease}}})
}

func (k *orderingKV) Commit(ctx context.Context, txn quetzalpier.Txn) (uint64, error) {
	rev, err := k.KV.Commit(ctx, txn)
	if err == nil && k.lose > 0 && len(txn.Writes) == 1 && strings.HasPrefix(txn.Writes[0].Key, "last/") {
		k.lose--
		return 0, &quetzalpier.OutcomeUnknownError{Call: "commit", Reason: "no answer"}
	}
	return rev, err
}

// TestOrdersAfterTakeover guards against a node that orders an engine less than MinOrderInterval
// after another one, because it takes what it wrote itself for the state before its takeover.
func TestOrdersAfterTakeover(t *testing.T) {
	member := func(id string) func(*fixture) {
		return func(r *fixture) {
			r.runner.EnginesFenced = true
			r.board.Update(func(s *board.State) { s.Members[id] = board.Member{ID: id} })
		}
	}
	unfenced := func(*fixture) {}
	for _, c := range []struct {
		name, record string
		lose         int
		prepare      func(*fixture)
		waits        bool
	}{
		{"after no other node", "n", 0, unfenced, false},
		{"after another node", "a", 0, unfenced, true},
		{"the answer of the write is lost", "a", 1, unfenced, true},
		{"the answers of two writes are lost", "a", 2, unfenced, true},
		{"an earlier process of the node did not wait out another node", "n a", 0, unfenced, true},
		{"fenced, the other node is gone", "a", 1, func(r *fixture) { r.runner.EnginesFenced = true }, false},
		{"fenced, the other node may still order", "a", 1, member("a"), true},
		{"fenced, the node between was lost before it had waited", "b a", 0, member("a"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			took := takeOver(t, c.record, c.lose, c.prepare)
			if c.waits {
				require.Greater(t, took, orderInterval-50*time.Millisecond)
			} else {
				require.Less(t, took, orderInterval/2)
			}
		})
	}
}
