package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/poison"
	"quetzalpier/wire"
)

const (
	// heartbeatInterval is the interval between two heartbeats of a node. Each is
	// sent to one peer.
	heartbeatInterval = time.Second
	// fullExchangeInterval is the interval between exchanges of the complete
	// member list.
	fullExchangeInterval = 40 * time.Second
	pingTimeout          = 800 * time.Millisecond
	callTimeout          = 5 * time.Second
	// indirectProbes is how many peers probe a member that did not respond.
	indirectProbes = 3
	// fanout is how many peers an update is sent to at once.
	fanout = 4
)

// Options configure a Node.
type Options struct {
	Board *board.Board
	// Listen is the address for other nodes.
	Listen     string
	Seeds      []string
	Seed       uint64
	Log        zerolog.Logger
	CountBytes ByteCounter
	// Handle serves the calls that are not part of the gossip protocol.
	Handle Handler
	// PlatformFailed reports whether the last call to the platform failed.
	PlatformFailed func() bool
}

// Node exchanges heartbeats and updates with the other nodes.
type Node struct {
	opts   Options
	conns  *conns
	rumors *rumors
	wake   chan struct{}
	mu     sync.Mutex
	rnd    *rand.Rand
	// round holds the neighbours that are still to be probed in this round.
	round []string
	// platformReports holds the last report of each peer by its id.
	platformReports  map[string]platformReport
	lastFullExchange time.Time
	workers          conc.WaitGroup
}

// platformReport is a peer's last report of whether it reaches the platform.
type platformReport struct {
	at             time.Time
	platformFailed bool
}

// New creates a node and listens for its peers.
func New(opts Options) (*Node, error) {
	n := &Node{
		opts: opts, rumors: newRumors(), wake: make(chan struct{}, 1),
		rnd: rand.New(rand.NewPCG(opts.Seed, ^opts.Seed)), platformReports: map[string]platformReport{},
	}
	conns, err := listen(opts.Listen, n.handle, nil, opts.CountBytes)
	if err != nil {
		return nil, err
	}
	n.conns = conns
	return n, nil
}

// Addr returns the address for other nodes.
func (n *Node) Addr() string { return n.conns.listener.Addr().String() }

// Run joins the fleet and exchanges heartbeats and updates until ctx ends.
func (n *Node) Run(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	n.Join(ctx)
	for {
		select {
		case <-ctx.Done():
			n.workers.Wait()
			return
		case <-n.wake:
			n.push(ctx)
		case <-tick.C:
			n.heartbeat(ctx)
		}
	}
}

// Close stops listening and closes all connections to peers.
func (n *Node) Close() { n.conns.close() }

// Join announces this node to the seeds and gets the member list from them.
func (n *Node) Join(ctx context.Context) {
	var calls conc.WaitGroup
	for _, seed := range n.opts.Seeds {
		calls.Go(func() { _ = n.exchangeGossip(ctx, seed, true) })
	}
	calls.Wait()
}

// Broadcast makes Run send the board's digest and the queued rumors to peers at
// once.
func (n *Node) Broadcast() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// BroadcastMember broadcasts the state of a member, such as this node's draining.
func (n *Node) BroadcastMember(id string) {
	n.queueRumor("m:" + id)
	n.Broadcast()
}

// BroadcastStrikes broadcasts strikes and returns once the first peers have been
// contacted.
func (n *Node) BroadcastStrikes(ctx context.Context, fingerprints []uint64) {
	for _, fingerprint := range fingerprints {
		n.queueRumor("s:" + strconv.FormatUint(fingerprint, 10))
	}
	n.push(ctx)
}

// BroadcastLeaving broadcasts that an upstream is leaving.
func (n *Node) BroadcastLeaving(id string) {
	n.queueRumor("l:" + id)
	n.Broadcast()
}

// Call makes a call to another node on the bulk lane.
func (n *Node) Call(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error) {
	return n.conns.call(ctx, addr, bulk, call)
}

func (n *Node) queueRumor(subject string) {
	members := 0
	n.opts.Board.Do(func(s *board.State) { members = len(s.Members) })
	n.rumors.add(subject, members)
}

// heartbeat probes the next peer and declares suspects failed that have not
// refuted the suspicion in time. A node without neighbours contacts the seeds
// again, so that it rejoins a fleet from which it was separated.
func (n *Node) heartbeat(ctx context.Context) {
	now := time.Now()
	n.conns.prune(now)
	var expired []string
	n.opts.Board.Do(func(s *board.State) { expired = Sweep(s, now) })
	for _, id := range expired {
		n.opts.Log.Warn().Str("member", id).Msg("member did not refute the suspicion in time; declared failed")
		n.queueRumor("m:" + id)
	}
	target, ok := n.nextPeer()
	if !ok {
		n.Join(ctx)
		return
	}
	full := n.fullExchangeDue(now)
	n.workers.Go(func() { n.probe(ctx, target, full) })
	if full {
		n.workers.Go(func() { n.contactFailedMember(ctx) })
	}
}

// contactFailedMember exchanges gossip with a random failed member, so that the
// two sides of a healed network partition merge again.
func (n *Node) contactFailedMember(ctx context.Context) {
	var failed []board.Member
	n.opts.Board.Do(func(s *board.State) {
		for _, m := range s.Members {
			if m.State == board.Failed {
				failed = append(failed, m)
			}
		}
	})
	if len(failed) == 0 {
		return
	}
	n.mu.Lock()
	m := failed[n.rnd.IntN(len(failed))]
	n.mu.Unlock()
	_ = n.exchangeGossip(ctx, m.Peer, true)
}

func (n *Node) fullExchangeDue(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.lastFullExchange) < fullExchangeInterval {
		return false
	}
	n.lastFullExchange = now.Add(time.Duration(n.rnd.Int64N(int64(heartbeatInterval))))
	return true
}

// nextPeer returns the next neighbour of the round. A round covers each neighbour
// once, in random order.
func (n *Node) nextPeer() (board.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for range 2 {
		for len(n.round) > 0 {
			id := n.round[0]
			n.round = n.round[1:]
			if m, ok := n.member(id); ok && !m.FailedOrLeft() {
				return m, true
			}
		}
		n.opts.Board.Do(func(s *board.State) { n.round = Neighbours(s) })
		n.rnd.Shuffle(len(n.round), func(i, j int) { n.round[i], n.round[j] = n.round[j], n.round[i] })
	}
	return board.Member{}, false
}

func (n *Node) member(id string) (m board.Member, ok bool) {
	n.opts.Board.Do(func(s *board.State) { m, ok = s.Members[id] })
	return m, ok
}

// probe exchanges gossip with a member. If neither this node nor the helpers of
// reachedByOthers get a response, the member becomes suspect.
func (n *Node) probe(ctx context.Context, target board.Member, full bool) {
	if n.exchangeGossip(ctx, target.Peer, full) == nil || ctx.Err() != nil {
		return
	}
	if n.reachedByOthers(ctx, target) || ctx.Err() != nil {
		return
	}
	suspected := false
	n.opts.Board.Do(func(s *board.State) { suspected = Suspect(s, target.ID, time.Now()) })
	if suspected {
		n.opts.Log.Warn().Str("member", target.ID).Msg("member did not respond; suspected")
		n.BroadcastMember(target.ID)
	}
}

// reachedByOthers reports whether one of a few random neighbours gets a response
// from the member.
func (n *Node) reachedByOthers(ctx context.Context, target board.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*pingTimeout)
	defer cancel()
	alive := make(chan bool, indirectProbes)
	helpers := n.randomNeighbours(indirectProbes, target.ID)
	var calls conc.WaitGroup
	for _, helper := range helpers {
		calls.Go(func() {
			reply, err := n.conns.call(ctx, helper.Peer, control, &wire.Call{Kind: &wire.Call_Probe{Probe: &wire.Probe{Peer: target.Peer}}})
			alive <- err == nil && reply.GetProbed().GetAlive()
		})
	}
	defer calls.Wait()
	for range helpers {
		if <-alive {
			cancel()
			return true
		}
	}
	return false
}

// randomNeighbours returns up to k random neighbours, excluding one member.
func (n *Node) randomNeighbours(k int, excluded string) []board.Member {
	var members []board.Member
	n.opts.Board.Do(func(s *board.State) {
		for _, id := range Neighbours(s) {
			if id != excluded {
				members = append(members, s.Members[id])
			}
		}
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rnd.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(k, len(members))]
}

// push exchanges gossip with a few random neighbours. A receiver that learns an
// update from it pushes it further.
func (n *Node) push(ctx context.Context) {
	var sends conc.WaitGroup
	for _, m := range n.randomNeighbours(fanout, "") {
		sends.Go(func() { _ = n.exchangeGossip(ctx, m.Peer, false) })
	}
	sends.Wait()
}

// exchangeGossip sends gossip to a peer and merges the gossip in its reply.
func (n *Node) exchangeGossip(ctx context.Context, addr string, full bool) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	call := &wire.Call{Kind: &wire.Call_Gossip{Gossip: n.buildGossip(full, time.Now())}}
	reply, err := n.conns.call(ctx, addr, control, call)
	if err != nil {
		return err
	}
	n.mergeGossip(addr, reply.GetGossip(), time.Now())
	return nil
}

func (n *Node) buildGossip(full bool, now time.Time) *wire.Gossip {
	g := &wire.Gossip{Full: full}
	subjects := n.rumors.nextBatch()
	platformFailed := n.opts.PlatformFailed()
	n.opts.Board.Do(func(s *board.State) {
		g.Self = toWire(s.Self)
		g.Digest = digest(s, platformFailed, now)
		if full {
			for _, m := range s.Members {
				g.Members = append(g.Members, toWire(m))
			}
		}
		for _, subject := range subjects {
			appendRumor(g, s, subject, full, now)
		}
	})
	return g
}

func digest(s *board.State, platformFailed bool, now time.Time) *wire.Digest {
	d := &wire.Digest{Config: s.Config.Number, Vms: s.VMs.Number, Known: !s.ConfirmedAt.IsZero(), Cut: platformFailed}
	if d.GetKnown() {
		d.Age = uint64(max(0, now.Sub(s.ConfirmedAt)).Milliseconds())
	}
	for pool, version := range s.TargetVersions {
		d.Targets = append(d.Targets, &wire.Target{Pool: pool, Version: uint64(version)})
	}
	return d
}

func appendRumor(g *wire.Gossip, s *board.State, subject string, full bool, now time.Time) {
	kind, name, _ := strings.Cut(subject, ":")
	switch kind {
	case "m":
		if m, ok := s.Members[name]; ok && !full {
			g.Members = append(g.Members, toWire(m))
		}
	case "s":
		fingerprint, _ := strconv.ParseUint(name, 10, 64)
		if strike, ok := s.Strikes[fingerprint]; ok {
			g.Strikes = append(g.Strikes, &wire.Strike{Print: fingerprint, Count: uint32(strike.Count), Age: uint64(max(0, now.Sub(strike.Last)).Milliseconds())})
		}
	case "l":
		g.Leaving = append(g.Leaving, name)
	}
}

// mergeGossip merges a peer's gossip into the board, broadcasts the updates in it,
// and fetches documents that are newer on the peer.
func (n *Node) mergeGossip(addr string, g *wire.Gossip, now time.Time) {
	if g == nil {
		return
	}
	var updates []string
	n.opts.Board.Update(func(s *board.State) { updates = applyGossip(s, g, now) })
	for _, subject := range updates {
		n.queueRumor(subject)
	}
	n.recordPlatformReport(g, now)
	changed := len(updates) > 0
	if n.fetchNewer(addr, g.GetDigest()) {
		changed = true
	}
	if changed {
		n.Broadcast()
	}
}

func applyGossip(s *board.State, g *wire.Gossip, now time.Time) []string {
	var updates []string
	members := append([]*wire.Member{g.GetSelf()}, g.GetMembers()...)
	for _, m := range members {
		if m.GetId() != "" && Merge(s, fromWire(m), now) {
			updates = append(updates, "m:"+m.GetId())
		}
	}
	for _, strike := range g.GetStrikes() {
		age := wire.Millis(strike.GetAge())
		if poison.MergeStrikes(s, strike.GetPrint(), int(strike.GetCount()), age, now) {
			updates = append(updates, "s:"+strconv.FormatUint(strike.GetPrint(), 10))
		}
	}
	for _, id := range g.GetLeaving() {
		if u := s.Upstreams[id]; u != nil && !u.Leaving() {
			s.MarkLeaving(id, now)
			updates = append(updates, "l:"+id)
		}
	}
	for _, target := range g.GetDigest().GetTargets() {
		if s.RaiseTarget(target.GetPool(), quetzalpier.Version(target.GetVersion())) {
			updates = append(updates, "t:"+target.GetPool())
		}
	}
	return updates
}

func (n *Node) recordPlatformReport(g *wire.Gossip, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.platformReports[g.GetSelf().GetId()] = platformReport{at: now, platformFailed: g.GetDigest().GetCut()}
}

// fetchNewer fetches the documents that have a higher number on the peer and adopts
// the peer's confirmation time of the configuration if it is later. It reports
// whether a document has changed.
func (n *Node) fetchNewer(addr string, d *wire.Digest) bool {
	var config, vms uint64
	n.opts.Board.Do(func(s *board.State) { config, vms = s.Config.Number, s.VMs.Number })
	fetched := false
	if d.GetConfig() > config {
		fetched = n.fetchConfig(addr)
	}
	if d.GetVms() > vms {
		fetched = n.fetchVMs(addr) || fetched
	}
	if d.GetKnown() {
		confirmed := time.Now().Add(-wire.Millis(d.GetAge()) - pingTimeout)
		n.opts.Board.Do(func(s *board.State) {
			if s.Config.Number >= d.GetConfig() && confirmed.After(s.ConfirmedAt) {
				s.ConfirmedAt = confirmed
			}
		})
	}
	return fetched
}

func (n *Node) fetchConfig(addr string) bool {
	var config quetzalpier.Config
	if err := n.fetch(addr, wire.Fetch_CONFIG, &config); err != nil {
		n.opts.Log.Warn().Err(err).Msg("failed to fetch configuration from peer")
		return false
	}
	changed := false
	n.opts.Board.Update(func(s *board.State) { changed = s.SetConfig(config) })
	return changed
}

func (n *Node) fetchVMs(addr string) bool {
	var list quetzalpier.VMList
	if err := n.fetch(addr, wire.Fetch_VMS, &list); err != nil {
		n.opts.Log.Warn().Err(err).Msg("failed to fetch VM list from peer")
		return false
	}
	changed := false
	n.opts.Board.Update(func(s *board.State) { changed = s.SetVMs(list, time.Now()) })
	return changed
}

func (n *Node) fetch(addr string, name wire.Fetch_Name, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := n.conns.call(ctx, addr, control, &wire.Call{Kind: &wire.Call_Fetch{Fetch: &wire.Fetch{Name: name}}})
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(reply.GetDocument().GetBody(), into), "decode document")
}
