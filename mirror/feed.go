package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/wire"
)

const (
	// maxFeedWatch bounds one watch of another node's mirror, and feedMargin is the
	// time for its answer: a frozen node must not delay updates for longer than
	// two seconds.
	maxFeedWatch = 1500 * time.Millisecond
	feedMargin   = 500 * time.Millisecond
	// directPeriod is how long a feed reads from the service after the leader
	// failed.
	directPeriod = 5 * time.Second
)

// Feed is a Source that reads from another node's mirror, so that the number of
// calls to the key-value service grows with the failure domains and not with the
// nodes. It reads from the service while the leader fails or there is none.
type Feed struct {
	Direct Source
	// Leader returns the address of the node to follow, or an empty string if
	// there is none.
	Leader func() string
	// Call sends a call to another node.
	Call func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)

	mu          sync.Mutex
	leader      string
	directUntil time.Time
	// newestRev is the newest revision read so far.
	newestRev uint64
}

// Range implements Source.
func (f *Feed) Range(ctx context.Context, prefix string, stale bool) (quetzalpier.Changes, error) {
	leader := f.usableLeader(time.Now())
	if leader != "" {
		changes, err := f.request(ctx, leader, &wire.Feed{Prefix: prefix})
		if err == nil && f.advance(changes.Rev) {
			return changes, nil
		}
		f.suspendLeader(time.Now())
	}
	changes, err := f.Direct.Range(ctx, prefix, stale)
	f.advance(changes.Rev)
	return changes, err
}

// advance records a revision and reports whether it is at least as new as those
// read before: a leader that lags must not make a follower apply old entries.
func (f *Feed) advance(rev uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rev < f.newestRev {
		return false
	}
	f.newestRev = rev
	return true
}

// WatchPrefix implements Source. The revisions of a leader are those of the
// service, so that a follower can switch between the two without missing changes.
func (f *Feed) WatchPrefix(ctx context.Context, prefix string, rev uint64, wait time.Duration) (quetzalpier.Changes, error) {
	leader := f.usableLeader(time.Now())
	if leader == "" {
		return f.Direct.WatchPrefix(ctx, prefix, rev, min(wait, directPeriod))
	}
	wait = min(wait, maxFeedWatch)
	f.advance(rev)
	changes, err := f.request(ctx, leader, &wire.Feed{Prefix: prefix, Rev: rev, Wait: uint64(wait.Milliseconds())})
	var compacted *quetzalpier.CompactedError
	if errors.As(err, &compacted) {
		return quetzalpier.Changes{}, err
	}
	if err != nil {
		f.suspendLeader(time.Now())
		return f.Direct.WatchPrefix(ctx, prefix, rev, min(wait, directPeriod))
	}
	// The leader may lag behind the revision that this node has read elsewhere.
	changes.Rev = max(changes.Rev, rev)
	return changes, nil
}

// request reads from the leader's mirror.
func (f *Feed) request(ctx context.Context, leader string, feed *wire.Feed) (quetzalpier.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(feed.GetWait())*time.Millisecond+feedMargin)
	defer cancel()
	reply, err := f.Call(ctx, leader, &wire.Call{Kind: &wire.Call_Feed{Feed: feed}})
	if err != nil {
		return quetzalpier.Changes{}, err
	}
	stored := reply.GetStored()
	if err := wire.UnpackFailure("feed", stored.GetFailure()); err != nil {
		return quetzalpier.Changes{}, err
	}
	return quetzalpier.Changes{Entries: wire.UnpackEntries(stored.GetEntries()), Rev: stored.GetRev()}, nil
}

// usableLeader returns the leader, or an empty string for directPeriod after it
// failed.
func (f *Feed) usableLeader(now time.Time) string {
	leader := f.Leader()
	f.mu.Lock()
	defer f.mu.Unlock()
	if leader != f.leader {
		f.leader, f.directUntil = leader, time.Time{}
	}
	if now.Before(f.directUntil) {
		return ""
	}
	return leader
}

// suspendLeader makes the feed read from the service for directPeriod.
func (f *Feed) suspendLeader(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directUntil = now.Add(directPeriod)
}

// Serve answers a request of another node's feed.
func (m *Mirror) Serve(ctx context.Context, feed *wire.Feed) *wire.Stored {
	var changes quetzalpier.Changes
	var err error
	if feed.GetRev() == 0 {
		changes, err = m.Range()
	} else {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(feed.GetWait())*time.Millisecond)
		defer cancel()
		changes, err = m.Watch(ctx, feed.GetRev())
	}
	if err != nil {
		return &wire.Stored{Failure: wire.PackFailure(err)}
	}
	return &wire.Stored{Rev: changes.Rev, Entries: wire.PackEntries(changes.Entries)}
}
