// Package mirror keeps a copy of the keys under one prefix of the platform's
// key-value service.
package mirror

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/sleep"
)

const (
	// backoffBase and backoffLimit bound the pause after a failed call. The limit
	// is well below the two seconds within which an update must be applied.
	backoffBase  = 100 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
	// unreliablePeriod is how long watches are limited to unreliableWatch after the
	// service dropped its history: a watch that begins while the service drops
	// history can miss a change, and an update must be applied within two seconds.
	unreliablePeriod = 5 * time.Second
	unreliableWatch  = time.Second
	// maxReplay is the maximum age of the answer from whose revision a watch repeats
	// the changes; the history of an older one may be gone.
	maxReplay = 5 * time.Second
)

// Source is what a mirror reads from: the key-value service, or another node's
// mirror.
type Source interface {
	Range(ctx context.Context, prefix string, stale bool) (quetzalpier.Changes, error)
	WatchPrefix(ctx context.Context, prefix string, rev uint64, wait time.Duration) (quetzalpier.Changes, error)
}

// Mirror keeps a copy of the keys under a prefix.
type Mirror struct {
	KV     Source
	Prefix string
	// WatchTimeout is how long one watch waits for changes. MinInterval is the
	// minimum time between the starts of two watches: the platform counts each
	// as a call, and keys that change constantly would cause a call per change.
	WatchTimeout time.Duration
	MinInterval  time.Duration
	Log          zerolog.Logger
	// MaxAge is how long after the last answer of the service the content is still
	// passed on to other nodes; zero means for as long as calls succeed.
	MaxAge time.Duration
	// Equivalent reports whether two values of a key mean the same; if it is nil,
	// no values do. A change to an equivalent value is not passed on, because
	// heartbeats rewrite keys constantly.
	Equivalent func(old, latest quetzalpier.Entry) bool
	// DropValues keeps the keys without their values, for a mirror from which no other node
	// reads.
	DropValues bool
	// Apply is called with every change. If full is set, changed holds all
	// existing keys, not only the changed ones.
	Apply func(changed []quetzalpier.Entry, full bool, now time.Time)

	// applyMu serializes the changes of the content, each with its call of Apply.
	applyMu sync.Mutex

	mu      sync.Mutex
	entries map[string]quetzalpier.Entry
	rev     uint64
	// oldest is the oldest revision from which Watch can list the changes.
	oldest      uint64
	changed     chan struct{}
	lastContact time.Time
	// mergedAt is the time at which the entries were last known to be current, and currentAt
	// that of those which Apply has been called with. A watch that may miss changes shows
	// neither.
	mergedAt    time.Time
	currentAt   time.Time
	failing     bool
	recoveredAt time.Time
}

// State describes a mirror's contact with its source.
type State struct {
	// LastContact is the time of the last answer of the service, also if it was passed on
	// by another node.
	LastContact time.Time
	// Failing is set if the last call failed.
	Failing bool
	// RecoveredAt is when calls last succeeded again after a failure.
	RecoveredAt time.Time
	// Rev is the revision up to which the changes have been applied.
	Rev uint64
	// CurrentAt is the time of the last answer of the service that shows all changes, which
	// have been applied since: the content was current then.
	CurrentAt time.Time
}

// State returns the state of the mirror's contact with its source.
func (m *Mirror) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{m.lastContact, m.failing, m.recoveredAt, m.rev, m.currentAt}
}

// cursor is the position of a mirror in the history of its prefix. rev is the
// revision after which the next watch lists changes, and latest that of the last
// answer, received at answeredAt.
type cursor struct {
	rev, latest uint64
	answeredAt  time.Time
	synced      bool
	// unreliableUntil is the end of the time in which watches may miss changes;
	// zero if there is none.
	unreliableUntil time.Time
	// doubtful is set in that time if the service dropped its history. If only another node's
	// mirror did not reach back far enough, watches show all changes.
	doubtful bool
	// failures and historyLosses count consecutive failed calls and losses of
	// history.
	failures, historyLosses int
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	cur := cursor{}
	for ctx.Err() == nil {
		start := time.Now()
		cur.endUnreliable(start)
		changes, err := m.next(ctx, cur, start)
		now := time.Now()
		m.recordResult(err, now, now.Add(-changes.Age))
		m.logRead(cur, changes, err, now.Sub(start))
		pause := m.MinInterval - now.Sub(start)
		if err == nil {
			m.applyChanges(&cur, changes, now)
		} else {
			pause = cur.recordFailure(err, now)
		}
		sleep.For(ctx, pause)
	}
}

// endUnreliable requests a full read once watches are reliable again, to find
// the changes that were missed.
func (c *cursor) endUnreliable(now time.Time) {
	if c.synced && !c.unreliableUntil.IsZero() && !now.Before(c.unreliableUntil) {
		c.synced, c.unreliableUntil, c.doubtful = false, time.Time{}, false
	}
}

// next reads all keys, or watches for changes.
func (m *Mirror) next(ctx context.Context, cur cursor, now time.Time) (quetzalpier.Changes, error) {
	switch {
	case !cur.synced:
		return m.KV.Range(ctx, m.Prefix, false)
	case now.Before(cur.unreliableUntil):
		return m.KV.WatchPrefix(ctx, m.Prefix, cur.rev, min(m.WatchTimeout, unreliableWatch))
	default:
		return m.KV.WatchPrefix(ctx, m.Prefix, cur.rev, m.WatchTimeout)
	}
}

// applyChanges applies the result of a read or a watch.
func (m *Mirror) applyChanges(cur *cursor, changes quetzalpier.Changes, now time.Time) {
	full := !cur.synced
	cur.failures = 0
	if !full {
		cur.historyLosses = 0
	}
	latest := max(cur.latest, changes.Rev)
	if !full && len(changes.Entries) == 0 {
		// This watch may have missed changes, so the next one starts further back.
		switch {
		case !cur.unreliableUntil.IsZero():
			changes.Rev, latest = cur.rev, cur.latest
		case now.Sub(cur.answeredAt) <= maxReplay:
			changes.Rev = cur.latest
		}
	}
	m.applyMu.Lock()
	updates := m.merge(changes, full)
	m.mu.Lock()
	if full || !cur.doubtful {
		m.mergedAt = m.lastContact
	}
	mergedAt := m.mergedAt
	m.mu.Unlock()
	if full || len(updates) > 0 {
		m.Apply(updates, full, now)
	}
	m.mu.Lock()
	m.currentAt = mergedAt
	m.mu.Unlock()
	m.applyMu.Unlock()
	cur.synced, cur.rev, cur.latest, cur.answeredAt = true, changes.Rev, latest, now
}

// recordFailure records a failed call and returns the pause before the next one.
// After a loss of history all keys are read, the first time without a pause.
func (c *cursor) recordFailure(err error, now time.Time) time.Duration {
	var compacted *quetzalpier.CompactedError
	if !errors.As(err, &compacted) {
		c.failures++
		return sleep.Backoff(c.failures, backoffBase, backoffLimit, rand.Float64())
	}
	c.synced, c.unreliableUntil = false, now.Add(unreliablePeriod)
	c.doubtful = c.doubtful || !compacted.Follower
	c.historyLosses++
	if c.historyLosses == 1 {
		return 0
	}
	return sleep.Backoff(c.historyLosses-1, backoffBase, backoffLimit, rand.Float64())
}

// recordResult updates the state with the result of a call, which shows the content of
// the service at answeredAt, and logs when the source fails or recovers.
func (m *Mirror) recordResult(err error, now, answeredAt time.Time) {
	var compacted *quetzalpier.CompactedError
	failed := err != nil && !errors.As(err, &compacted)
	m.mu.Lock()
	defer m.mu.Unlock()
	if failed != m.failing {
		m.Log.Warn().Str("prefix", m.Prefix).Bool("lost", failed).AnErr("cause", err).
			Dur("silent_ms", now.Sub(m.lastContact)).Msg("contact with the key-value service was lost or restored")
	}
	if !failed {
		if m.failing {
			m.recoveredAt = now
		}
		if answeredAt.After(m.lastContact) {
			m.lastContact = answeredAt
		}
	}
	m.failing = failed
}

// logRead logs each read of all keys, and each loss of history, which leads to one.
func (m *Mirror) logRead(cur cursor, changes quetzalpier.Changes, err error, took time.Duration) {
	var compacted *quetzalpier.CompactedError
	switch {
	case errors.As(err, &compacted):
		m.Log.Warn().Str("prefix", m.Prefix).Uint64("rev", cur.rev).Bool("cut", compacted.Cut).Dur("took_ms", took).Msg("watch lost its place in the history")
	case cur.synced:
	case err != nil:
		m.Log.Warn().Str("prefix", m.Prefix).Err(err).Dur("took_ms", took).Msg("failed to read all keys")
	default:
		bytes := 0
		for _, entry := range changes.Entries {
			bytes += len(entry.Key) + len(entry.Value)
		}
		m.Log.Info().Str("prefix", m.Prefix).Int("keys", len(changes.Entries)).Int("bytes", bytes).Uint64("rev", changes.Rev).Dur("took_ms", took).Msg("read all keys")
	}
}

// Seed sets the content to what another node or an earlier process has read, until
// the first read of the own source replaces it. It does nothing, and returns false,
// once that has happened or if the present content is as new.
func (m *Mirror) Seed(changes quetzalpier.Changes, now time.Time) bool {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.mu.Lock()
	usable := m.lastContact.IsZero() && changes.Rev > m.rev
	m.mu.Unlock()
	if !usable {
		return false
	}
	m.Apply(m.merge(changes, true), true, now)
	return true
}

// Snapshot returns all keys, also while the mirror has no contact with its source.
// It returns false if it never had any content.
func (m *Mirror) Snapshot() (quetzalpier.Changes, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries == nil {
		return quetzalpier.Changes{}, false
	}
	return m.changesSince(0), true
}

// merge stores changes for the followers of this mirror. It returns those that
// are not equivalent to what was stored, or all entries of a full read.
func (m *Mirror) merge(changes quetzalpier.Changes, full bool) []quetzalpier.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries == nil {
		m.entries = make(map[string]quetzalpier.Entry, len(changes.Entries))
		m.oldest = changes.Rev
	}
	var updates []quetzalpier.Entry
	missed := false
	for _, entry := range changes.Entries {
		old, known := m.entries[entry.Key]
		if known && m.equivalent(old, entry) {
			// With the old revision, followers don't receive the entry again.
			entry.Rev = old.Rev
		} else {
			updates = append(updates, entry)
			missed = missed || entry.Rev <= m.rev && entry.Rev != old.Rev
		}
		if m.DropValues {
			entry.Value = nil
		}
		m.entries[entry.Key] = entry
	}
	if missed {
		// Followers may be past this change, and have to read all keys.
		m.oldest = changes.Rev
	}
	if full {
		m.markDeleted(changes)
		updates = changes.Entries
	}
	m.rev = changes.Rev
	m.dropDeleted()
	if m.changed != nil && (full || len(updates) > 0) {
		close(m.changed)
		m.changed = nil
	}
	return updates
}

// markDeleted marks keys that a full read lacks as deleted, so that followers can
// continue from their revision; the caller holds the lock.
func (m *Mirror) markDeleted(changes quetzalpier.Changes) {
	found := make(map[string]bool, len(changes.Entries))
	for _, entry := range changes.Entries {
		found[entry.Key] = true
	}
	for key, entry := range m.entries {
		if !found[key] && !entry.Deleted {
			m.entries[key] = quetzalpier.Entry{Key: key, Rev: changes.Rev, Deleted: true}
		}
	}
}

func (m *Mirror) equivalent(old, latest quetzalpier.Entry) bool {
	return m.Equivalent != nil && !old.Deleted && !latest.Deleted && m.Equivalent(old, latest)
}

// maxDeleted is the maximum number of deleted keys that a mirror keeps.
const maxDeleted = 512

// dropDeleted removes the deleted keys if there are more than maxDeleted; the
// caller holds the lock.
func (m *Mirror) dropDeleted() {
	deleted := 0
	for _, entry := range m.entries {
		if entry.Deleted {
			deleted++
		}
	}
	if deleted <= maxDeleted {
		return
	}
	for key, entry := range m.entries {
		if entry.Deleted {
			delete(m.entries, key)
		}
	}
	m.oldest = m.rev
}

// Range returns all keys. It is refused while the mirror has no contact with its
// own source.
func (m *Mirror) Range(now time.Time) (quetzalpier.Changes, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.unavailable(now); err != nil {
		return quetzalpier.Changes{}, err
	}
	return m.passOn(m.changesSince(0), now), nil
}

// unavailable returns why the content may not be passed on to other nodes, or nil; the
// caller holds the lock.
func (m *Mirror) unavailable(now time.Time) error {
	call := "feed of " + m.Prefix
	switch age := now.Sub(m.lastContact); {
	case m.mergedAt.IsZero():
		return &quetzalpier.RefusedError{Call: call, Reason: "this node has not read it yet"}
	case m.failing:
		return &quetzalpier.RefusedError{Call: call, Reason: "this node can't reach the key-value service either"}
	case m.MaxAge > 0 && age > m.MaxAge:
		return &quetzalpier.RefusedError{Call: call, Reason: "the key-value service has not answered this node for " + age.String()}
	}
	return nil
}

// passOn returns changes with their age; the caller holds the lock.
func (m *Mirror) passOn(changes quetzalpier.Changes, now time.Time) quetzalpier.Changes {
	changes.Age = max(0, now.Sub(m.mergedAt))
	return changes
}

// Watch waits for changes after revision rev, at most until ctx ends. It is
// refused while the mirror has no contact with its own source, and fails with a
// CompactedError if the mirror no longer knows the changes after rev.
func (m *Mirror) Watch(ctx context.Context, rev uint64) (quetzalpier.Changes, error) {
	for {
		m.mu.Lock()
		now := time.Now()
		if err := m.unavailable(now); err != nil {
			m.mu.Unlock()
			return quetzalpier.Changes{}, err
		}
		if rev < m.oldest {
			m.mu.Unlock()
			return quetzalpier.Changes{}, &quetzalpier.CompactedError{Prefix: m.Prefix, Rev: rev}
		}
		changes := m.passOn(m.changesSince(rev), now)
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		left := m.MaxAge - now.Sub(m.lastContact) + time.Millisecond
		m.mu.Unlock()
		if len(changes.Entries) > 0 || ctx.Err() != nil {
			return changes, nil
		}
		fresh, cancel := ctx, context.CancelFunc(func() {})
		if m.MaxAge > 0 {
			// The content may become too old meanwhile.
			fresh, cancel = context.WithTimeout(ctx, left)
		}
		select {
		case <-changed:
		case <-fresh.Done():
		}
		cancel()
	}
}

// changesSince returns the changes after rev in the order of their revisions; the
// caller holds the lock.
func (m *Mirror) changesSince(rev uint64) quetzalpier.Changes {
	changes := quetzalpier.Changes{Rev: m.rev}
	for _, entry := range m.entries {
		if entry.Rev > rev && (rev > 0 || !entry.Deleted) {
			changes.Entries = append(changes.Entries, entry)
		}
	}
	sort.Slice(changes.Entries, func(i, j int) bool { return changes.Entries[i].Rev < changes.Entries[j].Rev })
	return changes
}
