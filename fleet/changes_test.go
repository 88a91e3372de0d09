package fleet

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
)

// requireLines checks that a log has so many lines and contains the parts.
func requireLines(t *testing.T, log *bytes.Buffer, lines int, parts ...string) {
	t.Helper()
	require.Equal(t, lines, bytes.Count(log.Bytes(), []byte("\n")))
	for _, text := range parts {
		require.Contains(t, log.String(), text)
	}
}

// Load pattern: each of hundreds of nodes reads a list of a hundred upstreams when it
// starts.
func TestLogOfUpstreams(t *testing.T) {
	changes := upstreamChanges{}
	for i := range 118 {
		vm := quetzalpier.VM{ID: fmt.Sprint("u", i), Pool: "lm", State: quetzalpier.VMLive, Incarnation: 1}
		if i%2 == 0 {
			vm.Pool = "app"
		}
		changes.add(quetzalpier.VM{}, vm)
		changes.add(vm, vm)
	}
	restarted := quetzalpier.VM{ID: "r", Pool: "lm", State: quetzalpier.VMLive, Software: "v2", Incarnation: 3}
	changes.add(quetzalpier.VM{State: quetzalpier.VMLive, Software: "v1"}, restarted)
	t.Run("upstreams that changed alike share a line", func(t *testing.T) {
		var log bytes.Buffer
		changes.log(zerolog.New(&log), false)
		requireLines(t, &log, 3, `"count":59`, `"upstream":"r","born":3`, `"u117"`, `"before":"v1"`)
	})
	t.Run("a follower logs nothing at the info level", func(t *testing.T) {
		var log bytes.Buffer
		changes.log(zerolog.New(&log).Level(zerolog.InfoLevel), true)
		require.Empty(t, log.String())
	})
}

func TestLogOfMembers(t *testing.T) {
	before, after := map[string]board.Member{}, map[string]board.Member{}
	for i := range 50 {
		id := fmt.Sprint("n", i)
		before[id] = board.Member{ID: id}
		if i >= 20 {
			after[id] = board.Member{ID: id}
		}
	}
	after["new"] = board.Member{ID: "new"}
	var log bytes.Buffer
	logMemberChanges(zerolog.New(&log), before, after)
	requireLines(t, &log, 2, `"count":20`, `"member":"new"`)
}
