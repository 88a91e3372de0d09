package fleet

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/access"
	"quetzalpier/board"
	"quetzalpier/meter"
	"quetzalpier/mirror"
	"quetzalpier/platform"
	"quetzalpier/relay"
)

const settlePeriod = 2 * time.Second

// heartbeat returns an upstream's entry as a heartbeat writes it.
func heartbeat(id, state, count string) quetzalpier.Entry {
	value := `{"service":"lm","addr":"127.0.0.1:1","zone":"a","state":"` + state + `","slots":6,"born":1,"beat":` + count + `}`
	return quetzalpier.Entry{Key: platform.PrefixWorkers + id, Value: []byte(value)}
}

func deletedEntry(id string) quetzalpier.Entry {
	return quetzalpier.Entry{Key: platform.PrefixWorkers + id, Deleted: true}
}

func TestUpstreams(t *testing.T) {
	start := time.Now()
	healthy := mirror.State{LastContact: start}
	// newList returns a list of the upstreams a and b.
	newList := func() *upstreamList {
		v := &upstreamList{board: board.New(board.Member{ID: "n"}), settlePeriod: settlePeriod, log: zerolog.Nop()}
		v.apply([]quetzalpier.Entry{heartbeat("a", "ready", "1"), heartbeat("b", "ready", "1")}, true, healthy, start)
		return v
	}
	// usable returns the upstreams that may receive requests.
	usable := func(v *upstreamList, now time.Time) []string {
		v.mu.Lock()
		v.publish(now)
		v.mu.Unlock()
		var ids []string
		v.board.Do(func(s *board.State) {
			for _, id := range slices.Sorted(maps.Keys(s.Upstreams)) {
				if !s.Upstreams[id].Leaving() && s.Upstreams[id].VM.State == quetzalpier.VMLive {
					ids = append(ids, id)
				}
			}
		})
		return ids
	}
	t.Run("an entry deleted while the service works is dropped immediately", func(t *testing.T) {
		v := newList()
		v.apply([]quetzalpier.Entry{deletedEntry("a")}, false, healthy, start.Add(time.Second))
		require.Equal(t, []string{"b"}, usable(v, start.Add(time.Second)))
	})
	t.Run("an entry that expired in an outage is kept until the settle time ends", func(t *testing.T) {
		v := newList()
		back := start.Add(10 * time.Second)
		recovered := mirror.State{LastContact: back, RecoveredAt: back}
		v.apply([]quetzalpier.Entry{heartbeat("b", "ready", "2")}, true, recovered, back)
		require.Equal(t, []string{"a", "b"}, usable(v, back.Add(settlePeriod-time.Millisecond)))
		require.Equal(t, []string{"b"}, usable(v, back.Add(settlePeriod)))
	})
	t.Run("an entry that is written again in time is kept", func(t *testing.T) {
		v := newList()
		back := start.Add(10 * time.Second)
		recovered := mirror.State{LastContact: back, RecoveredAt: back}
		v.apply([]quetzalpier.Entry{heartbeat("b", "ready", "2")}, true, recovered, back)
		v.apply([]quetzalpier.Entry{heartbeat("a", "ready", "2")}, false, recovered, back.Add(time.Second))
		require.Equal(t, []string{"a", "b"}, usable(v, back.Add(2*settlePeriod)))
	})
	t.Run("a draining upstream gets no requests, also in an outage", func(t *testing.T) {
		v := newList()
		v.apply([]quetzalpier.Entry{heartbeat("a", "draining", "2")}, false, mirror.State{Failing: true}, start.Add(time.Second))
		require.Equal(t, []string{"b"}, usable(v, start.Add(time.Second)))
	})
	t.Run("an invalid entry removes its upstream and affects no other", func(t *testing.T) {
		valid := string(heartbeat("a", "ready", "2").Value)
		for _, value := range []string{
			"{", `{"slots":"six"}`, `{"service":"lm"}`, string(heartbeat("a", "unheard of", "2").Value),
			strings.Replace(valid, `"slots":6`, `"slots":4000000000`, 1), strings.Replace(valid, "127.0.0.1:1", "127.0.0.1:0", 1), strings.Repeat("[", 100_000),
		} {
			v := newList()
			bad := func(id string) quetzalpier.Entry {
				return quetzalpier.Entry{Key: platform.PrefixWorkers + id, Value: []byte(value)}
			}
			v.apply([]quetzalpier.Entry{bad("c"), bad("a")}, false, healthy, start.Add(time.Second))
			require.Equal(t, []string{"b"}, usable(v, start.Add(time.Second)), value)
			v.apply([]quetzalpier.Entry{heartbeat("a", "ready", "3")}, false, healthy, start.Add(2*time.Second))
			require.Equal(t, []string{"a", "b"}, usable(v, start.Add(2*time.Second)), value)
			v.apply([]quetzalpier.Entry{bad("a"), heartbeat("b", "ready", "3")}, true, mirror.State{RecoveredAt: start.Add(3 * time.Second)}, start.Add(3*time.Second))
			require.Equal(t, []string{"b"}, usable(v, start.Add(3*time.Second)), value)
			v.apply([]quetzalpier.Entry{heartbeat("a", "ready", "4")}, false, healthy, start.Add(4*time.Second))
			v.apply([]quetzalpier.Entry{bad("a")}, false, mirror.State{Failing: true}, start.Add(5*time.Second))
			require.Equal(t, []string{"b"}, usable(v, start.Add(5*time.Second)), value)
		}
	})
	t.Run("a heartbeat is equivalent, a new state or a restart is not", func(t *testing.T) {
		before := heartbeat("a", "ready", "1")
		require.True(t, sameVM(before, heartbeat("a", "ready", "2")))
		require.False(t, sameVM(before, heartbeat("a", "draining", "1")))
		restarted := before
		restarted.Value = []byte(`{"service":"lm","addr":"127.0.0.1:1","zone":"a","state":"ready","slots":6,"born":2}`)
		require.False(t, sameVM(before, restarted))
		require.False(t, sameVM(quetzalpier.Entry{Value: []byte("{")}, quetzalpier.Entry{Value: []byte("{")}))
	})
}

// Guards against a node that says that a job does not exist before it has read which nodes may have
// the job on their disks, as when the answer of its first read is lost.
func TestUnstableBeforeTheNodesAreListed(t *testing.T) {
	now := time.Now()
	list := quetzalpier.Changes{Rev: 1, Entries: []quetzalpier.Entry{storeEntry("a", "x")}}
	n := &Node{kv: &relay.KV{}, startedAt: now.Add(-time.Minute), nodes: &mirror.Mirror{Apply: func([]quetzalpier.Entry, bool, time.Time) {}}}
	require.False(t, n.kvStable(now), "nothing is read yet")
	require.True(t, n.nodes.Seed(list, now))
	require.False(t, n.kvStable(now), "only the view of another node is known")
	ctx, cancel := context.WithCancel(t.Context())
	n.nodes.KV = listOnce{list, cancel}
	n.nodes.Run(ctx)
	require.True(t, n.kvStable(now.Add(time.Minute)))
}

// listOnce is a source of one list. It calls done at the first watch.
type listOnce struct {
	list quetzalpier.Changes
	done func()
}

func (l listOnce) Range(context.Context, string, bool) (quetzalpier.Changes, error) {
	return l.list, nil
}

func (l listOnce) WatchPrefix(context.Context, string, uint64, time.Duration) (quetzalpier.Changes, error) {
	l.done()
	return quetzalpier.Changes{Rev: l.list.Rev}, nil
}

// TestConfigWithCustomers guards against a configuration that can't be read replacing the
// last good one, or being dropped silently.
func TestConfigWithCustomers(t *testing.T) {
	var lines bytes.Buffer
	n := &Node{Board: board.New(board.Member{ID: "n"}), Meter: meter.New(), Log: zerolog.New(&lines)}
	apply := func(tenants string, number int) {
		value := fmt.Sprintf(`{"version":%d,"tenants":%s}`, number, tenants)
		n.applyControlEntries([]quetzalpier.Entry{{Key: platform.KeyConfig, Value: []byte(value), Rev: uint64(number)}}, false, time.Now())
	}
	requireCustomer := func(key, name string) {
		t.Helper()
		n.Board.Do(func(s *board.State) {
			customer, err := s.Access.Check(access.Credentials{Key: []byte(key)}, nil, access.Freshness{})
			require.Equal(t, name == "", err != nil)
			if name != "" {
				require.Equal(t, name, customer.Name)
			}
		})
	}
	apply(`[{"name":"alpha","apiKeys":["k1"]}]`, 1)
	requireCustomer("k1", "alpha")
	apply(`[{"name":"alpha","apiKeys":["k2"]}]`, 2)
	requireCustomer("k1", "")
	requireCustomer("k2", "alpha")
	for i, invalid := range []string{`[{"name":"alpha","apiKeys":[3]}]`, `[{"name":"a","apiKeys":["k3"]},{"name":"b","apiKeys":["k3"]}]`, `{`} {
		lines.Reset()
		apply(invalid, 3+i)
		requireCustomer("k2", "alpha")
		require.Contains(t, lines.String(), "could not be decoded")
	}
}
