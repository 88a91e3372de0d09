package stand

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"quetzalpier"
)

// MaxValueBytes is the maximum size of a value in the key-value service, in bytes.
const MaxValueBytes = 1 << 20

// KVCounts counts the calls to the key-value service so far. Waiting is the
// number of watches that currently wait for a change.
type KVCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Waiting int    `json:"waiting"`
}

// MemoryKV is a quetzalpier.KV in memory, without injected faults.
type MemoryKV struct {
	mu     sync.Mutex
	rev    uint64
	keys   map[string]*memoryEntry
	leases map[string]*memoryLease
	counts KVCounts
	// history holds every change after revision compactedRev.
	history      []quetzalpier.Entry
	compactedRev uint64
	// watchesHeld makes watches of prefixes wait, also if there are changes, and
	// watchCuts counts how often the waiting ones were cut.
	watchesHeld bool
	watchCuts   int
	// interventions counts the calls that inject faults.
	interventions int
}

type memoryEntry struct {
	value []byte
	rev   uint64
	lease string
}

type memoryLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

var _ quetzalpier.KV = (*MemoryKV)(nil)

// NewMemoryKV returns an empty key-value service.
func NewMemoryKV() *MemoryKV {
	return &MemoryKV{keys: map[string]*memoryEntry{}, leases: map[string]*memoryLease{}}
}

// Counts returns the call counters.
func (m *MemoryKV) Counts() KVCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Get implements quetzalpier.KV.
func (m *MemoryKV) Get(_ context.Context, key string) (quetzalpier.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	return m.entry(key, time.Now()), nil
}

func (m *MemoryKV) entry(key string, now time.Time) quetzalpier.Entry {
	m.expireLeases(now)
	e := m.keys[key]
	if e == nil {
		return quetzalpier.Entry{Key: key}
	}
	return quetzalpier.Entry{Key: key, Value: append([]byte(nil), e.value...), Rev: e.rev}
}

// CompareAndSwap implements quetzalpier.KV.
func (m *MemoryKV) CompareAndSwap(ctx context.Context, key string, value []byte, rev uint64, lease string) (uint64, error) {
	return m.Commit(ctx, quetzalpier.Txn{
		Expect: map[string]uint64{key: rev},
		Writes: []quetzalpier.Write{{Key: key, Value: value, Lease: lease}},
	})
}

// Delete implements quetzalpier.KV.
func (m *MemoryKV) Delete(ctx context.Context, key string, rev uint64) error {
	_, err := m.Commit(ctx, quetzalpier.Txn{Expect: map[string]uint64{key: rev}, Deletes: []string{key}})
	return err
}

// Commit implements quetzalpier.KV.
func (m *MemoryKV) Commit(_ context.Context, txn quetzalpier.Txn) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	if len(txn.Expect) > quetzalpier.MaxTxnKeys || len(txn.Writes)+len(txn.Deletes) > quetzalpier.MaxTxnKeys {
		return 0, &quetzalpier.RefusedError{Call: "commit", Reason: "too many keys"}
	}
	now := time.Now()
	for key, rev := range txn.Expect {
		if current := m.entry(key, now).Rev; current != rev {
			return 0, &quetzalpier.RevisionError{Key: key, Rev: current}
		}
	}
	for _, write := range txn.Writes {
		if len(write.Value) > MaxValueBytes {
			return 0, &quetzalpier.RefusedError{Call: "commit", Reason: "value too large"}
		}
		if write.Lease != "" && m.leases[write.Lease] == nil {
			return 0, &quetzalpier.LeaseLostError{Lease: write.Lease}
		}
	}
	m.rev++
	for _, write := range txn.Writes {
		value := append([]byte(nil), write.Value...)
		m.keys[write.Key] = &memoryEntry{value: value, rev: m.rev, lease: write.Lease}
		m.history = append(m.history, quetzalpier.Entry{Key: write.Key, Value: value, Rev: m.rev})
	}
	for _, key := range txn.Deletes {
		m.deleteKey(key)
	}
	return m.rev, nil
}

// deleteKey deletes a key at the current revision. The caller holds the lock.
func (m *MemoryKV) deleteKey(key string) {
	delete(m.keys, key)
	m.history = append(m.history, quetzalpier.Entry{Key: key, Rev: m.rev, Deleted: true})
}

// Range implements quetzalpier.KV.
func (m *MemoryKV) Range(_ context.Context, prefix string, _ bool) (quetzalpier.Changes, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	m.expireLeases(time.Now())
	all := quetzalpier.Changes{Rev: m.rev}
	for key, e := range m.keys {
		if strings.HasPrefix(key, prefix) {
			all.Entries = append(all.Entries, quetzalpier.Entry{Key: key, Value: append([]byte(nil), e.value...), Rev: e.rev})
		}
	}
	sort.Slice(all.Entries, func(i, j int) bool { return all.Entries[i].Key < all.Entries[j].Key })
	return all, nil
}

// RangeFrom implements quetzalpier.KV. Only the entries of the page are copied.
func (m *MemoryKV) RangeFrom(_ context.Context, prefix, after string, _ bool) (quetzalpier.Changes, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	m.expireLeases(time.Now())
	all := quetzalpier.Changes{Rev: m.rev}
	for key, e := range m.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			all.Entries = append(all.Entries, quetzalpier.Entry{Key: key, Value: e.value, Rev: e.rev})
		}
	}
	sort.Slice(all.Entries, func(i, j int) bool { return all.Entries[i].Key < all.Entries[j].Key })
	page, more := FirstPage(all, after)
	for i := range page.Entries {
		page.Entries[i].Value = append([]byte(nil), page.Entries[i].Value...)
	}
	return page, more, nil
}

// maxPageItems and maxPageBytes limit a page of a range. A page holds at least one
// item.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// FirstPage returns the first page of the entries after a key, and whether there are more.
func FirstPage(all quetzalpier.Changes, after string) (page quetzalpier.Changes, more bool) {
	first := sort.Search(len(all.Entries), func(i int) bool { return all.Entries[i].Key > after })
	entries := all.Entries[first:]
	end, size := 0, 0
	for ; end < len(entries) && end < maxPageItems; end++ {
		size += len(entries[end].Value)
		if end > 0 && size > maxPageBytes {
			break
		}
	}
	return quetzalpier.Changes{Entries: entries[:end], Rev: all.Rev}, end < len(entries)
}

// WatchPrefix implements quetzalpier.KV.
func (m *MemoryKV) WatchPrefix(ctx context.Context, prefix string, rev uint64, wait time.Duration) (quetzalpier.Changes, error) {
	deadline := time.Now().Add(wait)
	m.countWaiting(1)
	defer m.countWaiting(-1)
	_, cutsBefore := m.watchState()
	for {
		held, cuts := m.watchState()
		if cuts != cutsBefore {
			return quetzalpier.Changes{}, &quetzalpier.OutcomeUnknownError{Call: "watch prefix", Reason: "the watch was cut"}
		}
		changes, err := m.changesSince(prefix, rev, time.Now())
		if !held && (err != nil || len(changes.Entries) > 0 || !time.Now().Before(deadline)) {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return changes, &quetzalpier.RefusedError{Call: "watch prefix", Reason: ctx.Err().Error()}
		case <-time.After(watchPollInterval):
		}
	}
}

func (m *MemoryKV) watchState() (held bool, cuts int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watchesHeld, m.watchCuts
}

func (m *MemoryKV) changesSince(prefix string, rev uint64, now time.Time) (quetzalpier.Changes, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases(now)
	if rev < m.compactedRev {
		return quetzalpier.Changes{}, &quetzalpier.CompactedError{Prefix: prefix, Rev: rev}
	}
	changes := quetzalpier.Changes{Rev: m.rev}
	for _, e := range m.history {
		if e.Rev > rev && strings.HasPrefix(e.Key, prefix) {
			changes.Entries = append(changes.Entries, e)
		}
	}
	return changes, nil
}

// Compact discards the history, so that prefix watches from an earlier revision
// fail.
func (m *MemoryKV) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interventions++
	m.history = nil
	m.compactedRev = m.rev
}

// HoldWatches makes watches of prefixes return nothing until CutWatches.
func (m *MemoryKV) HoldWatches() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interventions++
	m.watchesHeld = true
}

// CutWatches ends HoldWatches: it discards the history and closes the connections of
// the watches that wait.
func (m *MemoryKV) CutWatches() {
	m.Compact()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchesHeld = false
	m.watchCuts++
}

// Interventions returns the number of calls that injected faults, and whether one of
// them lasts.
func (m *MemoryKV) Interventions() (count int, lasts bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.interventions, m.watchesHeld
}

// ForceDelete deletes a key regardless of its revision, as the expiry of its lease
// does.
func (m *MemoryKV) ForceDelete(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interventions++
	if m.keys[key] != nil {
		m.rev++
		m.deleteKey(key)
	}
}

// watchPollInterval is the interval at which a waiting watch checks for changes.
const watchPollInterval = 20 * time.Millisecond

// WatchKey implements quetzalpier.KV.
func (m *MemoryKV) WatchKey(ctx context.Context, key string, rev uint64, wait time.Duration) (quetzalpier.Entry, error) {
	deadline := time.Now().Add(wait)
	m.countWaiting(1)
	defer m.countWaiting(-1)
	for {
		now := time.Now()
		m.mu.Lock()
		e := m.entry(key, now)
		m.mu.Unlock()
		if e.Rev != rev || !now.Before(deadline) {
			return e, nil
		}
		select {
		case <-ctx.Done():
			return e, &quetzalpier.RefusedError{Call: "watch key", Reason: ctx.Err().Error()}
		case <-time.After(min(watchPollInterval, time.Until(deadline))):
		}
	}
}

func (m *MemoryKV) countWaiting(change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Waiting += change
	if change > 0 {
		m.counts.Watches++
	}
}

// Grant implements quetzalpier.KV.
func (m *MemoryKV) Grant(_ context.Context, ttl time.Duration) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	m.rev++
	id := strconv.FormatUint(m.rev, 10)
	m.leases[id] = &memoryLease{ttl, time.Now().Add(ttl)}
	return id, nil
}

// Renew implements quetzalpier.KV.
func (m *MemoryKV) Renew(_ context.Context, lease string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	now := time.Now()
	m.expireLeases(now)
	l := m.leases[lease]
	if l == nil {
		return &quetzalpier.LeaseLostError{Lease: lease}
	}
	l.expiresAt = now.Add(l.ttl)
	return nil
}

// expireLeases ends the leases that have expired and deletes their keys. The
// caller holds the lock.
func (m *MemoryKV) expireLeases(now time.Time) {
	for id, lease := range m.leases {
		if now.Before(lease.expiresAt) {
			continue
		}
		m.endLease(id)
	}
}

// endLease deletes a lease and its keys. The caller holds the lock.
func (m *MemoryKV) endLease(id string) {
	delete(m.leases, id)
	m.rev++
	for key, e := range m.keys {
		if e.lease == id {
			m.deleteKey(key)
		}
	}
}

// Release implements quetzalpier.KV.
func (m *MemoryKV) Release(_ context.Context, lease string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	if m.leases[lease] == nil {
		return &quetzalpier.LeaseLostError{Lease: lease}
	}
	m.endLease(lease)
	return nil
}
