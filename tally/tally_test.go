package tally_test

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/meter"
	"quetzalpier/stand"
	"quetzalpier/tally"
)

func TestKV(t *testing.T) {
	m := meter.New()
	kv := &tally.KV{KV: stand.NewMemoryKV(), Calls: m.PlatformCalls, Purpose: func(key string) string { return "of " + key }}
	_, err := kv.Get(t.Context(), "a")
	require.NoError(t, err)
	rev, err := kv.CompareAndSwap(t.Context(), "a", []byte("1"), 0, "")
	require.NoError(t, err)
	_, err = kv.CompareAndSwap(t.Context(), "a", []byte("2"), rev+7, "")
	require.Error(t, err)
	_, err = kv.Commit(t.Context(), quetzalpier.Txn{Deletes: []string{"a"}})
	require.NoError(t, err)
	_, err = kv.Range(t.Context(), "b", true)
	require.NoError(t, err)
	for labels, want := range map[[3]string]float64{
		{"get", "of a", "done"}: 1, {"commit", "of a", "done"}: 2, {"commit", "of a", "failed"}: 1, {"range", "of b", "done"}: 1,
	} {
		require.Equal(t, want, testutil.ToFloat64(m.PlatformCalls.WithLabelValues(labels[0], labels[1], labels[2])), "%v", labels)
	}
}
