// Package probe finds out which nodes answer, by probes between nodes. The entry of a
// node in the key-value service shows that it ran when it last renewed its lease; a
// probe shows whether it answers now.
package probe

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"quetzalpier/board"
	"quetzalpier/sleep"
)

const (
	// interval is the mean time between two probes of a member, and pingTimeout how long
	// one waits for the answer. The member is suspected after maxMissed probes without
	// an answer: a busy node may miss one.
	interval    = 500 * time.Millisecond
	pingTimeout = 400 * time.Millisecond
	maxMissed   = 2
	// maxHelpers is the number of members that are asked whether they reach a suspected
	// one, and askTimeout how long their answers may take.
	maxHelpers = 4
	askTimeout = 600 * time.Millisecond
	// targetCount is the number of reachable members that each node probes, and
	// unlistedTargetCount that of a node which is not listed itself, because other nodes
	// may not know it and then tell it nothing.
	targetCount         = 4
	unlistedTargetCount = 64
	// stagger is the time that a node leaves to each of those that can act first on a
	// member that it found unreachable, and tellInterval the time between two messages
	// about the same member. At most maxTellCalls are sent at a time.
	stagger      = 100 * time.Millisecond
	tellInterval = 3 * time.Second
	maxTellCalls = 16
	// forgetAfter is how long a member is probed after it was last listed: the
	// key-value service may have lost the entry of a live node.
	forgetAfter = 30 * time.Second
)

// Prober probes other nodes, and records on the board which of them don't answer.
type Prober struct {
	Board *board.Board
	// Ping checks whether the node at addr answers.
	Ping func(ctx context.Context, addr string) error
	// Ask asks the node at helper whether it reaches the node at addr. unreachable
	// tells it that neither this node nor others do.
	Ask func(ctx context.Context, helper, addr string, unreachable bool) (reached bool, err error)
	// OnUnreachable is called for a listed member that does not answer, after each
	// failed probe of this node.
	OnUnreachable func(ctx context.Context, m board.Member)
	Log           zerolog.Logger

	mu      sync.Mutex
	known   map[string]member
	probing map[string]bool
}

// member is what a Prober knows of another node.
type member struct {
	board.Member
	listedAt time.Time
	// answeredAt is when it last answered a probe of this node, and toldAt when this
	// node last sent or received a message that it is unreachable.
	answeredAt time.Time
	toldAt     time.Time
}

// Run probes the members of the board until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	var probes conc.WaitGroup
	defer probes.Wait()
	for sleep.For(ctx, interval/2+time.Duration(rand.Int64N(int64(interval)))) {
		targets, told := p.startRound(time.Now())
		for _, target := range targets {
			probes.Go(func() {
				p.probe(ctx, target)
				p.endProbe(target.ID)
			})
		}
		for _, target := range told {
			probes.Go(func() {
				if p.ping(ctx, target.Peer) == nil {
					p.recordAnswer(target, time.Now())
				}
				p.endProbe(target.ID)
			})
		}
	}
}

// startRound updates the known members from the board and returns those to probe now:
// the targets of this node, and the unreachable members that other nodes have told it
// of, which may answer again.
func (p *Prober) startRound(now time.Time) (targets, told []board.Member) {
	var self string
	listed := map[string]board.Member{}
	unreachable := map[string]bool{}
	p.Board.Do(func(s *board.State) {
		self = s.Self.ID
		for id, m := range s.Members {
			listed[id] = m
		}
		for id := range s.Unreachable {
			unreachable[id] = true
		}
	})
	p.mu.Lock()
	forgotten := p.update(listed, now)
	count := targetCount
	if _, isListed := listed[self]; !isListed {
		count = unlistedTargetCount
	}
	ids := Targets(self, p.ids(self), func(id string) bool { return !unreachable[id] }, count)
	targets = p.startProbes(ids)
	told = p.startProbes(slices.Collect(maps.Keys(unreachable)))
	p.mu.Unlock()
	if len(forgotten) > 0 {
		p.Board.Update(func(s *board.State) {
			for _, id := range forgotten {
				delete(s.Unreachable, id)
			}
		})
	}
	return targets, told
}

// startProbes marks the members as being probed and returns those that are known and
// were not; the caller holds the lock.
func (p *Prober) startProbes(ids []string) (started []board.Member) {
	for _, id := range ids {
		if m, isMember := p.known[id]; isMember && !p.probing[id] {
			p.probing[id] = true
			started = append(started, m.Member)
		}
	}
	return started
}

// update merges the listed members into the known ones and returns the IDs of those
// that are known no longer; the caller holds the lock.
func (p *Prober) update(listed map[string]board.Member, now time.Time) (forgotten []string) {
	if p.known == nil {
		p.known, p.probing = map[string]member{}, map[string]bool{}
	}
	for id, m := range listed {
		known := p.known[id]
		known.Member, known.listedAt = m, now
		p.known[id] = known
	}
	for id, m := range p.known {
		// A draining member removes its entry when it stops.
		if _, present := listed[id]; !present && (!m.Usable() || now.Sub(m.listedAt) > forgetAfter) {
			delete(p.known, id)
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}

// ids returns the IDs of the known members and of this node; the caller holds the
// lock.
func (p *Prober) ids(self string) []string {
	ids := []string{self}
	for id := range p.known {
		if id != self {
			ids = append(ids, id)
		}
	}
	return ids
}

func (p *Prober) endProbe(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.probing, id)
}

// probe probes one member and records whether it is reachable.
func (p *Prober) probe(ctx context.Context, target board.Member) {
	refused := false
	for range maxMissed {
		err := p.ping(ctx, target.Peer)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			p.recordAnswer(target, time.Now())
			return
		}
		refused = errors.Is(err, syscall.ECONNREFUSED)
	}
	// A VM that refuses connections runs, and the process on it does not.
	answers := votes{unreached: 1}
	if !refused {
		answers = p.askOthers(ctx, target)
	}
	switch {
	case answers.reached > 0:
		p.recordReached(target, time.Now())
	case answers.unreached > 0 && p.recordUnreachable(target, time.Now()):
		p.act(ctx, target)
	}
}

func (p *Prober) ping(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return p.Ping(ctx, addr)
}

// Check answers another node's question whether this node reaches the one at addr.
// unreachable tells that neither the other node nor others do.
func (p *Prober) Check(ctx context.Context, addr string, unreachable bool) bool {
	if p.ping(ctx, addr) == nil {
		return true
	}
	if target, isMember := p.memberAt(addr); isMember && unreachable && ctx.Err() == nil {
		now := time.Now()
		p.recordTold(target.ID, now)
		p.recordUnreachable(target, now)
	}
	return false
}

func (p *Prober) memberAt(addr string) (board.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.known {
		if m.Peer == addr {
			return m.Member, true
		}
	}
	return board.Member{}, false
}

// votes counts the members that reach another one and those that do not. If there are
// none of either, this node may be the one that is cut off.
type votes struct{ reached, unreached int }

// askOthers asks a few members whether they reach the target.
func (p *Prober) askOthers(ctx context.Context, target board.Member) (answers votes) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls conc.WaitGroup
	for _, helper := range rankHelpers(p.reachableOthers(target.ID), target.Domain) {
		calls.Go(func() {
			reached, err := p.Ask(ctx, helper.Peer, target.Peer, false)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case reached:
				answers.reached++
				cancel()
			case err == nil:
				answers.unreached++
			}
		})
	}
	calls.Wait()
	return answers
}

// reachableOthers returns the reachable members but one and this node, in random
// order.
func (p *Prober) reachableOthers(excluded string) []member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []member
	p.Board.Do(func(s *board.State) {
		for id, m := range p.known {
			if id != s.Self.ID && id != excluded && s.Reachable(id) {
				others = append(others, m)
			}
		}
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// rankHelpers returns the members to ask about one in the given failure domain: first
// one of that domain, which is the most likely to reach it, then the others in their
// order, of both those that have answered this node last.
func rankHelpers(members []member, domain string) []member {
	ranked := slices.Clone(members)
	slices.SortStableFunc(ranked, func(a, b member) int { return b.answeredAt.Compare(a.answeredAt) })
	if i := slices.IndexFunc(ranked, func(m member) bool { return m.Domain == domain }); i > 0 {
		near := ranked[i]
		ranked = slices.Insert(slices.Delete(ranked, i, i+1), 0, near)
	}
	return ranked[:min(len(ranked), maxHelpers)]
}

// recordAnswer records that a member answered this node.
func (p *Prober) recordAnswer(target board.Member, now time.Time) {
	p.mu.Lock()
	if m, isMember := p.known[target.ID]; isMember && m.Peer == target.Peer {
		m.answeredAt = now
		p.known[target.ID] = m
	}
	p.mu.Unlock()
	p.recordReached(target, now)
}

// recordReached records that this node or another one reaches a member.
func (p *Prober) recordReached(target board.Member, now time.Time) {
	p.mu.Lock()
	m, isMember := p.known[target.ID]
	current := isMember && m.Peer == target.Peer
	if current {
		m.toldAt = time.Time{}
		p.known[target.ID] = m
	}
	p.mu.Unlock()
	var since time.Time
	recovered := false
	p.Board.Do(func(s *board.State) {
		since = s.Unreachable[target.ID]
		recovered = current && !s.Reachable(target.ID)
	})
	if !recovered {
		return
	}
	p.Board.Update(func(s *board.State) { delete(s.Unreachable, target.ID) })
	p.Log.Info().Str("member", target.ID).Dur("unreachable_ms", now.Sub(since)).Msg("node answers again")
}

// recordUnreachable records that a member does not answer. It returns false if the
// member is no longer known at that address.
func (p *Prober) recordUnreachable(target board.Member, now time.Time) bool {
	p.mu.Lock()
	m, isMember := p.known[target.ID]
	p.mu.Unlock()
	if !isMember || m.Peer != target.Peer {
		return false
	}
	found := false
	p.Board.Do(func(s *board.State) { found = s.Reachable(target.ID) })
	if found {
		p.Board.Update(func(s *board.State) { s.Unreachable[target.ID] = now })
		p.Log.Warn().Str("member", target.ID).Time("answered", m.answeredAt).Time("told", m.toldAt).Msg("node does not answer")
	}
	return true
}

// act tells other nodes of an unreachable member, unless another node has done so, and
// calls OnUnreachable. Each of the member's probers leaves time to those before it.
func (p *Prober) act(ctx context.Context, target board.Member) {
	p.mu.Lock()
	ids := p.ids("")
	p.mu.Unlock()
	rank, listed := 0, false
	p.Board.Do(func(s *board.State) { rank = Rank(s.Self.ID, target.ID, ids, s.Reachable) })
	if !sleep.For(ctx, time.Duration(min(rank, targetCount))*stagger) {
		return
	}
	p.Board.Do(func(s *board.State) {
		_, listed = s.Members[target.ID]
		listed = listed && !s.Reachable(target.ID)
	})
	if !listed {
		return
	}
	var calls conc.WaitGroup
	if now := time.Now(); p.recordTold(target.ID, now) {
		calls.Go(func() { p.tell(ctx, target) })
	}
	p.OnUnreachable(ctx, target)
	calls.Wait()
}

// recordTold records that other nodes are told of an unreachable member. It returns
// false if they were told less than tellInterval ago.
func (p *Prober) recordTold(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, isMember := p.known[id]
	if !isMember || now.Sub(m.toldAt) < tellInterval {
		return false
	}
	m.toldAt = now
	p.known[id] = m
	return true
}

// tell tells the reachable members that a member is unreachable. Each checks it.
func (p *Prober) tell(ctx context.Context, target board.Member) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	calls := pool.New().WithMaxGoroutines(maxTellCalls)
	for _, m := range p.reachableOthers(target.ID) {
		calls.Go(func() {
			if _, err := p.Ask(ctx, m.Peer, target.Peer, true); err != nil {
				p.Log.Debug().Str("member", target.ID).Str("peer", m.Peer).Err(err).Msg("node could not be told of an unreachable one")
			}
		})
	}
	calls.Wait()
}
