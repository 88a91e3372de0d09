package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/access"
	"quetzalpier/board"
	"quetzalpier/lease"
	"quetzalpier/mirror"
	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/vault"
)

const (
	registerInterval = 150 * time.Millisecond
	registerTimeout  = 1200 * time.Millisecond
	expiryInterval   = 200 * time.Millisecond
	// idleLeaseDelay is how long after its start a node may request an idle lease: by then
	// it knows whether it reads through others.
	idleLeaseDelay = time.Second
)

// memberEntry is the entry of a node in the key-value service.
type memberEntry struct {
	Peer   string   `json:"peer"`
	HTTP   string   `json:"http,omitempty"`
	Domain string   `json:"domain"`
	Region string   `json:"region,omitempty"`
	Roles  []string `json:"roles"`
	Leaves bool     `json:"leaves,omitempty"`
	// Evictions is how often other nodes removed the entry while the node ran.
	Evictions int `json:"evictions,omitempty"`
	// Disk is the ID of the node's disk; empty if it has none.
	Disk string `json:"disk,omitempty"`
}

// decodeMember decodes and validates the entry of a node.
func decodeMember(id string, data []byte) (memberEntry, error) {
	var m memberEntry
	switch err := quetzalpier.DecodeJSON(data, &m); {
	case err != nil:
		return m, err
	case id == "":
		return m, &quetzalpier.FieldError{Field: "id", Reason: "must not be empty"}
	case !isAddr(m.Peer):
		return m, &quetzalpier.FieldError{Field: "peer", Reason: "must be an IP address and port"}
	case m.HTTP != "" && !isAddr(m.HTTP):
		return m, &quetzalpier.FieldError{Field: "http", Reason: "must be an IP address and port"}
	case len(m.Domain) > quetzalpier.MaxNameBytes || len(m.Region) > quetzalpier.MaxNameBytes:
		return m, &quetzalpier.FieldError{Field: "domain", Reason: fmt.Sprintf("must have at most %d bytes, as the region", quetzalpier.MaxNameBytes)}
	case len(m.Disk) > maxDiskIDBytes:
		return m, &quetzalpier.FieldError{Field: "disk", Reason: fmt.Sprintf("must have at most %d bytes", maxDiskIDBytes)}
	}
	return m, nil
}

// isAddr reports whether the text is an address as the settings of a node may have it.
func isAddr(text string) bool {
	host, port, err := net.SplitHostPort(text)
	number, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && number > 0 && net.ParseIP(host) != nil
}

// register writes the node's entry when it changes or was removed, and keeps the node's
// lease. The entry has no lease: it stays until the node removes it at its stop, or others
// do because the node does not answer them.
func (n *Node) register(ctx context.Context) {
	var written registration
	for ctx.Err() == nil {
		if err := n.keepLease(ctx, time.Now()); err != nil {
			n.Log.Debug().Err(err).Msg("node could not renew its lease")
		}
		var self board.Member
		listed := false
		n.Board.Do(func(s *board.State) {
			self = s.Self
			_, listed = s.Members[self.ID]
		})
		next := registration{state: self.State, evictions: written.evictions}
		evicted := written.removed(listed, n.nodes.State())
		if evicted {
			next.evictions++
		}
		if written.rev == 0 || !next.same(written) {
			self.Evictions = next.evictions
			rev, err := n.writeEntry(ctx, self)
			if err != nil {
				n.Log.Debug().Err(err).Msg("node could not write its entry")
			} else {
				written = next
				written.rev = rev
				n.entryRev.Store(rev)
				n.registeredOnce.Do(func() { close(n.registered) })
				if evicted {
					n.Log.Warn().Int("evictions", next.evictions).Msg("entry of this node was removed; wrote it again")
				}
			}
		}
		sleep.For(ctx, registerInterval)
	}
}

// registration is what a node has written to the key-value service about itself, and
// the revision of that write.
type registration struct {
	state     board.MemberState
	evictions int
	rev       uint64
}

// same reports whether the other registration needs no write of its own.
func (r registration) same(other registration) bool {
	r.rev, other.rev = 0, 0
	return r == other
}

// removed reports whether the registration is gone although it was written: the list
// of nodes covers its revision and does not have it.
func (r registration) removed(listed bool, nodes mirror.State) bool {
	return r.rev > 0 && !listed && !nodes.Failing && nodes.Rev >= r.rev
}

// keepLease renews the lease of the pools that the node owns. A node that waits for answers
// of the key-value service keeps an idle lease, whose renewals show that it answers.
func (n *Node) keepLease(ctx context.Context, now time.Time) error {
	if !n.ownsPool() && !n.awaitsService(now) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var lost *quetzalpier.LeaseLostError
	if err := n.lease.RenewIfDue(ctx, now); err != nil && !errors.As(err, &lost) {
		return err
	}
	_, err := n.lease.GrantIdle(ctx, now)
	return err
}

// awaitsService reports whether long watches of this node wait at the key-value service.
func (n *Node) awaitsService(now time.Time) bool {
	return now.Sub(n.startedAt) > idleLeaseDelay && (n.owners != nil || len(n.configLeaders()) == 0)
}

func (n *Node) writeEntry(ctx context.Context, self board.Member) (rev uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	value, err := json.Marshal(memberEntry{
		Peer: self.Peer, HTTP: self.HTTP, Domain: self.Domain, Region: self.Region, Roles: self.Roles,
		Leaves: self.State != board.Alive, Evictions: self.Evictions, Disk: self.Disk,
	})
	if err != nil {
		return 0, errors.Wrap(err, "encode the node's entry")
	}
	n.disk.mu.Lock()
	defer n.disk.mu.Unlock()
	txn := quetzalpier.Txn{Writes: []quetzalpier.Write{{Key: vault.Nodes + self.ID, Value: value}}}
	if err := n.addRecord(&txn); err != nil {
		return 0, err
	}
	return n.kv.Commit(ctx, txn)
}

// unregister removes the node's entry before the deadline, unless a later process of the
// node wrote it again. A lease that is left expires.
func (n *Node) unregister(deadline time.Time) {
	rev := n.entryRev.Load()
	if rev == 0 {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), sleep.Earlier(deadline, time.Now().Add(registerTimeout)))
	defer cancel()
	key := vault.Nodes + n.Settings.Name
	err := n.releaseDisk(ctx, quetzalpier.Txn{Expect: map[string]uint64{key: rev}, Deletes: []string{key}})
	var changed *quetzalpier.RevisionError
	switch {
	case errors.As(err, &changed):
		n.Log.Info().Err(err).Msg("entry of this node was removed or written by another process")
	case err != nil:
		n.Log.Warn().Err(err).Msg("entry of this node could not be removed; the nodes that it no longer answers will remove it")
	}
}

// applyNodesAndOwners applies changes of nodes and of owners.
func (n *Node) applyNodesAndOwners(changed []quetzalpier.Entry, full bool, now time.Time) {
	n.applyMembers(changed, full, now)
	n.applyOwners(changed, full, now)
}

func (n *Node) applyMembers(changed []quetzalpier.Entry, full bool, now time.Time) {
	if recovered := n.nodes.State().RecoveredAt; !recovered.IsZero() && now.Sub(recovered) < n.Settings.SettleTime.D() {
		n.distrust(changed, now)
	}
	n.Board.Update(func(s *board.State) {
		before := maps.Clone(s.Members)
		if full {
			clear(s.Members)
			dropUnlisted(s.Disks, changed)
		}
		for _, e := range changed {
			if id, ok := strings.CutPrefix(e.Key, vault.Nodes); ok {
				n.setMember(s, id, e, now)
			}
			if id, ok := strings.CutPrefix(e.Key, vault.Disks); ok {
				n.setDisk(s, id, e)
			}
		}
		for id, m := range s.Members {
			if old, known := before[id]; known && old.Rev == m.Rev {
				m.Since = old.Since
				s.Members[id] = m
			}
		}
		n.recordMembers(before, s.Members)
		n.recordDisks(s, before, now)
	})
	n.prober.Refresh(now)
	n.listedOnce.Do(func() { close(n.nodesListed) })
}

// distrust marks listed nodes that this node did not know as unreachable, since they may
// have been lost in an outage; the prober clears the mark of each that answers.
func (n *Node) distrust(entries []quetzalpier.Entry, now time.Time) {
	var ids []string
	for _, e := range entries {
		if id, ok := strings.CutPrefix(e.Key, vault.Nodes); ok && !e.Deleted {
			ids = append(ids, id)
		}
	}
	unknown := n.prober.Unknown(ids)
	if len(unknown) == 0 {
		return
	}
	n.Board.Update(func(s *board.State) {
		for _, id := range unknown {
			if _, listed := s.Members[id]; !listed && id != s.Self.ID {
				s.Unreachable[id] = now
			}
		}
	})
}

// recordMembers logs and counts the nodes that were listed, changed their state or
// are no longer listed. The first list is logged as a whole.
func (n *Node) recordMembers(before, after map[string]board.Member) {
	if len(before) == 0 {
		n.Log.Info().Int("members", len(after)).Msg("first list of nodes read")
	}
	logMemberChanges(n.Log, before, after)
	counts := map[board.MemberState]int{board.Alive: 0, board.Draining: 0}
	for _, m := range after {
		counts[m.State]++
	}
	for state, count := range counts {
		n.Meter.Members.WithLabelValues(state.String()).Set(float64(count))
	}
}

func (n *Node) applyOwners(changed []quetzalpier.Entry, full bool, _ time.Time) {
	n.Board.Update(func(s *board.State) {
		if full {
			clear(s.Owners)
		}
		for _, e := range changed {
			if pool, ok := strings.CutPrefix(e.Key, vault.Owners); ok {
				n.setOwner(s, pool, e)
			}
		}
	})
}

func (n *Node) setMember(s *board.State, id string, e quetzalpier.Entry, now time.Time) {
	if e.Deleted {
		delete(s.Members, id)
		return
	}
	m, err := decodeMember(id, e.Value)
	if err != nil {
		n.Log.Error().Str("key", e.Key).Err(err).Msg("entry of a node could not be decoded")
		// A node whose entry is missing writes it again.
		delete(s.Members, id)
		return
	}
	state := board.Alive
	if m.Leaves {
		state = board.Draining
	}
	s.Members[id] = board.Member{
		ID: id, Peer: m.Peer, HTTP: m.HTTP, Domain: m.Domain, Region: m.Region, Roles: m.Roles, State: state, Since: now,
		Rev: e.Rev, Evictions: m.Evictions, Disk: m.Disk,
	}
}

func (n *Node) setOwner(s *board.State, pool string, e quetzalpier.Entry) {
	owner := board.Owner{Node: lease.Owner(e.Value), Fence: e.Rev}
	if e.Deleted {
		delete(s.Owners, pool)
		owner.Node = ""
	} else {
		s.Owners[pool] = owner
	}
	n.Log.Info().Str("pool", pool).Str("owner", owner.Node).Uint64("fence", owner.Fence).Msg("owner of a pool changed")
}

// applyControlEntries applies the entries that operators and trainers write.
func (n *Node) applyControlEntries(changed []quetzalpier.Entry, _ bool, now time.Time) {
	for _, e := range changed {
		if e.Deleted {
			continue
		}
		entry, err := platform.DecodeUpdate(e)
		if err != nil {
			n.Log.Error().Str("key", e.Key).Uint64("rev", e.Rev).Err(err).Msg("entry of an operator or trainer could not be decoded")
			continue
		}
		var index *access.Index
		if entry.Config != nil {
			index = access.NewIndex(entry.Config)
		}
		n.Board.Update(func(s *board.State) { n.setControlEntry(s, entry, index, now) })
	}
}

// setControlEntry applies an entry. index is that of the customers of a configuration.
func (n *Node) setControlEntry(s *board.State, entry platform.Update, index *access.Index, now time.Time) {
	switch {
	case entry.Config != nil:
		if s.ApplyConfig(*entry.Config, index, now) {
			s.ConfirmedAt = now
			n.Meter.ConfigNumber.Set(float64(entry.Config.Number))
			n.Log.Info().Uint64("config", entry.Config.Number).Int("routes", len(entry.Config.Routes)).Int("customers", len(entry.Config.Customers)).Msg("configuration applied")
		}
	case entry.Model != "":
		if s.RaiseTarget(entry.Model, entry.Version) {
			n.Log.Info().Str("model", entry.Model).Uint64("version", uint64(entry.Version)).Msg("weight version published")
		}
	case entry.RetireNode != "":
		s.Retiring[entry.RetireNode] = true
		n.Log.Info().Str("retired", entry.RetireNode).Dur("over_ms", entry.DrainWithin).Msg("a node is to be retired")
	}
}
