package stand

import (
	"context"
	"strconv"
	"sync"
	"time"

	"quetzalpier"
)

// MaxValue is the largest value the key-value service takes, in bytes.
const MaxValue = 1 << 20

// KVCounts is what the key-value service counted.
type KVCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Waiting int    `json:"waiting"`
}

// Memory is the content of the key-value service. It is a faultless
// quetzalpier.KV of its own.
type Memory struct {
	mu     sync.Mutex
	rev    uint64
	keys   map[string]*memoryEntry
	leases map[string]*memoryLease
	counts KVCounts
}

type memoryEntry struct {
	value []byte
	rev   uint64
	lease string
}

type memoryLease struct {
	ttl  time.Duration
	ends time.Time
}

var _ quetzalpier.KV = (*Memory)(nil)

// NewMemory returns an empty service.
func NewMemory() *Memory {
	return &Memory{keys: map[string]*memoryEntry{}, leases: map[string]*memoryLease{}}
}

// Counts returns the calls counted so far.
func (m *Memory) Counts() KVCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Get implements quetzalpier.KV.
func (m *Memory) Get(_ context.Context, key string) (quetzalpier.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	return m.entry(key, time.Now()), nil
}

func (m *Memory) entry(key string, now time.Time) quetzalpier.Entry {
	m.expire(now)
	e := m.keys[key]
	if e == nil {
		return quetzalpier.Entry{Key: key}
	}
	return quetzalpier.Entry{Key: key, Value: append([]byte(nil), e.value...), Rev: e.rev}
}

// Swap implements quetzalpier.KV.
func (m *Memory) Swap(_ context.Context, key string, value []byte, rev uint64, lease string) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	if current := m.entry(key, time.Now()).Rev; current != rev {
		return 0, &quetzalpier.SwapError{Key: key, Rev: current}
	}
	if len(value) > MaxValue {
		return 0, &quetzalpier.RefusedError{Call: "swap", Reason: "value too large"}
	}
	if lease != "" && m.leases[lease] == nil {
		return 0, &quetzalpier.LostError{Lease: lease}
	}
	m.rev++
	m.keys[key] = &memoryEntry{value: append([]byte(nil), value...), rev: m.rev, lease: lease}
	return m.rev, nil
}

// Delete implements quetzalpier.KV.
func (m *Memory) Delete(_ context.Context, key string, rev uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	if current := m.entry(key, time.Now()).Rev; current != rev {
		return &quetzalpier.SwapError{Key: key, Rev: current}
	}
	delete(m.keys, key)
	return nil
}

// watchTick is how often a waiting watch looks.
const watchTick = 20 * time.Millisecond

// Watch implements quetzalpier.KV.
func (m *Memory) Watch(ctx context.Context, key string, rev uint64, wait time.Duration) (quetzalpier.Entry, error) {
	deadline := time.Now().Add(wait)
	m.wait(1)
	defer m.wait(-1)
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
			return e, &quetzalpier.RefusedError{Call: "watch", Reason: ctx.Err().Error()}
		case <-time.After(min(watchTick, time.Until(deadline))):
		}
	}
}

func (m *Memory) wait(change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Waiting += change
	if change > 0 {
		m.counts.Watches++
	}
}

// Grant implements quetzalpier.KV.
func (m *Memory) Grant(_ context.Context, ttl time.Duration) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	m.rev++
	id := "l" + strconv.FormatUint(m.rev, 10)
	m.leases[id] = &memoryLease{ttl, time.Now().Add(ttl)}
	return id, nil
}

// Renew implements quetzalpier.KV.
func (m *Memory) Renew(_ context.Context, lease string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	now := time.Now()
	m.expire(now)
	l := m.leases[lease]
	if l == nil {
		return &quetzalpier.LostError{Lease: lease}
	}
	l.ends = now.Add(l.ttl)
	return nil
}

// expire ends leases and removes their keys.
func (m *Memory) expire(now time.Time) {
	for id, lease := range m.leases {
		if now.Before(lease.ends) {
			continue
		}
		delete(m.leases, id)
		for key, e := range m.keys {
			if e.lease == id {
				delete(m.keys, key)
			}
		}
	}
}
