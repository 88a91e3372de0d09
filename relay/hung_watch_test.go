package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/relay"
	"quetzalpier/stand"
	"quetzalpier/wire"
)

// hungKV is a service that refuses a node and leaves the watch open that it began before.
type hungKV struct{ *faultyKV }

func (hungKV) WatchPrefix(ctx context.Context, _ string, _ uint64, wait time.Duration) (quetzalpier.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	<-ctx.Done()
	return quetzalpier.Changes{}, errNoAnswer
}

// A node that the service refused, and one of whose helpers was paused, learned the end of a
// job later than the three seconds in which it has to stop the tasks (incident UNASKED).
func TestWatchLeftOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := hungKV{&faultyKV{MemoryKV: stand.NewMemoryKV()}}
		var calls atomic.Int32
		kv := &relay.KV{
			Direct: direct, Peers: func() []string { return []string{"a", "b", "c"} }, Reset: func() {}, Log: zerolog.Nop(),
			Call: func(ctx context.Context, _ string, _ *wire.Call) (*wire.Reply, error) {
				if calls.Add(1) == 1 {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				ended := []quetzalpier.Entry{{Key: "in/end/j", Value: []byte("ended"), Rev: 2}}
				return &wire.Reply{Kind: &wire.Reply_Stored{Stored: &wire.Stored{Entries: wire.PackEntries(ended), Rev: 2}}}, nil
			},
		}
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() {
			direct.setFault(errRefused, false)
			_, _ = kv.Get(t.Context(), "sys/x")
			calls.Store(0)
		})
		for time.Since(began) < 10*time.Second {
			found, err := kv.WatchPrefix(t.Context(), "in/end/", 1, 2*time.Second)
			if err == nil && len(found.Entries) > 0 {
				break
			}
		}
		require.Less(t, time.Since(began), 3*time.Second)
	})
}

// Guards against watches of other nodes that wait at a node which the service refuses, and
// against a reset of all connections for each refused call.
func TestServedWatchLeftOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := hungKV{&faultyKV{MemoryKV: stand.NewMemoryKV()}}
		kv := &relay.KV{
			Direct: direct, Peers: func() []string { return nil }, Log: zerolog.Nop(),
			Reset: func() { require.Fail(t, "connections were reset") },
		}
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() {
			direct.setFault(errRefused, false)
			_, _ = kv.Get(t.Context(), "sys/x")
		})
		stored := kv.Serve(t.Context(), &wire.Store{Follow: &wire.Follow{Prefix: "in/end/", Wait: 2000}})
		require.Equal(t, wire.Failure_REFUSED, stored.GetFailure().GetKind(), "the other node asks a third one")
		require.Equal(t, 100*time.Millisecond, time.Since(began))
	})
}
