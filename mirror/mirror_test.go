package mirror_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/mirror"
	"quetzalpier/stand"
	"quetzalpier/wire"
)

const patience = 10 * time.Second

// copied is what a mirror's Apply was told.
type copied struct {
	mu     sync.Mutex
	keys   map[string]string
	wholes int
}

func (c *copied) apply(changed []quetzalpier.Entry, whole bool, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if whole {
		c.keys = map[string]string{}
		c.wholes++
	}
	for _, e := range changed {
		if e.Deleted {
			delete(c.keys, e.Key)
			continue
		}
		c.keys[e.Key] = string(e.Value)
	}
}

func (c *copied) has(key, value string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys[key] == value
}

func follow(t *testing.T, source mirror.Source, set ...func(*mirror.Mirror)) (*mirror.Mirror, *copied) {
	t.Helper()
	c := &copied{}
	m := &mirror.Mirror{KV: source, Prefix: "p/", Wait: 50 * time.Millisecond, Log: zerolog.Nop(), Apply: c.apply}
	for _, change := range set {
		change(m)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	running.Go(func() { m.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return m, c
}

func put(t *testing.T, kv quetzalpier.KV, key, value string) {
	t.Helper()
	_, err := kv.Commit(t.Context(), quetzalpier.Txn{Writes: []quetzalpier.Write{{Key: key, Value: []byte(value)}}})
	require.NoError(t, err)
}

func requireCopied(t *testing.T, c *copied, key, value string) {
	t.Helper()
	require.Eventually(t, func() bool { return c.has(key, value) }, patience, time.Millisecond)
}

func TestMirror(t *testing.T) {
	t.Run("it holds what is there and what comes", func(t *testing.T) {
		kv := stand.NewMemory()
		put(t, kv, "p/a", "1")
		_, c := follow(t, kv)
		requireCopied(t, c, "p/a", "1")
		put(t, kv, "p/b", "2")
		requireCopied(t, c, "p/b", "2")
		_, err := kv.Commit(t.Context(), quetzalpier.Txn{Deletes: []string{"p/a"}})
		require.NoError(t, err)
		requireCopied(t, c, "p/a", "")
	})
	t.Run("it reads all again when the history is gone", func(t *testing.T) {
		kv := &gappy{Memory: stand.NewMemory()}
		put(t, kv, "p/a", "1")
		_, c := follow(t, kv)
		requireCopied(t, c, "p/a", "1")
		kv.set(errors.New("out"))
		put(t, kv, "p/a", "2")
		kv.Compact()
		kv.set(nil)
		requireCopied(t, c, "p/a", "2")
		c.mu.Lock()
		defer c.mu.Unlock()
		require.Equal(t, 2, c.wholes)
	})
	t.Run("what a watch misses while history is dropped is heard soon", func(t *testing.T) {
		kv := &gappy{Memory: stand.NewMemory()}
		put(t, kv, "p/a", "1")
		_, c := follow(t, kv, func(m *mirror.Mirror) { m.Wait = time.Hour })
		requireCopied(t, c, "p/a", "1")
		kv.set(&quetzalpier.GoneError{Prefix: "p/"})
		put(t, kv, "p/a", "2")
		requireCopied(t, c, "p/a", "2")
		kv.mu.Lock()
		kv.mute = 1
		kv.err = nil
		kv.mu.Unlock()
		require.Eventually(t, func() bool { kv.mu.Lock(); defer kv.mu.Unlock(); return kv.mute == 0 }, patience, time.Millisecond)
		put(t, kv, "p/a", "3")
		requireCopied(t, c, "p/a", "3")
	})
	t.Run("it tells how long it has heard nothing", func(t *testing.T) {
		kv := &gappy{Memory: stand.NewMemory()}
		m, _ := follow(t, kv)
		require.Eventually(t, func() bool { return !m.State().Heard.IsZero() }, patience, time.Millisecond)
		kv.set(errors.New("out"))
		require.Eventually(t, func() bool { return m.State().Failing }, patience, time.Millisecond)
		kv.set(nil)
		require.Eventually(t, func() bool { return !m.State().Failing && !m.State().Returned.IsZero() }, patience, time.Millisecond)
	})
}

// gappy is a service that can be switched off for watches.
type gappy struct {
	*stand.Memory
	mu  sync.Mutex
	err error
	// mute is how many watches begin that will hear nothing, and answer with
	// the latest revision all the same.
	mute int
}

func (g *gappy) set(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.err = err
}

func (g *gappy) fault() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

func (g *gappy) Follow(ctx context.Context, prefix string, rev uint64, wait time.Duration) (quetzalpier.Changes, error) {
	if err := g.fault(); err != nil {
		return quetzalpier.Changes{}, err
	}
	g.mu.Lock()
	mute := g.mute > 0
	g.mute = max(0, g.mute-1)
	g.mu.Unlock()
	if mute {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		latest, err := g.Range(ctx, prefix, false)
		return quetzalpier.Changes{Rev: latest.Rev}, err
	}
	return g.Memory.Follow(ctx, prefix, rev, wait)
}

func TestFeed(t *testing.T) {
	feed := func(leader *mirror.Mirror, direct mirror.Source, fault func() error) *mirror.Feed {
		return &mirror.Feed{
			Direct: direct, Leader: func() string { return "leader" },
			Call: func(ctx context.Context, _ string, call *wire.Call) (*wire.Reply, error) {
				if err := fault(); err != nil {
					return nil, err
				}
				return &wire.Reply{Kind: &wire.Reply_Stored{Stored: leader.Serve(ctx, call.GetFeed())}}, nil
			},
		}
	}
	none := func() error { return nil }
	t.Run("a follower makes no call to the service", func(t *testing.T) {
		kv, unused := stand.NewMemory(), stand.NewMemory()
		put(t, kv, "p/a", "1")
		leader, c := follow(t, kv)
		requireCopied(t, c, "p/a", "1")
		_, followed := follow(t, feed(leader, unused, none))
		requireCopied(t, followed, "p/a", "1")
		put(t, kv, "p/b", "2")
		requireCopied(t, followed, "p/b", "2")
		require.Zero(t, unused.Counts().Reads+unused.Counts().Watches)
	})
	t.Run("a follower turns to the service when its leader fails", func(t *testing.T) {
		kv := stand.NewMemory()
		leader, c := follow(t, kv)
		put(t, kv, "p/a", "1")
		requireCopied(t, c, "p/a", "1")
		_, followed := follow(t, feed(leader, kv, func() error { return errors.New("reset") }))
		requireCopied(t, followed, "p/a", "1")
		put(t, kv, "p/b", "2")
		requireCopied(t, followed, "p/b", "2")
	})
	t.Run("a leader that hears nothing is not followed", func(t *testing.T) {
		kv := &gappy{Memory: stand.NewMemory()}
		leader, _ := follow(t, kv)
		require.Eventually(t, func() bool { return !leader.State().Heard.IsZero() }, patience, time.Millisecond)
		kv.set(errors.New("cut"))
		require.Eventually(t, func() bool { return leader.State().Failing }, patience, time.Millisecond)
		put(t, kv.Memory, "p/a", "1")
		_, followed := follow(t, feed(leader, kv.Memory, none))
		requireCopied(t, followed, "p/a", "1")
	})
	t.Run("a follower hears nothing of heartbeats, and of all that changes", func(t *testing.T) {
		kv := stand.NewMemory()
		// What follows the sign is a heartbeat's count.
		meaning := func(e quetzalpier.Entry) string { before, _, _ := strings.Cut(string(e.Value), "#"); return before }
		leader, c := follow(t, kv, func(m *mirror.Mirror) {
			m.Same = func(old, latest quetzalpier.Entry) bool { return meaning(old) == meaning(latest) }
		})
		put(t, kv, "p/a", "1#1")
		requireCopied(t, c, "p/a", "1#1")
		var mu sync.Mutex
		entries := 0
		source := feed(leader, kv, none)
		call := source.Call
		source.Call = func(ctx context.Context, addr string, message *wire.Call) (*wire.Reply, error) {
			reply, err := call(ctx, addr, message)
			mu.Lock()
			defer mu.Unlock()
			entries += len(reply.GetStored().GetEntries())
			return reply, err
		}
		_, followed := follow(t, source)
		requireCopied(t, followed, "p/a", "1#1")
		for beat := range 20 {
			put(t, kv, "p/a", fmt.Sprint("1#", beat))
		}
		put(t, kv, "p/b", "1#1")
		requireCopied(t, followed, "p/b", "1#1")
		mu.Lock()
		require.Equal(t, 2, entries, "one key when it came, and one later")
		mu.Unlock()
		_, err := kv.Commit(t.Context(), quetzalpier.Txn{Deletes: []string{"p/a"}})
		require.NoError(t, err)
		requireCopied(t, followed, "p/a", "")
		put(t, kv, "p/a", "1#1")
		requireCopied(t, followed, "p/a", "1#1")
		put(t, kv, "p/a", "2#1")
		requireCopied(t, followed, "p/a", "2#1")
	})
	t.Run("a leader that read all again is followed on", func(t *testing.T) {
		kv, unused := &gappy{Memory: stand.NewMemory()}, stand.NewMemory()
		put(t, kv, "p/a", "1")
		leader, c := follow(t, kv)
		requireCopied(t, c, "p/a", "1")
		_, followed := follow(t, feed(leader, unused, none))
		requireCopied(t, followed, "p/a", "1")
		kv.set(&quetzalpier.GoneError{Prefix: "p/"})
		put(t, kv, "p/b", "2")
		_, err := kv.Commit(t.Context(), quetzalpier.Txn{Deletes: []string{"p/a"}})
		require.NoError(t, err)
		requireCopied(t, c, "p/b", "2")
		requireCopied(t, c, "p/a", "")
		kv.set(nil)
		requireCopied(t, followed, "p/a", "")
		requireCopied(t, followed, "p/b", "2")
		put(t, kv, "p/c", "3")
		requireCopied(t, followed, "p/c", "3")
		require.Zero(t, unused.Counts().Reads+unused.Counts().Watches, "no call to the service")
	})
	t.Run("a leader that lies behind does not take a follower back", func(t *testing.T) {
		kv := stand.NewMemory()
		put(t, kv, "p/a", "old")
		leader, c := follow(t, kv)
		requireCopied(t, c, "p/a", "old")
		f := feed(leader, kv, none)
		behind, err := leader.Range()
		require.NoError(t, err)
		put(t, kv, "p/a", "new")
		requireCopied(t, c, "p/a", "new")
		now, err := f.Range(t.Context(), "p/", false)
		require.NoError(t, err)
		require.Equal(t, "new", string(now.Entries[0].Value))
		f.Call = func(context.Context, string, *wire.Call) (*wire.Reply, error) {
			stored := &wire.Stored{Rev: behind.Rev, Entries: wire.PackEntries(behind.Entries)}
			return &wire.Reply{Kind: &wire.Reply_Stored{Stored: stored}}, nil
		}
		again, err := f.Range(t.Context(), "p/", false)
		require.NoError(t, err)
		require.Equal(t, "new", string(again.Entries[0].Value))
	})
}
