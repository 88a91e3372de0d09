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
	// backoffBase and backoffLimit bound the pause after a failed call. The
	// limit is short against the two seconds in which news must be in force.
	backoffBase  = 100 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
	// doubtTime is how long watches are short after history was lost, and
	// doubtWait how long each waits: one that began while the service drops
	// history can miss a change, and news must be in force in two seconds.
	doubtTime = 5 * time.Second
	doubtWait = time.Second
)

// Source is where a mirror reads from: the key-value service, or another
// node's mirror.
type Source interface {
	Range(ctx context.Context, prefix string, stale bool) (quetzalpier.Changes, error)
	Follow(ctx context.Context, prefix string, rev uint64, wait time.Duration) (quetzalpier.Changes, error)
}

// Mirror follows a prefix.
type Mirror struct {
	KV     Source
	Prefix string
	// Wait is how long one watch waits for news, and Gap the least time between
	// two watches: each is a call that the platform counts, and keys that change
	// all the time would make as many.
	Wait time.Duration
	Gap  time.Duration
	Log  zerolog.Logger
	// Same tells whether two values of a key mean the same; nil if none do.
	// Such a change is told to nobody: heartbeats rewrite keys all the time.
	Same func(old, latest quetzalpier.Entry) bool
	// Apply is told of every change. Whole tells that changed holds all keys
	// there are, not only those that changed.
	Apply func(changed []quetzalpier.Entry, whole bool, now time.Time)

	mu       sync.Mutex
	content  map[string]quetzalpier.Entry
	rev      uint64
	oldest   uint64
	changed  chan struct{}
	heard    time.Time
	failing  bool
	returned time.Time
}

// State tells when the service was last heard, and whether the last call to it
// failed.
type State struct {
	Heard   time.Time
	Failing bool
	// Returned is when the service was heard again after it had failed.
	Returned time.Time
}

// State returns the mirror's state.
func (m *Mirror) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{m.heard, m.failing, m.returned}
}

// cursor is where a mirror stands in what it follows.
type cursor struct {
	rev   uint64
	known bool
	// doubt is until when watches may miss changes; zero for never.
	doubt time.Time
	// failures and lost count calls that failed and losses of history in a row.
	failures, lost int
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	at := cursor{}
	for ctx.Err() == nil {
		start := time.Now()
		at.settle(start)
		changes, err := m.next(ctx, at, start)
		now := time.Now()
		m.note(err, now)
		pause := m.Gap - now.Sub(start)
		if err == nil {
			m.take(&at, changes, now)
		} else {
			pause = at.fail(err, now)
		}
		sleep.For(ctx, pause)
	}
}

// settle ends the time of doubt with a whole read, which shows what was missed.
func (c *cursor) settle(now time.Time) {
	if c.known && !c.doubt.IsZero() && !now.Before(c.doubt) {
		c.known, c.doubt = false, time.Time{}
	}
}

// next reads all, or watches for changes.
func (m *Mirror) next(ctx context.Context, at cursor, now time.Time) (quetzalpier.Changes, error) {
	switch {
	case !at.known:
		return m.KV.Range(ctx, m.Prefix, false)
	case now.Before(at.doubt):
		return m.KV.Follow(ctx, m.Prefix, at.rev, min(m.Wait, doubtWait))
	default:
		return m.KV.Follow(ctx, m.Prefix, at.rev, m.Wait)
	}
}

// take takes over what was read or heard.
func (m *Mirror) take(at *cursor, changes quetzalpier.Changes, now time.Time) {
	whole := !at.known
	at.failures = 0
	if !whole {
		at.lost = 0
		if !at.doubt.IsZero() && len(changes.Entries) == 0 {
			// What this watch may have missed is asked for again.
			changes.Rev = at.rev
		}
	}
	news := m.keep(changes, whole)
	if whole || len(news) > 0 {
		m.Apply(news, whole, now)
	}
	at.known, at.rev = true, changes.Rev
}

// fail notes that a call failed and returns the pause before the next one.
// Where history was lost all is read at once, unless that happens again.
func (c *cursor) fail(err error, now time.Time) time.Duration {
	var gone *quetzalpier.GoneError
	if !errors.As(err, &gone) {
		c.failures++
		return backoff(c.failures)
	}
	c.known, c.doubt = false, now.Add(doubtTime)
	c.lost++
	if c.lost == 1 {
		return 0
	}
	return backoff(c.lost - 1)
}

func (m *Mirror) note(err error, now time.Time) {
	var gone *quetzalpier.GoneError
	failed := err != nil && !errors.As(err, &gone)
	m.mu.Lock()
	defer m.mu.Unlock()
	if failed != m.failing {
		m.Log.Warn().Str("prefix", m.Prefix).Bool("lost", failed).AnErr("cause", err).
			Dur("silent_ms", now.Sub(m.heard)).Msg("platform store")
	}
	if !failed {
		if m.failing {
			m.returned = now
		}
		m.heard = now
	}
	m.failing = failed
}

// backoff grows with the failures in a row and is spread, so that nodes don't
// come back together.
func backoff(failures int) time.Duration {
	pause := min(backoffLimit, backoffBase<<min(failures-1, 4))
	return pause/2 + rand.N(pause/2)
}

// keep takes changes over for those that follow this mirror, and returns those
// that mean something new, or all of a whole read.
func (m *Mirror) keep(changes quetzalpier.Changes, whole bool) []quetzalpier.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.content == nil {
		m.content = make(map[string]quetzalpier.Entry, len(changes.Entries))
		m.oldest = changes.Rev
	}
	var news []quetzalpier.Entry
	for _, entry := range changes.Entries {
		if old, known := m.content[entry.Key]; known && m.same(old, entry) {
			// Followers are told what is newer than they know.
			entry.Rev = old.Rev
		} else {
			news = append(news, entry)
		}
		m.content[entry.Key] = entry
	}
	if whole {
		m.prune(changes)
		news = changes.Entries
	}
	m.rev = changes.Rev
	m.forget()
	if m.changed != nil && (whole || len(news) > 0) {
		close(m.changed)
		m.changed = nil
	}
	return news
}

// prune notes keys that a whole read lacks as deleted, so that followers go on
// from what they know; the caller holds the lock.
func (m *Mirror) prune(changes quetzalpier.Changes) {
	found := make(map[string]bool, len(changes.Entries))
	for _, entry := range changes.Entries {
		found[entry.Key] = true
	}
	for key, entry := range m.content {
		if !found[key] && !entry.Deleted {
			m.content[key] = quetzalpier.Entry{Key: key, Rev: changes.Rev, Deleted: true}
		}
	}
}

func (m *Mirror) same(old, latest quetzalpier.Entry) bool {
	return m.Same != nil && !old.Deleted && !latest.Deleted && m.Same(old, latest)
}

// maxDeleted bounds the deleted keys that are remembered.
const maxDeleted = 512

// forget drops the deleted keys when there are many; the caller holds the lock.
func (m *Mirror) forget() {
	deleted := 0
	for _, entry := range m.content {
		if entry.Deleted {
			deleted++
		}
	}
	if deleted <= maxDeleted {
		return
	}
	for key, entry := range m.content {
		if entry.Deleted {
			delete(m.content, key)
		}
	}
	m.oldest = m.rev
}

// Range returns the whole content. It is refused while the mirror itself hears
// nothing.
func (m *Mirror) Range() (quetzalpier.Changes, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing || m.content == nil {
		return quetzalpier.Changes{}, m.deaf()
	}
	return m.since(0), nil
}

func (m *Mirror) deaf() error {
	return &quetzalpier.RefusedError{Call: "feed of " + m.Prefix, Reason: "this node hears nothing either"}
}

// Follow waits for changes after revision rev, at most until ctx ends. It is
// refused while the mirror hears nothing, and fails with a GoneError if the
// mirror no longer knows what came after rev.
func (m *Mirror) Follow(ctx context.Context, rev uint64) (quetzalpier.Changes, error) {
	for {
		m.mu.Lock()
		if m.failing || m.content == nil {
			m.mu.Unlock()
			return quetzalpier.Changes{}, m.deaf()
		}
		if rev < m.oldest {
			m.mu.Unlock()
			return quetzalpier.Changes{}, &quetzalpier.GoneError{Prefix: m.Prefix, Rev: rev}
		}
		changes := m.since(rev)
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mu.Unlock()
		if len(changes.Entries) > 0 {
			return changes, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return changes, nil
		}
	}
}

// since returns what changed after rev, in order; the caller holds the lock.
func (m *Mirror) since(rev uint64) quetzalpier.Changes {
	changes := quetzalpier.Changes{Rev: m.rev}
	for _, entry := range m.content {
		if entry.Rev > rev && (rev > 0 || !entry.Deleted) {
			changes.Entries = append(changes.Entries, entry)
		}
	}
	sort.Slice(changes.Entries, func(i, j int) bool { return changes.Entries[i].Rev < changes.Entries[j].Rev })
	return changes
}
