package quetzalpier

import (
	"context"
	"time"
)

// Entry is one key of the platform's key-value service. Rev is zero when the
// key does not exist.
type Entry struct {
	Key   string
	Value []byte
	Rev   uint64
	// Deleted marks an entry of Changes whose key was removed at Rev.
	Deleted bool
}

// Txn changes several keys at once, or none of them.
type Txn struct {
	// Expect holds the revisions that keys must be at; zero for keys that must
	// not exist.
	Expect map[string]uint64
	Writes []Write
	// Deletes names keys to be removed.
	Deletes []string
}

// Write is one key that a transaction writes. A lease, if not empty, bounds
// the key's life.
type Write struct {
	Key   string
	Value []byte
	Lease string
}

// MaxTxn is how many keys one transaction may expect, write and delete.
const MaxTxn = 32

// Changes are entries of a prefix. Rev is the revision of the whole service
// up to which they are complete.
type Changes struct {
	Entries []Entry
	Rev     uint64
}

// KV is the platform's key-value service. Each call ends in one of three
// ways: nil (it took effect), SwapError, RefusedError or LostError (it
// certainly did not), or UnsureError (it may have).
type KV interface {
	// Get reads a key; a missing key is an Entry with revision zero.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes value if the key is at revision rev; zero creates the key.
	// A lease, if not empty, bounds the key's life. Revisions rise over the
	// whole service and are never used twice.
	Swap(ctx context.Context, key string, value []byte, rev uint64, lease string) (uint64, error)
	// Delete removes the key if it is at revision rev.
	Delete(ctx context.Context, key string, rev uint64) error
	// Watch waits until the key's revision differs from rev or wait has passed.
	Watch(ctx context.Context, key string, rev uint64, wait time.Duration) (Entry, error)
	// Grant creates a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// Renew prolongs a lease; LostError if it has ended.
	Renew(ctx context.Context, lease string) error
	// Release ends a lease and removes its keys.
	Release(ctx context.Context, lease string) error
	// Commit carries out a transaction and returns its revision; SwapError if
	// a key was not at the expected revision.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Range reads all keys that start with prefix. A stale read is cheaper and
	// may be seconds old.
	Range(ctx context.Context, prefix string, stale bool) (Changes, error)
	// Follow waits until a key that starts with prefix changes after revision
	// rev, or until wait has passed; GoneError if the service no longer has the
	// history since then.
	Follow(ctx context.Context, prefix string, rev uint64, wait time.Duration) (Changes, error)
}

// VMs is the platform's list of VMs. It lags behind the truth.
type VMs interface {
	List(ctx context.Context) (VMList, error)
}

// Orders gives orders to one model engine and reads its state back.
type Orders interface {
	State(ctx context.Context, addr string) (EngineState, error)
	Order(ctx context.Context, addr string, order Order) error
}

// Order asks an engine to serve a weight version.
type Order struct {
	Fence   uint64  `json:"fence"`
	Version Version `json:"version"`
}

// EngineState is what an engine says of itself.
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
