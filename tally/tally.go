// Package tally counts the calls that a node makes to the platform's key-value
// service by call, purpose and outcome.
package tally

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"quetzalpier"
)

// KV counts the calls to the service that it wraps.
type KV struct {
	KV quetzalpier.KV
	// Purpose names the purpose of a call by a key or prefix. It must return one of
	// a few values.
	Purpose func(key string) string
	// Calls has the labels call, purpose and outcome.
	Calls *prometheus.CounterVec
}

var _ quetzalpier.KV = (*KV)(nil)

// leasePurpose is the purpose of calls that name a lease and no key.
const leasePurpose = "lease"

// count counts one call and returns its error unchanged.
func (k *KV) count(call, purpose string, err error) error {
	k.Calls.WithLabelValues(call, purpose, outcome(err)).Inc()
	return err
}

func outcome(err error) string {
	var refused *quetzalpier.RefusedError
	var unknown *quetzalpier.OutcomeUnknownError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &unknown):
		return "unknown"
	}
	return "failed"
}

// txnPurpose is the purpose of a transaction: that of its first write, or else of
// its first deletion.
func (k *KV) txnPurpose(txn quetzalpier.Txn) string {
	switch {
	case len(txn.Writes) > 0:
		return k.Purpose(txn.Writes[0].Key)
	case len(txn.Deletes) > 0:
		return k.Purpose(txn.Deletes[0])
	}
	return leasePurpose
}

// Get implements quetzalpier.KV.
func (k *KV) Get(ctx context.Context, key string) (quetzalpier.Entry, error) {
	entry, err := k.KV.Get(ctx, key)
	return entry, k.count("get", k.Purpose(key), err)
}

// CompareAndSwap implements quetzalpier.KV.
func (k *KV) CompareAndSwap(ctx context.Context, key string, value []byte, rev uint64, lease string) (uint64, error) {
	written, err := k.KV.CompareAndSwap(ctx, key, value, rev, lease)
	return written, k.count("commit", k.Purpose(key), err)
}

// Delete implements quetzalpier.KV.
func (k *KV) Delete(ctx context.Context, key string, rev uint64) error {
	return k.count("commit", k.Purpose(key), k.KV.Delete(ctx, key, rev))
}

// WatchKey implements quetzalpier.KV.
func (k *KV) WatchKey(ctx context.Context, key string, rev uint64, wait time.Duration) (quetzalpier.Entry, error) {
	entry, err := k.KV.WatchKey(ctx, key, rev, wait)
	return entry, k.count("watch", k.Purpose(key), err)
}

// Grant implements quetzalpier.KV.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	lease, err := k.KV.Grant(ctx, ttl)
	return lease, k.count("grant", leasePurpose, err)
}

// Renew implements quetzalpier.KV.
func (k *KV) Renew(ctx context.Context, lease string) error {
	return k.count("renew", leasePurpose, k.KV.Renew(ctx, lease))
}

// Release implements quetzalpier.KV.
func (k *KV) Release(ctx context.Context, lease string) error {
	return k.count("release", leasePurpose, k.KV.Release(ctx, lease))
}

// Commit implements quetzalpier.KV.
func (k *KV) Commit(ctx context.Context, txn quetzalpier.Txn) (uint64, error) {
	rev, err := k.KV.Commit(ctx, txn)
	return rev, k.count("commit", k.txnPurpose(txn), err)
}

// Range implements quetzalpier.KV.
func (k *KV) Range(ctx context.Context, prefix string, stale bool) (quetzalpier.Changes, error) {
	changes, err := k.KV.Range(ctx, prefix, stale)
	return changes, k.count("range", k.Purpose(prefix), err)
}

// RangeFrom implements quetzalpier.KV.
func (k *KV) RangeFrom(ctx context.Context, prefix, after string, stale bool) (quetzalpier.Changes, bool, error) {
	changes, more, err := k.KV.RangeFrom(ctx, prefix, after, stale)
	return changes, more, k.count("range", k.Purpose(prefix), err)
}

// WatchPrefix implements quetzalpier.KV.
func (k *KV) WatchPrefix(ctx context.Context, prefix string, rev uint64, wait time.Duration) (quetzalpier.Changes, error) {
	changes, err := k.KV.WatchPrefix(ctx, prefix, rev, wait)
	return changes, k.count("watch", k.Purpose(prefix), err)
}
