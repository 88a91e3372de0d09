package fleet

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/logcap"
	"quetzalpier/meter"
	"quetzalpier/mirror"
	"quetzalpier/probe"
	"quetzalpier/sleep"
	"quetzalpier/vault"
)

func nodeEntry(id, value string) quetzalpier.Entry {
	return quetzalpier.Entry{Key: vault.Nodes + id, Value: []byte(value), Rev: 3}
}

// Guards against the entry of a node that another writer replaced: nodes that knew the node
// used its earlier entry for ever, those that started later never found it, and the node
// itself, still listed, did not write its entry again.
func TestOddEntryOfANodeIsMissing(t *testing.T) {
	const valid = `{"peer":"127.0.0.1:7","http":"127.0.0.1:8","domain":"d","roles":["store"]}`
	for name, odd := range map[string]string{
		"no JSON": "\xff", "nested": strings.Repeat("[", 100_000), "empty": `{}`, "null": "null", "no address": strings.Replace(valid, "127.0.0.1:7", "there", 1),
		"port out of range": strings.Replace(valid, ":7", ":70000", 1), "port zero for clients": strings.Replace(valid, ":8", ":0", 1),
		"a huge address": strings.Replace(valid, "127.0.0.1:8", strings.Repeat("1", 1<<20)+":8", 1), "a huge domain": strings.Replace(valid, `"d"`, `"`+strings.Repeat("d", 1<<20)+`"`, 1),
		"too large a number": strings.Replace(valid, `"roles"`, `"evictions":1e400,"roles"`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			n := &Node{Board: board.New(board.Member{ID: "a"}), Meter: meter.New(), Log: zerolog.Nop(), nodes: &mirror.Mirror{}, nodesListed: make(chan struct{})}
			n.prober = &probe.Prober{Board: n.Board, Log: n.Log}
			members := func() (ids []string) {
				n.Board.Do(func(s *board.State) { ids = slices.Sorted(maps.Keys(s.Members)) })
				return ids
			}
			n.applyMembers([]quetzalpier.Entry{nodeEntry("a", valid), nodeEntry("b", valid), nodeEntry("", valid)}, true, time.Now())
			require.Equal(t, []string{"a", "b"}, members())
			n.applyMembers([]quetzalpier.Entry{nodeEntry("a", odd), nodeEntry("c", odd)}, false, time.Now())
			require.Equal(t, []string{"b"}, members())
			n.applyMembers([]quetzalpier.Entry{nodeEntry("a", valid)}, false, time.Now())
			require.Equal(t, []string{"a", "b"}, members())
		})
	}
}

// Guards against log lines of megabytes, and many of them, when another writer leaves 10,000
// entries, good ones or odd ones in their place.
func TestManyOddEntriesAreLoggedInFewLines(t *testing.T) {
	var lines bytes.Buffer
	log := zerolog.New(&lines).Hook(&logcap.Limiter{})
	v := &upstreamList{board: board.New(board.Member{ID: "n"}), log: log}
	var good, odd []quetzalpier.Entry
	for i := range 10_000 {
		e := heartbeat(fmt.Sprint(strings.Repeat("i", 180), i), "ready", "1")
		good = append(good, e)
		e.Value = []byte(strings.Repeat("x", 1000))
		odd = append(odd, e)
	}
	now := time.Now()
	for _, entries := range [][]quetzalpier.Entry{odd, good, odd} {
		lines.Reset()
		began := time.Now()
		v.apply(entries, true, mirror.State{}, now)
		// Each further period that the machine takes allows as many lines again.
		bursts := 1 + int(time.Since(began)/logcap.Period)
		require.Less(t, lines.Len(), 200<<10)
		require.LessOrEqual(t, bytes.Count(lines.Bytes(), []byte("\n")), bursts*logcap.Burst+2)
	}
	v.board.Do(func(s *board.State) { require.Empty(t, s.Upstreams) })
}

// FuzzDecodeMember checks that the entry of a node that is accepted has what others need to
// reach the node.
func FuzzDecodeMember(f *testing.F) {
	for _, value := range []string{
		`{"peer":"127.0.0.1:7","http":"127.0.0.1:8","domain":"d","region":"r","roles":["store"],"leaves":true,"evictions":3}`, `{"peer":"127.0.0.1:0"}`, `{"peer":"::1"}`, `{"peer":"[::1]:7","http":"h:1"}`,
		`{"peer":"127.0.0.1:7","evictions":-9223372036854775808}`, `{"peer":"127.0.0.1:7","evictions":1e300}`, `{"peer":"127.0.0.1:7","peer":7}`, `null`, `[]`, "\xff", strings.Repeat("[", 20_000),
	} {
		f.Add("a", []byte(value))
		f.Add("", []byte(value))
	}
	f.Fuzz(func(t *testing.T, id string, value []byte) {
		m, err := decodeMember(id, value)
		if err != nil {
			require.Less(t, len(err.Error()), 1000)
			return
		}
		require.NotEmpty(t, id)
		_, port, err := net.SplitHostPort(m.Peer)
		require.NoError(t, err)
		require.NotEqual(t, "0", port)
		require.LessOrEqual(t, sleep.Backoff(m.Evictions, minEvictionPause, maxEvictionPause, 0), maxEvictionPause)
	})
}
