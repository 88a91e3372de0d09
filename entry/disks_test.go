package entry_test

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"quetzalpier/board"
	"quetzalpier/entry"
	"quetzalpier/platform"
	"quetzalpier/runner"
	"quetzalpier/wire"
)

// requireJob requires the status of a read of a job's results, and returns its retry delay.
func (r *testEntry) requireJob(t *testing.T, want int) time.Duration {
	t.Helper()
	resp, text, err := r.send(t, http.MethodGet, platform.PathJobs+"j2", "", nil)
	require.NoError(t, err)
	require.Equal(t, want, resp.StatusCode, text)
	after, err := strconv.ParseFloat(cmp.Or(resp.Header.Get("Retry-After"), "0"), 64)
	require.NoError(t, err)
	return time.Duration(after * float64(time.Second))
}

// Guards against a node with a disk that says that a job does not exist which is on its own disk,
// as when it is to store the end of the job.
func TestJobOnOwnDisk(t *testing.T) {
	r := newTestEntry(t)
	r.setConfig()
	r.board.Update(func(s *board.State) {
		s.Members[s.Self.ID] = board.Member{ID: s.Self.ID, Peer: "self:1", Roles: []string{runner.ClassStore}}
	})
	r.entry.Call = func(_ context.Context, peer string, call *wire.Call) (*wire.Reply, error) {
		kept := call.GetKept() != nil && peer == "self:1"
		return &wire.Reply{Kind: &wire.Reply_Kept{Kept: &wire.Kept{Present: kept}}}, nil
	}
	r.requireJob(t, http.StatusServiceUnavailable)
}

// TestJobThatMayBeOnADisk guards against 404 for a job that may be on a disk which this node, and
// those that it asks, don't see, and against 503 where that is not possible.
func TestJobThatMayBeOnADisk(t *testing.T) {
	const (
		absent = iota
		present
		silent
		otherDisk
	)
	named := func(id string) board.Member {
		return board.Member{ID: id, Peer: id, Disk: "disk-" + id, Roles: []string{runner.ClassStore}}
	}
	unnamed := func(id string) board.Member {
		return board.Member{ID: id, Peer: id, Roles: []string{runner.ClassStore}}
	}
	missing := func(nodes ...string) map[string]board.Disk {
		disks := map[string]board.Disk{}
		for _, node := range nodes {
			disks["disk-"+node] = board.Disk{Node: node, MissingSince: time.Now()}
		}
		return disks
	}
	for name, test := range map[string]struct {
		nodes    []board.Member
		answers  map[string]int
		disks    map[string]board.Disk
		departed []string
		losses   int
		want     int
	}{
		"no node has a disk":                                      {losses: 1, want: http.StatusNotFound},
		"no disk has it":                                          {nodes: []board.Member{named("a"), named("b")}, losses: 1, want: http.StatusNotFound},
		"no disk has it, and none may be lost":                    {nodes: []board.Member{named("a"), named("b")}, want: http.StatusNotFound},
		"a disk has it":                                           {nodes: []board.Member{named("a"), named("b")}, answers: map[string]int{"b": present}, losses: 1, want: http.StatusServiceUnavailable},
		"all disks are missing":                                   {disks: missing("a", "b", "c"), losses: 1, want: http.StatusServiceUnavailable},
		"the only disk is missing":                                {disks: missing("a"), want: http.StatusServiceUnavailable},
		"as many are missing as may be lost":                      {nodes: []board.Member{named("b"), named("c")}, disks: missing("a"), losses: 1, want: http.StatusNotFound},
		"as many are missing as may be lost, and a disk has it":   {nodes: []board.Member{named("b"), named("c")}, answers: map[string]int{"c": present}, disks: missing("a"), losses: 1, want: http.StatusServiceUnavailable},
		"more are missing than may be lost":                       {nodes: []board.Member{named("c")}, disks: missing("a", "b"), losses: 1, want: http.StatusServiceUnavailable},
		"one is missing, and one node does not answer":            {nodes: []board.Member{named("b"), named("c")}, answers: map[string]int{"b": silent}, disks: missing("a"), losses: 1, want: http.StatusServiceUnavailable},
		"one node does not answer":                                {nodes: []board.Member{named("a"), named("b")}, answers: map[string]int{"a": silent}, losses: 1, want: http.StatusNotFound},
		"one node does not answer, and none may be lost":          {nodes: []board.Member{named("a"), named("b")}, answers: map[string]int{"a": silent}, want: http.StatusServiceUnavailable},
		"one is missing, and one node has an empty one since":     {nodes: []board.Member{named("b"), named("c")}, answers: map[string]int{"b": otherDisk}, disks: missing("a"), losses: 1, want: http.StatusServiceUnavailable},
		"one node has an empty disk, and none may be lost":        {nodes: []board.Member{named("b")}, answers: map[string]int{"b": otherDisk}, want: http.StatusServiceUnavailable},
		"one is missing, and an earlier build names no disk":      {nodes: []board.Member{named("b"), unnamed("c")}, answers: map[string]int{"c": otherDisk}, disks: missing("a"), losses: 1, want: http.StatusServiceUnavailable},
		"all nodes run an earlier build":                          {nodes: []board.Member{unnamed("b"), unnamed("c")}, answers: map[string]int{"b": otherDisk, "c": otherDisk}, losses: 1, want: http.StatusNotFound},
		"a node of an earlier build, recorded by others, is gone": {nodes: []board.Member{named("b")}, disks: map[string]board.Disk{"a": {Node: "a", MissingSince: time.Now()}}, losses: 1, want: http.StatusServiceUnavailable},
		"a node of an earlier build is gone":                      {nodes: []board.Member{named("b")}, departed: []string{"a"}, losses: 1, want: http.StatusServiceUnavailable},
		"a record can't be decoded":                               {nodes: []board.Member{named("b")}, disks: map[string]board.Disk{"x": {MissingSince: time.Now()}}, losses: 1, want: http.StatusServiceUnavailable},
		"the missing ones are back":                               {nodes: []board.Member{named("a"), named("b")}, disks: map[string]board.Disk{"disk-a": {Node: "a"}, "disk-b": {Node: "b"}}, want: http.StatusNotFound},
		"all have been missing for longer than jobs are kept":     {disks: map[string]board.Disk{"disk-a": {Node: "a", MissingSince: time.Now().Add(-2 * time.Minute)}}, want: http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestEntry(t, func(o *entry.Options) { o.MaxLostDisks = test.losses })
			r.setConfig()
			r.board.Update(func(s *board.State) {
				for _, m := range test.nodes {
					s.Members[m.ID] = m
				}
				for id, d := range test.disks {
					s.Disks[id] = d
				}
				for _, id := range test.departed {
					s.MissingDisks[id] = time.Now()
				}
			})
			r.entry.Call = func(_ context.Context, peer string, _ *wire.Call) (*wire.Reply, error) {
				kept := &wire.Kept{Disk: "disk-" + peer, Present: test.answers[peer] == present}
				switch test.answers[peer] {
				case silent:
					return nil, errors.New("no answer")
				case otherDisk:
					kept.Disk = ""
				}
				return &wire.Reply{Kind: &wire.Reply_Kept{Kept: kept}}, nil
			}
			after := r.requireJob(t, test.want)
			switch {
			case test.want == http.StatusNotFound:
				require.Zero(t, after)
			case slices.Contains(slices.Collect(maps.Values(test.answers)), present):
				require.Less(t, after, time.Second, "the job is stored within moments")
			default:
				require.GreaterOrEqual(t, after, time.Second, "a VM takes seconds to come back")
			}
		})
	}
}
