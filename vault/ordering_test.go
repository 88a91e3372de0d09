package vault_test

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"quetzalpier"
)

// TestOrdering guards against a takeover of the orders that forgets a node whose orders may
// still be in progress, whether or not the answer of the write was lost.
func TestOrdering(t *testing.T) {
	all := func(string) bool { return true }
	t.Run("a repeated takeover returns the same nodes", func(t *testing.T) {
		v, fence := newVault(t)
		for _, step := range []struct {
			node   string
			before []string
		}{{"a", nil}, {"a", nil}, {"b", []string{"a"}}, {"b", []string{"a"}}, {"c", []string{"a", "b"}}, {"a", []string{"b", "c"}}} {
			taken, err := v.TakeOverOrders(t.Context(), "p", step.node, fence, all)
			require.NoError(t, err)
			require.Equal(t, step.node, taken.Node)
			require.Equal(t, step.before, taken.Before)
		}
	})
	t.Run("nodes whose orders have ended are left out", func(t *testing.T) {
		v, fence := newVault(t)
		_, err := v.TakeOverOrders(t.Context(), "p", "a", fence, all)
		require.NoError(t, err)
		taken, err := v.TakeOverOrders(t.Context(), "p", "b", fence, all)
		require.NoError(t, err)
		require.NoError(t, v.OrdersEnded(t.Context(), "p", fence, taken))
		taken, err = v.TakeOverOrders(t.Context(), "p", "c", fence, all)
		require.NoError(t, err)
		require.Equal(t, []string{"b"}, taken.Before)
		taken, err = v.TakeOverOrders(t.Context(), "p", "d", fence, func(node string) bool { return node != "b" })
		require.NoError(t, err)
		require.Equal(t, []string{"c"}, taken.Before)
	})
	t.Run("only the owner of the pool takes over, and only its own record is replaced", func(t *testing.T) {
		v, fence := newVault(t)
		var conflict *quetzalpier.RevisionError
		_, err := v.TakeOverOrders(t.Context(), "p", "a", fence+1, all)
		require.True(t, errors.As(err, &conflict))
		first, err := v.TakeOverOrders(t.Context(), "p", "a", fence, all)
		require.NoError(t, err)
		_, err = v.TakeOverOrders(t.Context(), "p", "b", fence, all)
		require.NoError(t, err)
		require.True(t, errors.As(v.OrdersEnded(t.Context(), "p", fence, first), &conflict))
	})
}
