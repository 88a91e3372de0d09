package mirror

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/sleep"
	"quetzalpier/wire"
)

const (
	// maxFeedWatch bounds one watch of another node's mirror, and feedMargin is the
	// time for its answer: a frozen node must not delay updates for longer than
	// two seconds.
	maxFeedWatch = 1500 * time.Millisecond
	feedMargin   = 500 * time.Millisecond
	// failedPause is how long a feed leaves out a leader that failed, and refusedPause
	// one that answered that it has nothing to pass on.
	failedPause  = 5 * time.Second
	refusedPause = time.Second
	// minDirectWatch is the least wait of a watch of the service while a leader pauses.
	minDirectWatch = 200 * time.Millisecond
	// maxStartWait is how long a feed that has read nothing yet waits for a leader that
	// has not either, and startPause the time between two tries.
	maxStartWait = time.Second
	startPause   = 100 * time.Millisecond
)

// Feed is a Source that reads from the mirrors of other nodes, its leaders, so that the
// number of calls to the key-value service grows with the failure domains and not with
// the nodes. It reads from the service if there is no leader or none has anything to pass
// on.
//
// Load pattern: hundreds of nodes start at once, or wait for changes of a configuration
// that rarely changes.
type Feed struct {
	Direct Source
	// Leaders returns the addresses of the nodes to follow, the first one first; none if
	// this node reads for others.
	Leaders func() []string
	// Call sends a call to another node.
	Call func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
	// MaxDirectWatch limits the watches of a node without leaders; nil means failedPause.
	MaxDirectWatch func() time.Duration
	// MaxWatch limits all watches, so that the age of what was read stays known; nil means
	// no limit.
	MaxWatch func() time.Duration
	// DirectFailed reports whether the service is unavailable to this node; nil means
	// never.
	DirectFailed func() bool

	mu sync.Mutex
	// paused holds the leaders that are left out.
	paused map[string]pause
	// newestRev is the newest revision read so far.
	newestRev uint64
}

// pause is how long a leader is left out, and the refusal that it answered, if it did.
type pause struct {
	until   time.Time
	refusal error
}

// Range implements Source.
func (f *Feed) Range(ctx context.Context, prefix string, stale bool) (quetzalpier.Changes, error) {
	started := time.Now()
	for {
		changes, err := f.askLeaders(ctx, &wire.Feed{Prefix: prefix})
		switch {
		case err == nil && f.advance(changes.Rev):
			return changes, nil
		case err == nil:
			// All leaders lag behind what this node has read.
		case isRefused(err) && !f.hasRead() && time.Since(started) < maxStartWait:
			sleep.For(ctx, startPause)
			f.resumeLeaders()
			continue
		case isRefused(err) && f.directFailed():
			return quetzalpier.Changes{}, err
		}
		changes, err = f.Direct.Range(ctx, prefix, stale)
		f.advance(changes.Rev)
		return changes, err
	}
}

// WatchPrefix implements Source. The revisions of a leader are those of the
// service, so that a follower can switch between the two without missing changes.
func (f *Feed) WatchPrefix(ctx context.Context, prefix string, rev uint64, wait time.Duration) (quetzalpier.Changes, error) {
	f.advance(rev)
	if f.MaxWatch != nil {
		wait = min(wait, f.MaxWatch())
	}
	changes, err := f.askLeaders(ctx, &wire.Feed{Prefix: prefix, Rev: rev, Wait: uint64(min(wait, maxFeedWatch).Milliseconds())})
	var compacted *quetzalpier.CompactedError
	switch {
	case err == nil:
		// The leader may lag behind the revision that this node has read elsewhere.
		changes.Rev = max(changes.Rev, rev)
		return changes, nil
	case errors.As(err, &compacted), isRefused(err) && f.directFailed():
		return quetzalpier.Changes{}, err
	}
	return f.Direct.WatchPrefix(ctx, prefix, rev, min(wait, f.directWait(time.Now())))
}

// noLeaderError reports that a feed has no leader to read from at present.
type noLeaderError struct{}

// Error implements error.
func (noLeaderError) Error() string { return "no leader to read from" }

// askLeaders reads from the first leader that has something to pass on. Its error is a
// RefusedError if the last one answered that it has not, now or before its pause.
func (f *Feed) askLeaders(ctx context.Context, feed *wire.Feed) (changes quetzalpier.Changes, err error) {
	err = noLeaderError{}
	var compacted *quetzalpier.CompactedError
	for _, leader := range f.Leaders() {
		if paused, refusal := f.isPaused(leader, time.Now()); paused {
			if refusal != nil {
				err = refusal
			}
			continue
		}
		changes, err = f.request(ctx, leader, feed)
		if err == nil || errors.As(err, &compacted) || ctx.Err() != nil {
			return changes, err
		}
		f.pause(leader, err, time.Now())
	}
	return changes, err
}

// request reads from the leader's mirror.
func (f *Feed) request(ctx context.Context, leader string, feed *wire.Feed) (quetzalpier.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wire.Millis(feed.GetWait())+feedMargin)
	defer cancel()
	reply, err := f.Call(ctx, leader, &wire.Call{Kind: &wire.Call_Feed{Feed: feed}})
	if err != nil {
		return quetzalpier.Changes{}, err
	}
	stored := reply.GetStored()
	if err := wire.UnpackFailure("feed", stored.GetFailure()); err != nil {
		var compacted *quetzalpier.CompactedError
		if errors.As(err, &compacted) {
			compacted.Follower = true
		}
		return quetzalpier.Changes{}, err
	}
	return quetzalpier.Changes{
		Entries: wire.UnpackEntries(stored.GetEntries()), Rev: stored.GetRev(), Age: wire.Millis(stored.GetAge()),
	}, nil
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

func (f *Feed) hasRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newestRev > 0
}

func (f *Feed) directFailed() bool { return f.DirectFailed != nil && f.DirectFailed() }

// directWait returns how long a watch of the service may wait: until a leader that is
// left out is tried again.
func (f *Feed) directWait(now time.Time) time.Duration {
	limit := failedPause
	leaders := f.Leaders()
	if len(leaders) == 0 && f.MaxDirectWatch != nil {
		return f.MaxDirectWatch()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, leader := range leaders {
		limit = min(limit, f.paused[leader].until.Sub(now))
	}
	return max(minDirectWatch, limit)
}

// isPaused reports whether a leader is left out, and because of which refusal.
func (f *Feed) isPaused(leader string, now time.Time) (paused bool, refusal error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.paused[leader]
	return now.Before(p.until), p.refusal
}

// pause leaves out a leader for a while.
func (f *Feed) pause(leader string, cause error, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.paused, func(_ string, p pause) bool { return now.After(p.until) })
	if f.paused == nil {
		f.paused = map[string]pause{}
	}
	if isRefused(cause) {
		f.paused[leader] = pause{now.Add(refusedPause), cause}
	} else {
		f.paused[leader] = pause{until: now.Add(failedPause)}
	}
}

// resumeLeaders tries all leaders again.
func (f *Feed) resumeLeaders() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.paused)
}

func isRefused(err error) bool {
	var refused *quetzalpier.RefusedError
	return errors.As(err, &refused)
}

// Serve answers a request of another node's feed.
func (m *Mirror) Serve(ctx context.Context, feed *wire.Feed) *wire.Stored {
	var changes quetzalpier.Changes
	var err error
	if feed.GetRev() == 0 {
		changes, err = m.Range(time.Now())
	} else {
		ctx, cancel := context.WithTimeout(ctx, wire.Millis(feed.GetWait()))
		defer cancel()
		changes, err = m.Watch(ctx, feed.GetRev())
	}
	if err != nil {
		return &wire.Stored{Failure: wire.PackFailure(err)}
	}
	return &wire.Stored{Rev: changes.Rev, Entries: wire.PackEntries(changes.Entries), Age: uint64(changes.Age.Milliseconds())}
}
