package relay_test

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/relay"
	"quetzalpier/stand"
	"quetzalpier/wire"
)

// way is one node's direct way to a service, which can be disturbed.
type way struct {
	*stand.Memory
	mu  sync.Mutex
	err error
	// late makes calls take effect before they fail.
	late  bool
	calls int
	// cuts is how many watches are cut while the service is well.
	cuts int
}

func (w *way) set(err error, late bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err, w.late = err, late
}

func (w *way) fault() (late bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	return w.late, w.err
}

func (w *way) Get(ctx context.Context, key string) (quetzalpier.Entry, error) {
	if _, err := w.fault(); err != nil {
		return quetzalpier.Entry{}, err
	}
	return w.Memory.Get(ctx, key)
}

func (w *way) Commit(ctx context.Context, txn quetzalpier.Txn) (uint64, error) {
	late, err := w.fault()
	if err != nil && !late {
		return 0, err
	}
	rev, done := w.Memory.Commit(ctx, txn)
	if err != nil {
		return 0, err
	}
	return rev, done
}

func (w *way) Renew(ctx context.Context, lease string) error {
	if _, err := w.fault(); err != nil {
		return err
	}
	return w.Memory.Renew(ctx, lease)
}

// Follow fails once for each watch that is to be cut.
func (w *way) Follow(ctx context.Context, prefix string, rev uint64, wait time.Duration) (quetzalpier.Changes, error) {
	w.mu.Lock()
	cut := w.cuts > 0
	w.cuts = max(0, w.cuts-1)
	w.mu.Unlock()
	if cut {
		return quetzalpier.Changes{}, silence
	}
	return w.Memory.Follow(ctx, prefix, rev, wait)
}

func (w *way) Range(ctx context.Context, prefix string, stale bool) (quetzalpier.Changes, error) {
	if _, err := w.fault(); err != nil {
		return quetzalpier.Changes{}, err
	}
	return w.Memory.Range(ctx, prefix, stale)
}

var (
	refusal = &quetzalpier.RefusedError{Call: "call", Reason: "busy"}
	silence = &quetzalpier.UnsureError{Call: "call", Reason: "no answer"}
)

// pair returns two nodes that relay for each other.
func pair(service *stand.Memory) (a, b *relay.KV, wayA, wayB *way) {
	wayA, wayB = &way{Memory: service}, &way{Memory: service}
	b = &relay.KV{Direct: wayB, Peers: func() []string { return nil }, Reset: func() {}, Log: zerolog.Nop()}
	a = &relay.KV{
		Direct: wayA, Peers: func() []string { return []string{"b"} }, Reset: func() {}, Log: zerolog.Nop(),
		Call: func(ctx context.Context, _ string, call *wire.Call) (*wire.Reply, error) {
			return &wire.Reply{Kind: &wire.Reply_Stored{Stored: b.Serve(ctx, call.GetStore())}}, nil
		},
	}
	return a, b, wayA, wayB
}

func requireRefused(t *testing.T, err error) {
	t.Helper()
	var refused *quetzalpier.RefusedError
	require.True(t, errors.As(err, &refused), "got %v", err)
}

func requireUnsure(t *testing.T, err error) {
	t.Helper()
	var unsure *quetzalpier.UnsureError
	require.True(t, errors.As(err, &unsure), "got %v", err)
}

func TestRelay(t *testing.T) {
	t.Run("a node that is turned away is served by another", func(t *testing.T) {
		service := stand.NewMemory()
		a, _, wayA, _ := pair(service)
		wayA.set(refusal, false)
		rev, err := a.Swap(t.Context(), "k", []byte("v"), 0, "")
		require.NoError(t, err)
		entry, err := a.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, quetzalpier.Entry{Key: "k", Value: []byte("v"), Rev: rev}, entry)
		require.True(t, a.Failed())
	})
	t.Run("errors keep their kind on the way", func(t *testing.T) {
		service := stand.NewMemory()
		a, _, wayA, _ := pair(service)
		wayA.set(refusal, false)
		rev, err := a.Swap(t.Context(), "k", nil, 0, "")
		require.NoError(t, err)
		_, err = a.Swap(t.Context(), "k", nil, 0, "")
		var swap *quetzalpier.SwapError
		require.True(t, errors.As(err, &swap))
		require.Equal(t, quetzalpier.SwapError{Key: "k", Rev: rev}, *swap)
		var lost *quetzalpier.LostError
		require.True(t, errors.As(a.Renew(t.Context(), "7"), &lost))
	})
	t.Run("a write that may have happened is not repeated", func(t *testing.T) {
		service := stand.NewMemory()
		a, _, wayA, wayB := pair(service)
		wayA.set(silence, true)
		_, err := a.Swap(t.Context(), "k", []byte("v"), 0, "")
		requireUnsure(t, err)
		require.Zero(t, wayB.calls)
		entry, err := a.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, "v", string(entry.Value))
	})
	t.Run("a renewal without an answer is made through another node", func(t *testing.T) {
		service := stand.NewMemory()
		a, _, wayA, _ := pair(service)
		lease, err := a.Grant(t.Context(), time.Minute)
		require.NoError(t, err)
		wayA.set(silence, false)
		require.NoError(t, a.Renew(t.Context(), lease))
	})
	t.Run("out for all is refused for certain", func(t *testing.T) {
		service := stand.NewMemory()
		a, b, wayA, wayB := pair(service)
		wayA.set(refusal, false)
		wayB.set(refusal, false)
		_, err := b.Get(t.Context(), "k")
		requireRefused(t, err)
		_, err = a.Swap(t.Context(), "k", nil, 0, "")
		requireRefused(t, err)
	})
	t.Run("what another node can't tell is not certain", func(t *testing.T) {
		service := stand.NewMemory()
		a, _, wayA, wayB := pair(service)
		wayA.set(refusal, false)
		wayB.set(silence, true)
		_, err := a.Swap(t.Context(), "k", nil, 0, "")
		requireUnsure(t, err)
	})
	t.Run("a node that is gone is passed over", func(t *testing.T) {
		service := stand.NewMemory()
		a, _, wayA, _ := pair(service)
		wayA.set(refusal, false)
		relayed := a.Call
		a.Peers = func() []string { return []string{"gone", "b"} }
		a.Call = func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error) {
			if addr == "gone" {
				return nil, errors.Wrap(syscall.ECONNREFUSED, "dial peer")
			}
			return relayed(ctx, addr, call)
		}
		for range 10 {
			_, err := a.Get(t.Context(), "k")
			require.NoError(t, err)
		}
	})
	t.Run("the direct way is used again once it works", func(t *testing.T) {
		service := stand.NewMemory()
		a, _, wayA, wayB := pair(service)
		wayA.set(refusal, false)
		_, err := a.Get(t.Context(), "k")
		require.NoError(t, err)
		wayA.set(nil, false)
		ctx, cancel := context.WithCancel(t.Context())
		var running conc.WaitGroup
		running.Go(func() { a.Run(ctx) })
		defer running.Wait()
		defer cancel()
		require.Eventually(t, func() bool { return !a.Failed() }, 10*time.Second, time.Millisecond)
		before := wayB.calls
		_, err = a.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, before, wayB.calls)
		require.False(t, a.Steady(time.Hour, time.Now()))
	})
	t.Run("a watch that is cut does not count as an outage", func(t *testing.T) {
		service := stand.NewMemory()
		a, _, wayA, wayB := pair(service)
		_, err := a.Swap(t.Context(), "k/1", nil, 0, "")
		require.NoError(t, err)
		wayA.cuts = 1
		_, err = a.Follow(t.Context(), "k/", 0, time.Second)
		var gone *quetzalpier.GoneError
		require.True(t, errors.As(err, &gone), "what the watch did not tell must be read")
		require.False(t, a.Failed())
		require.Zero(t, wayB.calls)
		wayA.set(silence, false)
		found, err := a.Range(t.Context(), "k/", false)
		require.NoError(t, err)
		require.Len(t, found.Entries, 1)
		require.True(t, a.Failed(), "a read that fails is an outage")
	})
	t.Run("a call that its caller gave up tells nothing of the service", func(t *testing.T) {
		service := stand.NewMemory()
		a, _, _, _ := pair(service)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		a.Direct.(*way).set(silence, false)
		_, err := a.Get(ctx, "k")
		require.Error(t, err)
		require.False(t, a.Failed())
	})
	t.Run("a silent node is passed over where the call may be repeated, and one that helped is asked again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			service := stand.NewMemory()
			a, _, wayA, _ := pair(service)
			lease, err := a.Grant(t.Context(), time.Minute)
			require.NoError(t, err)
			wayA.set(refusal, false)
			relayed := a.Call
			a.Peers = func() []string { return []string{"silent", "b"} }
			asked := 0
			a.Call = func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error) {
				if addr == "silent" {
					asked++
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return relayed(ctx, addr, call)
			}
			for range 20 {
				start := time.Now()
				require.NoError(t, a.Renew(t.Context(), lease))
				require.Less(t, time.Since(start), 900*time.Millisecond)
			}
			require.LessOrEqual(t, asked, 1)
		})
	})
	t.Run("whether a name was taken is asked for soon", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a, _, _, _ := pair(stand.NewMemory())
			a.Direct = stuck{stand.NewMemory()}
			a.Peers = func() []string { return nil }
			start := time.Now()
			_, err := a.Swap(t.Context(), "name", nil, 0, "lease")
			requireUnsure(t, err)
			require.Equal(t, 500*time.Millisecond, time.Since(start))
			require.True(t, a.Failed())
		})
	})
}

// stuck is a service that takes writes and never answers.
type stuck struct{ *stand.Memory }

func (stuck) Commit(ctx context.Context, _ quetzalpier.Txn) (uint64, error) {
	<-ctx.Done()
	return 0, silence
}
