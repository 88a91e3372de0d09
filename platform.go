package quetzalpier

import (
	"context"
	"fmt"
	"time"
)

// Entry is a key of the platform's key-value service, its value and its
// revision. Rev is zero if the key does not exist.
type Entry struct {
	Key   string
	Value []byte
	Rev   uint64
	// Deleted marks an entry of Changes whose key was deleted at revision Rev.
	Deleted bool
}

// Txn is a transaction that changes several keys atomically.
type Txn struct {
	// Expect maps keys to their expected revisions; zero means that the key must
	// not exist.
	Expect map[string]uint64
	Writes []Write
	// Deletes lists the keys to delete.
	Deletes []string
}

// Write sets one key of a transaction. If Lease is not empty, the key is deleted
// when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease string
}

// MaxTxnKeys is the maximum number of keys that a transaction may expect, and
// also the maximum that it may write and delete together.
const MaxTxnKeys = 32

// Changes holds entries of a prefix. They are complete up to Rev, a revision
// across all keys.
type Changes struct {
	Entries []Entry
	Rev     uint64
	// Age is how long ago the service last answered the node that they were read from;
	// zero in an answer of the service itself.
	Age time.Duration
}

// KV is the platform's key-value service. The error of a call states its effect:
// nil if it took effect, RevisionError, RefusedError or LeaseLostError if it did
// not, and OutcomeUnknownError if that is unknown.
type KV interface {
	// Get reads a key. If it does not exist, the entry's revision is zero.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key is at revision rev, where zero means
	// that it must not exist, and returns the new revision. If lease is not empty,
	// the key is deleted when the lease ends. Revisions increase across all keys
	// and are never reused.
	CompareAndSwap(ctx context.Context, key string, value []byte, rev uint64, lease string) (uint64, error)
	// Delete deletes the key if it is at revision rev.
	Delete(ctx context.Context, key string, rev uint64) error
	// WatchKey waits until the key's revision differs from rev, for at most wait.
	WatchKey(ctx context.Context, key string, rev uint64, wait time.Duration) (Entry, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// Renew renews a lease; it returns LeaseLostError if the lease has ended.
	Renew(ctx context.Context, lease string) error
	// Release ends a lease and deletes its keys.
	Release(ctx context.Context, lease string) error
	// Commit executes a transaction and returns its revision. It returns
	// RevisionError if a key was not at the expected revision.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Range reads all keys that start with prefix. A stale read is cheaper, but
	// its result may be seconds old.
	Range(ctx context.Context, prefix string, stale bool) (Changes, error)
	// RangeFrom reads the first keys after a key that start with prefix, as many as one answer of
	// the service holds. It reports whether there are more.
	RangeFrom(ctx context.Context, prefix, after string, stale bool) (found Changes, more bool, err error)
	// WatchPrefix waits, for at most wait, until a key that starts with prefix
	// changes after revision rev, and returns the changes since rev. It returns
	// CompactedError if the service no longer has them.
	WatchPrefix(ctx context.Context, prefix string, rev uint64, wait time.Duration) (Changes, error)
}

// VMs is the platform's list of VMs. It may be out of date.
type VMs interface {
	List(ctx context.Context) (VMList, error)
}

// EngineOrders sends orders to model engines and reads their state.
type EngineOrders interface {
	State(ctx context.Context, addr string) (EngineState, error)
	Order(ctx context.Context, addr string, order Order) error
}

// Order instructs an engine to serve a weight version. The engine refuses it if
// it has seen a higher fencing token than Fence.
type Order struct {
	Fence   uint64  `json:"fence"`
	Version Version `json:"version"`
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Version Version `json:"version"`
	Loading Version `json:"loading,omitempty"`
	Fence   uint64  `json:"fence"`
	// BootID identifies the engine's process; it changes with each start.
	BootID  string `json:"boot"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Validate validates the state and returns the first error found.
func (s EngineState) Validate() error {
	for _, number := range []struct {
		field string
		value int
	}{{"running", s.Running}, {"queued", s.Queued}} {
		if number.value < 0 || number.value > maxLoad {
			return &FieldError{number.field, fmt.Sprintf("must be 0 to %d, not %d", int(maxLoad), number.value)}
		}
	}
	return nil
}
