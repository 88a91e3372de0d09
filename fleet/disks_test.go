package fleet

import (
	"context"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/keep"
	"quetzalpier/meter"
	"quetzalpier/mirror"
	"quetzalpier/platform"
	"quetzalpier/probe"
	"quetzalpier/runner"
	"quetzalpier/stand"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

// storeEntry returns the entry of a node with a disk; without an ID, that of an earlier build.
func storeEntry(node, disk string) quetzalpier.Entry {
	value := `{"peer":"127.0.0.1:7","domain":"d","roles":["store"]}`
	if disk != "" {
		value = strings.Replace(value, "{", `{"disk":"`+disk+`",`, 1)
	}
	return nodeEntry(node, value)
}

func diskEntry(disk, node string) quetzalpier.Entry {
	return quetzalpier.Entry{Key: vault.Disks + disk, Value: []byte(`{"node":"` + node + `"}`), Rev: 3}
}

func removed(key string) quetzalpier.Entry {
	return quetzalpier.Entry{Key: key, Rev: 4, Deleted: true}
}

// TestMissingDisks guards against nodes that miss no disk, since the entry of its node went before
// they started or while they were cut off, and against disks that are missed for no reason.
func TestMissingDisks(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	type list []quetzalpier.Entry
	for name, test := range map[string]struct {
		// first and second are lists of all entries, and changes are applied after each.
		first, second, changes list
		want                   []string
	}{
		"a node is listed":                                                      {first: list{diskEntry("x", "a"), storeEntry("a", "x")}},
		"an entry is removed":                                                   {first: list{diskEntry("x", "a"), storeEntry("a", "x")}, changes: list{removed(vault.Nodes + "a")}, want: []string{"x"}},
		"an entry went before the start":                                        {first: list{diskEntry("x", "a"), diskEntry("y", "b"), storeEntry("b", "y")}, want: []string{"x"}},
		"all entries went before the start":                                     {first: list{diskEntry("x", "a"), diskEntry("y", "b")}, want: []string{"x", "y"}},
		"an entry went while changes were lost":                                 {first: list{diskEntry("x", "a"), storeEntry("a", "x")}, second: list{diskEntry("x", "a")}, want: []string{"x"}},
		"a node left as planned":                                                {first: list{diskEntry("x", "a"), storeEntry("a", "x")}, changes: list{removed(vault.Nodes + "a"), removed(vault.Disks + "x")}},
		"a node left while changes were lost":                                   {first: list{diskEntry("x", "a"), storeEntry("a", "x"), storeEntry("b", "y")}, second: list{storeEntry("b", "y")}},
		"an entry comes back":                                                   {first: list{diskEntry("x", "a")}, changes: list{storeEntry("a", "x")}},
		"an entry comes back twice":                                             {first: list{diskEntry("x", "a")}, changes: list{storeEntry("a", "x"), storeEntry("a", "x")}},
		"a node comes back with an empty disk":                                  {first: list{diskEntry("x", "a")}, changes: list{diskEntry("y", "a"), storeEntry("a", "y")}, want: []string{"x"}},
		"a disk comes back with another node":                                   {first: list{diskEntry("x", "a")}, changes: list{diskEntry("x", "b"), storeEntry("b", "x")}},
		"a node comes back with an earlier build, which does not name its disk": {first: list{diskEntry("x", "a")}, changes: list{storeEntry("a", "")}},
		"an entry can't be decoded":                                             {first: list{diskEntry("x", "a"), storeEntry("a", "x")}, changes: list{nodeEntry("a", "{")}, want: []string{"x"}},
		"a record can't be decoded":                                             {first: list{{Key: vault.Disks + "x", Value: []byte("{"), Rev: 3}, storeEntry("a", "x")}, want: []string{"x"}},
		"a node of an earlier build, recorded when it was lost":                 {first: list{diskEntry("a", "a")}, want: []string{"a"}},
		"a node of an earlier build comes back":                                 {first: list{diskEntry("a", "a")}, changes: list{storeEntry("a", "")}},
		"a node of an earlier build was upgraded":                               {first: list{diskEntry("a", "a")}, changes: list{diskEntry("x", "a"), storeEntry("a", "x")}},
		"a node of an earlier build, without a record":                          {first: list{storeEntry("a", "")}, changes: list{removed(vault.Nodes + "a")}, want: []string{"node a"}},
		"a front is removed":                                                    {first: list{nodeEntry("f", `{"peer":"127.0.0.1:7","roles":["front"]}`)}, changes: list{removed(vault.Nodes + "f")}},
	} {
		t.Run(name, func(t *testing.T) {
			n := &Node{Board: board.New(board.Member{ID: "n"}), Meter: meter.New(), Log: zerolog.Nop(), nodes: &mirror.Mirror{}, nodesListed: make(chan struct{})}
			n.prober = &probe.Prober{Board: n.Board, Log: n.Log}
			n.applyMembers(test.first, true, now)
			if test.second != nil {
				n.applyMembers(test.second, true, now.Add(time.Second))
			}
			n.applyMembers(test.changes, false, now.Add(2*time.Second))
			var missing []string
			n.Board.Do(func(s *board.State) {
				for id, d := range s.Disks {
					if !d.MissingSince.IsZero() {
						missing = append(missing, id)
					}
				}
				for id := range s.MissingDisks {
					missing = append(missing, "node "+id)
				}
			})
			slices.Sort(missing)
			require.Equal(t, test.want, missing)
		})
	}
	t.Run("a list does not change since when a disk is missing", func(t *testing.T) {
		n := &Node{Board: board.New(board.Member{ID: "n"}), Meter: meter.New(), Log: zerolog.Nop(), nodes: &mirror.Mirror{}, nodesListed: make(chan struct{})}
		n.prober = &probe.Prober{Board: n.Board, Log: n.Log}
		for i := range 3 {
			n.applyMembers([]quetzalpier.Entry{diskEntry("x", "a")}, true, now.Add(time.Duration(i)*time.Minute))
		}
		n.Board.Do(func(s *board.State) { require.Equal(t, now, s.Disks["x"].MissingSince) })
	})
}

// TestObsoleteDisks guards against records that stay for ever when machines come and go.
func TestObsoleteDisks(t *testing.T) {
	now, retention := time.Unix(1_000_000, 0), time.Minute
	newState := func(self string) *board.State {
		s := &board.State{Self: board.Member{ID: self}, Members: map[string]board.Member{}, Disks: map[string]board.Disk{"x": {Node: "lost", MissingSince: now}}}
		for _, id := range []string{"a", "b", "c"} {
			s.Members[id] = board.Member{ID: id, Disk: "disk-" + id, Roles: []string{runner.ClassStore}}
			s.Disks["disk-"+id] = board.Disk{Node: id}
		}
		return s
	}
	ranked := hash.Owners(vault.Disks+"x", []string{"a", "b", "c"}, 3)
	for rank, id := range ranked {
		due := now.Add(retention + time.Duration(rank)*dropInterval)
		require.Empty(t, obsoleteDisks(newState(id), retention, due), "%s", id)
		require.Equal(t, []string{"x"}, obsoleteDisks(newState(id), retention, due.Add(1)), "%s", id)
	}
	require.Empty(t, obsoleteDisks(newState("front"), retention, now.Add(time.Hour)), "a node without a disk")
	s := newState("a")
	s.Disks["x"] = board.Disk{Node: "b"}
	require.Empty(t, obsoleteDisks(s, retention, now.Add(time.Hour)), "the disk is not missing")
	s.Disks = map[string]board.Disk{"a": {Node: "a"}, "b": {Node: "b"}}
	require.Equal(t, []string{"a"}, obsoleteDisks(s, retention, now), "the own record of an earlier build")
}

// listRecords returns the keys of all records of disks.
func listRecords(t *testing.T, kv *stand.KV) []string {
	t.Helper()
	found, err := kv.Range(t.Context(), vault.Disks, false)
	require.NoError(t, err)
	keys := map[string]bool{}
	for _, e := range found.Entries {
		keys[e.Key] = true
	}
	return slices.Sorted(maps.Keys(keys))
}

// keepTestJob has a node keep a copy of a job and returns its reply.
func keepTestJob(t *testing.T, n *Node) *wire.Reply {
	t.Helper()
	data, err := wire.EncodeJob(&quetzalpier.Job{ID: "j1", Model: "m", Pool: "lm", SubmittedAt: time.Now(), Tasks: []quetzalpier.Task{{ID: "t", Path: "/t"}}})
	require.NoError(t, err)
	return n.handleCall(t.Context(), &wire.Call{Kind: &wire.Call_Keep{Keep: &wire.Keep{Job: data, Copy: true}}})
}

// TestOwnDisk guards against jobs on a disk that has no record, and records of disks that hold no
// job.
func TestOwnDisk(t *testing.T) {
	t.Run("a node that leaves an empty disk removes its record", func(t *testing.T) {
		t.Parallel()
		n, kv, stop := openTestNode(t, "store")
		require.Equal(t, []string{vault.Disks + n.disk.id}, listRecords(t, kv))
		id, err := keep.ReadID(n.Settings.DataDir)
		require.NoError(t, err)
		require.Equal(t, n.disk.id, id)
		stop()
		require.Empty(t, listRecords(t, kv))
		id, err = keep.ReadID(n.Settings.DataDir)
		require.NoError(t, err)
		require.Empty(t, id, "a later process would keep jobs before its record is written")
	})
	t.Run("a node that leaves in an outage with a job on its disk is recorded", func(t *testing.T) {
		t.Parallel()
		n, kv, stop := openTestNode(t, "store")
		kv.SetFaults(stand.KVFaults{Unavailable: true})
		require.Eventually(t, n.kv.DirectFailed, 5*time.Second, 10*time.Millisecond)
		require.Empty(t, keepTestJob(t, n).GetFault())
		stop()
		kv.SetFaults(stand.KVFaults{})
		require.Equal(t, []string{vault.Disks + n.disk.id}, listRecords(t, kv))
		id, err := keep.ReadID(n.Settings.DataDir)
		require.NoError(t, err)
		require.Equal(t, n.disk.id, id)
	})
	t.Run("a node that is leaving keeps no further job", func(t *testing.T) {
		t.Parallel()
		n, _, stop := openTestNode(t, "store")
		stop()
		require.NotEmpty(t, keepTestJob(t, n).GetFault())
	})
	t.Run("a new disk takes no job before its record is written", func(t *testing.T) {
		t.Parallel()
		n, _, stop := openTestNode(t, "store")
		stop()
		kv, err := stand.NewKV("127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(kv.Close)
		kv.SetFaults(stand.KVFaults{Unavailable: true})
		settings := n.Settings
		settings.KV, settings.Peer, settings.Ready, settings.DataDir = kv.Addr, freeAddr(t), freeAddr(t), t.TempDir()
		next, err := New(settings, io.Discard)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); next.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		require.Never(t, func() bool { return keepTestJob(t, next).GetFault() == "" }, time.Second, 50*time.Millisecond)
		kv.SetFaults(stand.KVFaults{})
		require.Eventually(t, func() bool { return len(listRecords(t, kv)) == 1 && keepTestJob(t, next).GetFault() == "" }, 5*time.Second, 50*time.Millisecond)
	})
	// Guards against a node that reports that it is empty, and is removed with its disk, while it has
	// accepted another job.
	t.Run("a node that is to be retired keeps no further job", func(t *testing.T) {
		t.Parallel()
		n, kv, _ := openTestNode(t, "store")
		kv.SetFaults(stand.KVFaults{Unavailable: true})
		require.Eventually(t, n.kv.DirectFailed, 5*time.Second, 10*time.Millisecond)
		require.Empty(t, keepTestJob(t, n).GetFault())
		n.Board.Update(func(s *board.State) { s.Retiring["n"] = true })
		require.Eventually(t, func() bool { return keepTestJob(t, n).GetFault() != "" }, time.Second, 10*time.Millisecond)
		kv.SetFaults(stand.KVFaults{})
		require.Eventually(t, func() bool {
			status, err := kv.Get(t.Context(), platform.EncodeRetireStatus("n", true).Key)
			return err == nil && status.Rev > 0
		}, 5*time.Second, 10*time.Millisecond)
		require.Empty(t, listRecords(t, kv), "its disk would be missing once it is removed")
		stored, err := n.vault.Get(t.Context(), "j1")
		require.NoError(t, err)
		require.NotNil(t, stored)
		require.NotEmpty(t, keepTestJob(t, n).GetFault())
	})
	t.Run("the entry of an earlier build's node is removed with a record left", func(t *testing.T) {
		t.Parallel()
		n, kv, _ := openTestNode(t, "store")
		rev, err := kv.Commit(t.Context(), quetzalpier.Txn{Writes: []quetzalpier.Write{{Key: vault.Nodes + "old", Value: storeEntry("old", "").Value}}})
		require.NoError(t, err)
		member := board.Member{ID: "old", Rev: rev, Roles: []string{runner.ClassStore}}
		require.Eventually(t, func() (listed bool) {
			n.Board.Do(func(s *board.State) { listed = s.Members["old"].Rev == rev })
			return listed
		}, 5*time.Second, 10*time.Millisecond)
		n.evict(t.Context(), member)
		require.Equal(t, 2, len(listRecords(t, kv)))
		require.Contains(t, listRecords(t, kv), vault.Disks+"old")
	})
}

// FuzzDecodeDisk checks that the record of a disk that is accepted names its node.
func FuzzDecodeDisk(f *testing.F) {
	for _, value := range []string{`{"node":"a"}`, `{"node":""}`, `{}`, `null`, `[]`, "\xff", `{"node":7}`, `{"node":"` + strings.Repeat("a", 1<<12) + `"}`, strings.Repeat("[", 20_000)} {
		f.Add("x", []byte(value))
		f.Add("", []byte(value))
	}
	f.Fuzz(func(t *testing.T, id string, value []byte) {
		d, err := decodeDisk(id, value)
		if err != nil {
			require.Less(t, len(err.Error()), 1000)
			return
		}
		require.NotEmpty(t, id)
		require.NotEmpty(t, d.Node)
	})
}
