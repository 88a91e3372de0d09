package vault

import (
	"context"
	"slices"
	"strings"

	"quetzalpier"
)

const prefixOrdering = "last/"

// Ordering records which node sends orders to a pool's engines. Its value in the key-value
// service is the names, separated by spaces.
type Ordering struct {
	// Node is the node that sends the orders; an empty string if none has yet.
	Node string
	// Before are the other nodes whose last orders may still be in progress: those that sent
	// orders since a node last waited for them to end.
	Before []string
	// Rev is the revision of the record.
	Rev uint64
}

func decodeOrdering(entry quetzalpier.Entry) Ordering {
	o := Ordering{Rev: entry.Rev}
	if names := strings.Fields(string(entry.Value)); len(names) > 0 {
		o.Node, o.Before = names[0], names[1:]
	}
	return o
}

func (o Ordering) encode() []byte {
	return []byte(strings.Join(append([]string{o.Node}, o.Before...), " "))
}

// succeed returns the record of a node that takes over the orders. mayOrder reports whether
// orders of a node may still be in progress. The result is the same if the node has taken over
// already, so that a write whose answer was lost can be repeated.
func (o Ordering) succeed(node string, mayOrder func(node string) bool) Ordering {
	next := Ordering{Node: node, Rev: o.Rev}
	for _, name := range append(slices.Clone(o.Before), o.Node) {
		if name != "" && name != node && !slices.Contains(next.Before, name) && mayOrder(name) {
			next.Before = append(next.Before, name)
		}
	}
	return next
}

// TakeOverOrders records that the node sends orders to a pool's engines, if it owns the pool
// under the fencing token. The node must not send any before the orders of the nodes in Before
// have ended, and then calls OrdersEnded. mayOrder reports whether orders of another node may
// still be in progress.
func (v *Vault) TakeOverOrders(ctx context.Context, pool, node string, fence uint64, mayOrder func(node string) bool) (Ordering, error) {
	entry, err := v.KV.Get(ctx, prefixOrdering+pool)
	if err != nil {
		return Ordering{}, err
	}
	last := decodeOrdering(entry)
	next := last.succeed(node, mayOrder)
	if next.Node == last.Node && slices.Equal(next.Before, last.Before) {
		return next, nil
	}
	return v.writeOrdering(ctx, pool, fence, next)
}

// OrdersEnded records that the orders of the nodes in Before have ended.
func (v *Vault) OrdersEnded(ctx context.Context, pool string, fence uint64, o Ordering) error {
	_, err := v.writeOrdering(ctx, pool, fence, Ordering{Node: o.Node, Rev: o.Rev})
	return err
}

func (v *Vault) writeOrdering(ctx context.Context, pool string, fence uint64, o Ordering) (Ordering, error) {
	key := prefixOrdering + pool
	rev, err := v.KV.Commit(ctx, quetzalpier.Txn{
		Expect: map[string]uint64{key: o.Rev, Owners + pool: fence},
		Writes: []quetzalpier.Write{{Key: key, Value: o.encode()}},
	})
	o.Rev = rev
	return o, err
}
