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
	// feedWait bounds one watch of another node's mirror, and feedMore is added
	// for its answer: a frozen node must not keep news for longer than a second
	// or two.
	feedWait = 1500 * time.Millisecond
	feedMore = 500 * time.Millisecond
	// directTime is how long the service itself is followed after another
	// node's mirror failed.
	directTime = 5 * time.Second
)

// Feed is a Source that reads from another node's mirror, so that the calls to
// the key-value service grow with the failure domains and not with the nodes.
// While that fails, or no other node is to be followed, it is the service.
type Feed struct {
	Direct Source
	// Leader returns the address of the node to follow; empty for none.
	Leader func() string
	// Call makes a call to another node.
	Call func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)

	mu     sync.Mutex
	leader string
	until  time.Time
	// seen is the newest revision read so far.
	seen uint64
}

// Range implements Source.
func (f *Feed) Range(ctx context.Context, prefix string, stale bool) (quetzalpier.Changes, error) {
	leader := f.pick(time.Now())
	if leader != "" {
		changes, err := f.ask(ctx, leader, &wire.Feed{Prefix: prefix})
		if err == nil && f.advance(changes.Rev) {
			return changes, nil
		}
		f.fail(time.Now())
	}
	changes, err := f.Direct.Range(ctx, prefix, stale)
	f.advance(changes.Rev)
	return changes, err
}

// advance notes a revision. It is false for one that is older than what was
// read before: a leader that lies behind must not take a follower back.
func (f *Feed) advance(rev uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rev < f.seen {
		return false
	}
	f.seen = rev
	return true
}

// Follow implements Source. Revisions are the service's own, whoever tells
// them, so that a change of the source loses nothing.
func (f *Feed) Follow(ctx context.Context, prefix string, rev uint64, wait time.Duration) (quetzalpier.Changes, error) {
	leader := f.pick(time.Now())
	if leader == "" {
		return f.Direct.Follow(ctx, prefix, rev, min(wait, directTime))
	}
	wait = min(wait, feedWait)
	f.advance(rev)
	changes, err := f.ask(ctx, leader, &wire.Feed{Prefix: prefix, Rev: rev, Wait: uint64(wait.Milliseconds())})
	var gone *quetzalpier.GoneError
	if errors.As(err, &gone) {
		return quetzalpier.Changes{}, err
	}
	if err != nil {
		f.fail(time.Now())
		return f.Direct.Follow(ctx, prefix, rev, min(wait, directTime))
	}
	// The leader may lie behind what this node has seen elsewhere.
	changes.Rev = max(changes.Rev, rev)
	return changes, nil
}

func (f *Feed) ask(ctx context.Context, leader string, feed *wire.Feed) (quetzalpier.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(feed.GetWait())*time.Millisecond+feedMore)
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

// pick returns the leader unless it failed lately.
func (f *Feed) pick(now time.Time) string {
	leader := f.Leader()
	f.mu.Lock()
	defer f.mu.Unlock()
	if leader != f.leader {
		f.leader, f.until = leader, time.Time{}
	}
	if now.Before(f.until) {
		return ""
	}
	return leader
}

func (f *Feed) fail(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until = now.Add(directTime)
}

// Serve answers another node's feed.
func (m *Mirror) Serve(ctx context.Context, feed *wire.Feed) *wire.Stored {
	var changes quetzalpier.Changes
	var err error
	if feed.GetRev() == 0 {
		changes, err = m.Range()
	} else {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(feed.GetWait())*time.Millisecond)
		defer cancel()
		changes, err = m.Follow(ctx, feed.GetRev())
	}
	if err != nil {
		return &wire.Stored{Failure: wire.PackFailure(err)}
	}
	return &wire.Stored{Rev: changes.Rev, Entries: wire.PackEntries(changes.Entries)}
}
