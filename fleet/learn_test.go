package fleet

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/mirror"
	"quetzalpier/platform"
)

const settle = 2 * time.Second

// beat is an upstream's entry, as a heartbeat writes it.
func beat(id, state, count string) quetzalpier.Entry {
	value := `{"service":"lm","addr":"127.0.0.1:1","zone":"a","state":"` + state + `","slots":6,"born":1,"beat":` + count + `}`
	return quetzalpier.Entry{Key: platform.PrefixWorkers + id, Value: []byte(value)}
}

func gone(id string) quetzalpier.Entry {
	return quetzalpier.Entry{Key: platform.PrefixWorkers + id, Deleted: true}
}

func TestUpstreams(t *testing.T) {
	start := time.Now()
	well := mirror.State{LastContact: start}
	// list returns a list of the upstreams a and b.
	list := func() *vms {
		v := &vms{board: board.New(board.Member{ID: "n"}), settle: settle, log: zerolog.Nop()}
		v.apply([]quetzalpier.Entry{beat("a", "ready", "1"), beat("b", "ready", "1")}, true, well, start)
		return v
	}
	// usable returns the upstreams that may get work.
	usable := func(v *vms, now time.Time) []string {
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
	t.Run("an entry that goes while the store is well is gone at once", func(t *testing.T) {
		v := list()
		v.apply([]quetzalpier.Entry{gone("a")}, false, well, start.Add(time.Second))
		require.Equal(t, []string{"b"}, usable(v, start.Add(time.Second)))
	})
	t.Run("one that lapsed in an outage counts until it had the time to come back", func(t *testing.T) {
		v := list()
		back := start.Add(10 * time.Second)
		returned := mirror.State{LastContact: back, RecoveredAt: back}
		v.apply([]quetzalpier.Entry{beat("b", "ready", "2")}, true, returned, back)
		require.Equal(t, []string{"a", "b"}, usable(v, back.Add(settle-time.Millisecond)))
		require.Equal(t, []string{"b"}, usable(v, back.Add(settle)))
	})
	t.Run("one that comes back in time stays", func(t *testing.T) {
		v := list()
		back := start.Add(10 * time.Second)
		returned := mirror.State{LastContact: back, RecoveredAt: back}
		v.apply([]quetzalpier.Entry{beat("b", "ready", "2")}, true, returned, back)
		v.apply([]quetzalpier.Entry{beat("a", "ready", "2")}, false, returned, back.Add(time.Second))
		require.Equal(t, []string{"a", "b"}, usable(v, back.Add(2*settle)))
	})
	t.Run("one that says it leaves gets no work, also in an outage", func(t *testing.T) {
		v := list()
		v.apply([]quetzalpier.Entry{beat("a", "draining", "2")}, false, mirror.State{Failing: true}, start.Add(time.Second))
		require.Equal(t, []string{"b"}, usable(v, start.Add(time.Second)))
	})
	t.Run("an entry that can't be read names no upstream and harms no other", func(t *testing.T) {
		for _, value := range []string{"{", `{"slots":"six"}`, `{"service":"lm"}`, string(beat("a", "unheard of", "2").Value)} {
			v := list()
			bad := func(id string) quetzalpier.Entry {
				return quetzalpier.Entry{Key: platform.PrefixWorkers + id, Value: []byte(value)}
			}
			v.apply([]quetzalpier.Entry{bad("c"), bad("a")}, false, well, start.Add(time.Second))
			require.Equal(t, []string{"b"}, usable(v, start.Add(time.Second)), value)
			v.apply([]quetzalpier.Entry{beat("a", "ready", "3")}, false, well, start.Add(2*time.Second))
			require.Equal(t, []string{"a", "b"}, usable(v, start.Add(2*time.Second)), value)
			v.apply([]quetzalpier.Entry{bad("a"), beat("b", "ready", "3")}, true, mirror.State{RecoveredAt: start.Add(3 * time.Second)}, start.Add(3*time.Second))
			require.Equal(t, []string{"b"}, usable(v, start.Add(3*time.Second)), value)
		}
	})
	t.Run("a heartbeat says the same, a state or a new life does not", func(t *testing.T) {
		before := beat("a", "ready", "1")
		require.True(t, sameVM(before, beat("a", "ready", "2")))
		require.False(t, sameVM(before, beat("a", "draining", "1")))
		reborn := before
		reborn.Value = []byte(`{"service":"lm","addr":"127.0.0.1:1","zone":"a","state":"ready","slots":6,"born":2}`)
		require.False(t, sameVM(before, reborn))
		require.False(t, sameVM(quetzalpier.Entry{Value: []byte("{")}, quetzalpier.Entry{Value: []byte("{")}))
	})
}
