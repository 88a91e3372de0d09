package quetzalpier

import (
	"context"
	"time"
)

// Entry is a key of the platform's key-value service with its value. Rev is zero
// if the key does not exist.
type Entry struct {
	Key   string
	Value []byte
	Rev   uint64
	// Deleted marks an entry of Changes whose key was deleted at Rev.
	Deleted bool
}

// Txn is a transaction, which applies all of its changes or none.
type Txn struct {
	// Expect holds the revisions that keys must have; zero for keys that must not
	// exist.
	Expect map[string]uint64
	Writes []Write
	// Deletes holds the keys to delete.
	Deletes []string
}

// Write is a key that a transaction writes. If Lease is not empty, the key is
// deleted when the lease expires.
type Write struct {
	Key   string
	Value []byte
	Lease string
}

// MaxTxn is the maximum number of keys that a transaction may expect, write and
// delete.
const MaxTxn = 32

// Changes are entries under a prefix. They are complete up to Rev, a revision of
// the service across all keys.
type Changes struct {
	Entries []Entry
	Rev     uint64
}

// KV is the platform's key-value service. A call returns nil if it took effect,
// SwapError, RefusedError or LostError if it had no effect, and UnsureError if
// it may have taken effect.
type KV interface {
	// Get reads a key. It returns an Entry with revision zero if the key does not
	// exist.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes value if the key is at revision rev; zero creates the key. If
	// lease is not empty, the key is deleted when the lease expires. Revisions
	// increase across all keys and are never reused.
	Swap(ctx context.Context, key string, value []byte, rev uint64, lease string) (uint64, error)
	// Delete deletes the key if it is at revision rev.
	Delete(ctx context.Context, key string, rev uint64) error
	// Watch waits until the key's revision differs from rev or wait has passed.
	Watch(ctx context.Context, key string, rev uint64, wait time.Duration) (Entry, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// Renew renews a lease. It returns LostError if the lease has expired.
	Renew(ctx context.Context, lease string) error
	// Release ends a lease and deletes its keys.
	Release(ctx context.Context, lease string) error
	// Commit commits a transaction and returns its revision. It returns SwapError
	// if a key was not at the expected revision.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Range reads all keys that start with prefix. A stale read is cheaper, but its
	// result may be seconds old.
	Range(ctx context.Context, prefix string, stale bool) (Changes, error)
	// Follow waits until a key that starts with prefix changes after revision rev,
	// or until wait has passed. It returns GoneError if the service no longer has
	// the history since rev.
	Follow(ctx context.Context, prefix string, rev uint64, wait time.Duration) (Changes, error)
}

// VMs is the platform's list of VMs, which lags behind their actual state.
type VMs interface {
	List(ctx context.Context) (VMList, error)
}

// Orders sends orders to model engines and reads their state.
type Orders interface {
	State(ctx context.Context, addr string) (EngineState, error)
	Order(ctx context.Context, addr string, order Order) error
}

// Order instructs an engine to serve a weight version. Fence is the fencing token
// of the sender.
type Order struct {
	Fence   uint64  `json:"fence"`
	Version Version `json:"version"`
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Version Version `json:"version"`
	Loading Version `json:"loading,omitempty"`
	Fence   uint64  `json:"fence"`
	// Boot changes each time the engine's process starts.
	Boot    string `json:"boot"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	Leaving bool   `json:"leaving,omitempty"`
}
