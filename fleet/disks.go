package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/keep"
	"quetzalpier/runner"
	"quetzalpier/sleep"
	"quetzalpier/vault"
)

const (
	// maxDiskIDBytes limits the ID of a disk, which is the node's if the node does not name
	// its disk.
	maxDiskIDBytes = quetzalpier.MaxNameBytes
	// dropInterval is the time that a node leaves those that precede it to remove the record
	// of a lost disk.
	dropInterval = time.Second
)

// diskRecord is the record of a disk in the key-value service. It is written with the entry of
// its node, and not removed with it by others: a job may be on the disk of a node that is gone.
type diskRecord struct {
	Node string `json:"node"`
}

// decodeDisk decodes and validates the record of a disk.
func decodeDisk(id string, data []byte) (diskRecord, error) {
	var d diskRecord
	switch err := quetzalpier.DecodeJSON(data, &d); {
	case err != nil:
		return d, err
	case id == "" || len(id) > maxDiskIDBytes:
		return d, &quetzalpier.FieldError{Field: "id", Reason: fmt.Sprintf("must have 1 to %d bytes", maxDiskIDBytes)}
	case d.Node == "" || len(d.Node) > quetzalpier.MaxNameBytes:
		return d, &quetzalpier.FieldError{Field: "node", Reason: fmt.Sprintf("must have 1 to %d bytes", quetzalpier.MaxNameBytes)}
	}
	return d, nil
}

// writeDisk returns the write of the record of a disk.
func writeDisk(id, node string) (quetzalpier.Write, error) {
	value, err := json.Marshal(diskRecord{Node: node})
	return quetzalpier.Write{Key: vault.Disks + id, Value: value}, errors.Wrap(err, "encode the record of a disk")
}

// ownDisk is the disk of this node; id is empty if it has none or its ID can't be read. The disk
// takes jobs only while it has a record. Its ID is saved on it for as long, so that a process
// that starts while the key-value service is unavailable knows whether there is one.
type ownDisk struct {
	id string

	// mu serializes the writes of the record and its removal.
	mu sync.Mutex
	// recorded is set once the record was written, by this process or an earlier one.
	recorded bool
	// closing is set once the disk takes no further jobs since the node is leaving, and
	// released once the record is or may be removed.
	closing  bool
	released bool
}

// openDisk reads the ID of the disk, or chooses one for a new disk, which takes no jobs yet.
func (n *Node) openDisk() {
	if n.keeper == nil {
		return
	}
	id, err := keep.ReadID(n.Settings.DataDir)
	var invalid *quetzalpier.FieldError
	if err != nil {
		n.Log.Error().Err(err).Msg("ID of the disk could not be read")
	}
	if err != nil && !errors.As(err, &invalid) {
		n.keeper.Close()
		return
	}
	n.disk.recorded = id != ""
	if id == "" {
		n.keeper.Close()
		id = keep.NewID()
	}
	n.disk.id = id
	n.Board.Do(func(s *board.State) { s.Self.Disk = id })
}

// watchDisks opens this node's disk for jobs once its record is written, and removes the records
// of other disks that hold no job, until ctx ends.
func (n *Node) watchDisks(ctx context.Context) {
	if n.disk.id == "" {
		return
	}
	select {
	case <-n.registered:
	case <-ctx.Done():
		return
	}
	for ok := true; ok; ok = sleep.For(ctx, dropInterval) {
		n.acceptJobs()
		if !n.kv.DirectFailed() {
			n.dropDisks(ctx, time.Now())
		}
	}
}

// addRecord adds the record of this node's disk to the writes of the node's entry; the caller
// holds disk.mu.
func (n *Node) addRecord(txn *quetzalpier.Txn) error {
	if n.disk.id == "" || n.disk.released {
		return nil
	}
	write, err := writeDisk(n.disk.id, n.Settings.Name)
	if err == nil {
		txn.Writes = append(txn.Writes, write)
	}
	return err
}

// acceptJobs opens the disk for jobs once its record is written.
func (n *Node) acceptJobs() {
	n.disk.mu.Lock()
	defer n.disk.mu.Unlock()
	if n.disk.recorded || n.disk.closing {
		return
	}
	if err := keep.SaveID(n.Settings.DataDir, n.disk.id); err != nil {
		n.Log.Warn().Err(err).Msg("node can't keep jobs on its disk")
		return
	}
	n.disk.recorded = true
	n.keeper.Open()
}

// closeDisk makes this node refuse further jobs for its disk.
func (n *Node) closeDisk() {
	n.disk.mu.Lock()
	defer n.disk.mu.Unlock()
	n.disk.closing = true
	if n.keeper != nil {
		n.keeper.Close()
	}
}

// releaseDisk commits a transaction that also removes the record of this node's disk if
// nothing is left on it. The node accepts no job for its disk any more.
func (n *Node) releaseDisk(ctx context.Context, txn quetzalpier.Txn) error {
	n.disk.mu.Lock()
	defer n.disk.mu.Unlock()
	if n.disk.id == "" || !n.emptyDisk(ctx) {
		_, err := n.kv.Commit(ctx, txn)
		return err
	}
	if err := keep.RemoveID(n.Settings.DataDir); err != nil {
		n.Log.Warn().Err(err).Msg("disk of this node stays recorded")
		_, err := n.kv.Commit(ctx, txn)
		return err
	}
	n.disk.released = true
	txn.Deletes = append(slices.Clip(txn.Deletes), vault.Disks+n.disk.id)
	_, err := n.kv.Commit(ctx, txn)
	var unknown *quetzalpier.OutcomeUnknownError
	if err != nil && !errors.As(err, &unknown) {
		// The record is still there, also for the next process.
		n.disk.released = false
		if err := keep.SaveID(n.Settings.DataDir, n.disk.id); err != nil {
			n.Log.Warn().Err(err).Msg("the next process will not know the ID of this node's disk")
		}
	}
	return err
}

// emptyDisk closes this node's disk for jobs, and reports whether all that were on it are in
// the key-value service; the caller holds disk.mu.
func (n *Node) emptyDisk(ctx context.Context) bool {
	n.disk.closing = true
	n.keeper.Close()
	return !n.kv.DirectFailed() && n.keeper.SubmitAll(ctx, time.Now())
}

// setDisk applies the record of a disk.
func (n *Node) setDisk(s *board.State, id string, e quetzalpier.Entry) {
	if e.Deleted {
		delete(s.Disks, id)
		return
	}
	record, err := decodeDisk(id, e.Value)
	if err != nil {
		// Without a node, the disk is missing until the record is dropped.
		n.Log.Error().Str("key", e.Key).Err(err).Msg("record of a disk could not be decoded")
	}
	s.Disks[id] = board.Disk{Node: record.Node, Rev: e.Rev, MissingSince: s.Disks[id].MissingSince}
}

// dropUnlisted drops the disks that a list of all entries does not have.
func dropUnlisted(disks map[string]board.Disk, listed []quetzalpier.Entry) {
	found := map[string]bool{}
	for _, e := range listed {
		found[e.Key] = true
	}
	maps.DeleteFunc(disks, func(id string, _ board.Disk) bool { return !found[vault.Disks+id] })
}

// recordDisks records which disks are missing, after the nodes and disks have changed.
func (n *Node) recordDisks(s *board.State, before map[string]board.Member, now time.Time) {
	for id, d := range s.Disks {
		switch _, present := diskHolder(s, id, d); {
		case present && !d.MissingSince.IsZero():
			n.Log.Info().Str("disk", id).Str("member", d.Node).Dur("missing_ms", now.Sub(d.MissingSince)).Msg("disk that may hold jobs is back")
			d.MissingSince = time.Time{}
		case !present && d.MissingSince.IsZero():
			n.Log.Warn().Str("disk", id).Str("member", d.Node).Msg("disk that may hold jobs is missing")
			d.MissingSince = now
		}
		s.Disks[id] = d
	}
	for id, m := range before {
		if _, listed := s.Members[id]; !listed && m.Disk == "" && m.HasRole(runner.ClassStore) {
			s.MissingDisks[id] = now
		}
	}
	for id := range s.Members {
		delete(s.MissingDisks, id)
	}
}

// diskHolder returns the listed node that has a recorded disk. Builds that don't name their disk
// have the one that is recorded for them.
func diskHolder(s *board.State, id string, d board.Disk) (board.Member, bool) {
	m, listed := s.Members[d.Node]
	return m, listed && (m.Disk == id || m.Disk == "" || id == d.Node)
}

// obsoleteDisks returns the disks whose records this node is to remove: those that have been
// missing for the retention time, and the one that others recorded under the name of this node
// when it ran a build that did not name its disk.
func obsoleteDisks(s *board.State, retention time.Duration, now time.Time) (ids []string) {
	var nodes []string
	for id, m := range s.Members {
		if m.Disk != "" && s.Answers(m) {
			nodes = append(nodes, id)
		}
	}
	for id, d := range s.Disks {
		m, present := diskHolder(s, id, d)
		rank := slices.Index(hash.Owners(vault.Disks+id, nodes, len(nodes)), s.Self.ID)
		switch {
		case rank < 0:
		case present && id == s.Self.ID && m.Disk != "":
			ids = append(ids, id)
		case !present && !d.MissingSince.IsZero() && now.Sub(d.MissingSince) > retention+time.Duration(rank)*dropInterval:
			ids = append(ids, id)
		}
	}
	return ids
}

// dropDisks removes the records of disks that hold no job that is still needed.
func (n *Node) dropDisks(ctx context.Context, now time.Time) {
	revs := map[string]uint64{}
	n.Board.Do(func(s *board.State) {
		for _, id := range obsoleteDisks(s, n.Settings.Retention.D(), now) {
			revs[id] = s.Disks[id].Rev
		}
	})
	for id, rev := range revs {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		err := n.kv.Delete(callCtx, vault.Disks+id, rev)
		cancel()
		if err != nil {
			n.Log.Info().Str("disk", id).Err(err).Msg("record of a disk that holds no job could not be removed")
			continue
		}
		n.Log.Info().Str("disk", id).Msg("removed the record of a disk that holds no job")
	}
}
