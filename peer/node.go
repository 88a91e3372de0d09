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
	// period is the time between two heartbeats of a node, to one peer each.
	period = time.Second
	// fullEvery is the time between exchanges of the whole member list.
	fullEvery   = 40 * time.Second
	pingTimeout = 800 * time.Millisecond
	callTimeout = 5 * time.Second
	// indirect is how many peers are asked to reach one that did not answer.
	indirect = 3
	// fanout is how many peers hear of news at once.
	fanout = 4
)

// Options configure a Node.
type Options struct {
	Board *board.Board
	// Listen is the address for other nodes.
	Listen string
	Seeds  []string
	Seed   uint64
	Log    zerolog.Logger
	Count  Count
	// Handle answers the calls that are not the node's own.
	Handle Handler
	// Cut tells whether the last call to the platform failed.
	Cut func() bool
}

// Node exchanges heartbeats and news with the other nodes.
type Node struct {
	opts   Options
	conns  *conns
	news   *rumors
	wake   chan struct{}
	mu     sync.Mutex
	rnd    *rand.Rand
	round  []string
	heard  map[string]hearing
	fullAt time.Time
	pushes conc.WaitGroup
}

// hearing is what a peer said last of its link to the platform.
type hearing struct {
	at  time.Time
	cut bool
}

// New opens the node's address for its peers.
func New(opts Options) (*Node, error) {
	n := &Node{
		opts: opts, news: newRumors(), wake: make(chan struct{}, 1),
		rnd: rand.New(rand.NewPCG(opts.Seed, ^opts.Seed)), heard: map[string]hearing{},
	}
	conns, err := listen(opts.Listen, n.handle, opts.Count)
	if err != nil {
		return nil, err
	}
	n.conns = conns
	return n, nil
}

// Addr is the address for other nodes.
func (n *Node) Addr() string { return n.conns.listener.Addr().String() }

// Run exchanges heartbeats until ctx ends.
func (n *Node) Run(ctx context.Context) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	n.Join(ctx)
	for {
		select {
		case <-ctx.Done():
			n.pushes.Wait()
			return
		case <-n.wake:
			n.push(ctx)
		case <-tick.C:
			n.beat(ctx)
		}
	}
}

// Close cuts the node off from its peers.
func (n *Node) Close() { n.conns.close() }

// Join tells the seeds of this node and learns the members from them.
func (n *Node) Join(ctx context.Context) {
	var asks conc.WaitGroup
	for _, seed := range n.opts.Seeds {
		asks.Go(func() { _ = n.exchange(ctx, seed, true) })
	}
	asks.Wait()
}

// Tell passes news on at once: the board holds something that peers lack.
func (n *Node) Tell() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// TellMember passes on the state of a member, as this node's own draining.
func (n *Node) TellMember(id string) {
	n.rumor("m:" + id)
	n.Tell()
}

// TellStrikes passes strikes on, and returns once the first peers have them.
func (n *Node) TellStrikes(ctx context.Context, prints []uint64) {
	for _, fingerprint := range prints {
		n.rumor("s:" + strconv.FormatUint(fingerprint, 10))
	}
	n.push(ctx)
}

// TellLeaving passes on that an upstream leaves.
func (n *Node) TellLeaving(id string) {
	n.rumor("l:" + id)
	n.Tell()
}

// Call makes a call to another node over the lane for bulk traffic.
func (n *Node) Call(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error) {
	return n.conns.call(ctx, addr, bulk, call)
}

func (n *Node) rumor(subject string) {
	members := 0
	n.opts.Board.Do(func(s *board.State) { members = len(s.Members) })
	n.news.add(subject, members)
}

// beat sends one heartbeat, finds out whether its receiver is alive, and puts
// out those that have not refuted in time.
func (n *Node) beat(ctx context.Context) {
	now := time.Now()
	n.conns.prune(now)
	var out []string
	n.opts.Board.Do(func(s *board.State) { out = Sweep(s, now) })
	for _, id := range out {
		n.opts.Log.Warn().Str("member", id).Msg("member is out")
		n.rumor("m:" + id)
	}
	target, ok := n.next()
	if !ok {
		n.Join(ctx)
		return
	}
	full := n.isFull(now)
	n.pushes.Go(func() { n.probe(ctx, target, full) })
	if full {
		n.pushes.Go(func() { n.retryLost(ctx) })
	}
}

// retryLost greets a member that is out, and the seeds if none other is left,
// so that two halves of a fleet find each other again.
func (n *Node) retryLost(ctx context.Context) {
	var lost []board.Member
	n.opts.Board.Do(func(s *board.State) {
		for _, m := range s.Members {
			if m.State == board.Out {
				lost = append(lost, m)
			}
		}
	})
	if len(lost) == 0 {
		return
	}
	n.mu.Lock()
	m := lost[n.rnd.IntN(len(lost))]
	n.mu.Unlock()
	_ = n.exchange(ctx, m.Peer, true)
}

func (n *Node) isFull(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.fullAt) < fullEvery {
		return false
	}
	n.fullAt = now.Add(time.Duration(n.rnd.Int64N(int64(period))))
	return true
}

// next returns the neighbours in turn, each once a round, in random order.
func (n *Node) next() (board.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for range 2 {
		for len(n.round) > 0 {
			id := n.round[0]
			n.round = n.round[1:]
			if m, ok := n.member(id); ok && !m.Gone() {
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

func (n *Node) probe(ctx context.Context, target board.Member, full bool) {
	if n.exchange(ctx, target.Peer, full) == nil || ctx.Err() != nil {
		return
	}
	if n.reachedByOthers(ctx, target) || ctx.Err() != nil {
		return
	}
	doubted := false
	n.opts.Board.Do(func(s *board.State) { doubted = Doubt(s, target.ID, time.Now()) })
	if doubted {
		n.opts.Log.Warn().Str("member", target.ID).Msg("member is suspected")
		n.TellMember(target.ID)
	}
}

func (n *Node) reachedByOthers(ctx context.Context, target board.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*pingTimeout)
	defer cancel()
	alive := make(chan bool, indirect)
	helpers := n.sample(indirect, target.ID)
	var asks conc.WaitGroup
	for _, helper := range helpers {
		asks.Go(func() {
			reply, err := n.conns.call(ctx, helper.Peer, control, &wire.Call{Kind: &wire.Call_Probe{Probe: &wire.Probe{Peer: target.Peer}}})
			alive <- err == nil && reply.GetProbed().GetAlive()
		})
	}
	defer asks.Wait()
	for range helpers {
		if <-alive {
			cancel()
			return true
		}
	}
	return false
}

// sample returns up to k random neighbours, without one.
func (n *Node) sample(k int, without string) []board.Member {
	var members []board.Member
	n.opts.Board.Do(func(s *board.State) {
		for _, id := range Neighbours(s) {
			if id != without {
				members = append(members, s.Members[id])
			}
		}
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rnd.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(k, len(members))]
}

// push tells a few random neighbours of news; those to whom it is news push on.
func (n *Node) push(ctx context.Context) {
	var sends conc.WaitGroup
	for _, m := range n.sample(fanout, "") {
		sends.Go(func() { _ = n.exchange(ctx, m.Peer, false) })
	}
	sends.Wait()
}

// exchange sends what this node knows to a peer and takes over its answer.
func (n *Node) exchange(ctx context.Context, addr string, full bool) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	call := &wire.Call{Kind: &wire.Call_Gossip{Gossip: n.gossip(full, time.Now())}}
	reply, err := n.conns.call(ctx, addr, control, call)
	if err != nil {
		return err
	}
	n.absorb(addr, reply.GetGossip(), time.Now())
	return nil
}

func (n *Node) gossip(full bool, now time.Time) *wire.Gossip {
	g := &wire.Gossip{Full: full}
	subjects := n.news.take()
	cut := n.opts.Cut()
	n.opts.Board.Do(func(s *board.State) {
		g.Self = toWire(s.Self)
		g.Digest = digest(s, cut, now)
		if full {
			for _, m := range s.Members {
				g.Members = append(g.Members, toWire(m))
			}
		}
		for _, subject := range subjects {
			addRumor(g, s, subject, full, now)
		}
	})
	return g
}

func digest(s *board.State, cut bool, now time.Time) *wire.Digest {
	d := &wire.Digest{Config: s.Config.Number, Vms: s.VMs.Number, Known: !s.Confirmed.IsZero(), Cut: cut}
	if d.GetKnown() {
		d.Age = uint64(max(0, now.Sub(s.Confirmed)).Milliseconds())
	}
	for pool, version := range s.Targets {
		d.Targets = append(d.Targets, &wire.Target{Pool: pool, Version: uint64(version)})
	}
	return d
}

func addRumor(g *wire.Gossip, s *board.State, subject string, full bool, now time.Time) {
	kind, name, _ := strings.Cut(subject, ":")
	switch kind {
	case "m":
		if m, ok := s.Members[name]; ok && !full {
			g.Members = append(g.Members, toWire(m))
		}
	case "s":
		fingerprint, _ := strconv.ParseUint(name, 10, 64)
		if strike, ok := s.Poison[fingerprint]; ok {
			g.Strikes = append(g.Strikes, &wire.Strike{Print: fingerprint, Count: uint32(strike.Count), Age: uint64(max(0, now.Sub(strike.Last)).Milliseconds())})
		}
	case "l":
		g.Leaving = append(g.Leaving, name)
	}
}

// absorb takes over what a peer said; news is passed on, and documents that
// are newer there are fetched.
func (n *Node) absorb(addr string, g *wire.Gossip, now time.Time) {
	if g == nil {
		return
	}
	var news []string
	n.opts.Board.Update(func(s *board.State) { news = learn(s, g, now) })
	for _, subject := range news {
		n.rumor(subject)
	}
	n.hear(g, now)
	changed := len(news) > 0
	if n.fetchNewer(addr, g.GetDigest()) {
		changed = true
	}
	if changed {
		n.Tell()
	}
}

func learn(s *board.State, g *wire.Gossip, now time.Time) []string {
	var news []string
	members := append([]*wire.Member{g.GetSelf()}, g.GetMembers()...)
	for _, m := range members {
		if m.GetId() != "" && Merge(s, fromWire(m), now) {
			news = append(news, "m:"+m.GetId())
		}
	}
	for _, strike := range g.GetStrikes() {
		age := time.Duration(strike.GetAge()) * time.Millisecond
		if poison.Learn(s, strike.GetPrint(), int(strike.GetCount()), age, now) {
			news = append(news, "s:"+strconv.FormatUint(strike.GetPrint(), 10))
		}
	}
	for _, id := range g.GetLeaving() {
		if u := s.Upstreams[id]; u != nil && !u.Leaving() {
			s.Leave(id, now)
			news = append(news, "l:"+id)
		}
	}
	for _, target := range g.GetDigest().GetTargets() {
		if s.Publish(target.GetPool(), quetzalpier.Version(target.GetVersion())) {
			news = append(news, "t:"+target.GetPool())
		}
	}
	return news
}

func (n *Node) hear(g *wire.Gossip, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard[g.GetSelf().GetId()] = hearing{at: now, cut: g.GetDigest().GetCut()}
}

// fetchNewer fetches the documents of which the peer holds a higher number,
// and takes over how recently the configuration was known to be current.
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
		confirmed := time.Now().Add(-time.Duration(d.GetAge())*time.Millisecond - pingTimeout)
		n.opts.Board.Do(func(s *board.State) {
			if s.Config.Number >= d.GetConfig() && confirmed.After(s.Confirmed) {
				s.Confirmed = confirmed
			}
		})
	}
	return fetched
}

func (n *Node) fetchConfig(addr string) bool {
	var config quetzalpier.Config
	if err := n.fetch(addr, wire.Fetch_CONFIG, &config); err != nil {
		n.opts.Log.Warn().Err(err).Msg("configuration not fetched")
		return false
	}
	taken := false
	n.opts.Board.Update(func(s *board.State) { taken = s.SetConfig(config) })
	return taken
}

func (n *Node) fetchVMs(addr string) bool {
	var list quetzalpier.VMList
	if err := n.fetch(addr, wire.Fetch_VMS, &list); err != nil {
		n.opts.Log.Warn().Err(err).Msg("VM list not fetched")
		return false
	}
	taken := false
	n.opts.Board.Update(func(s *board.State) { taken = s.SetVMs(list, time.Now()) })
	return taken
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
