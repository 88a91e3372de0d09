// Package probe finds out which nodes answer, by probes between nodes. The entry of a
// node in the key-value service shows that it ran when it last renewed its lease; a
// probe shows whether it answers now.
package probe

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier/board"
	"quetzalpier/sleep"
)

const (
	// PingTimeout is how long a probe waits for the answer.
	PingTimeout = 400 * time.Millisecond
	// interval is the mean time between two probes of a member. The member is suspected
	// after maxMissed probes without an answer: a busy node may miss one.
	interval  = 500 * time.Millisecond
	maxMissed = 2
	// helpers is the number of members that are asked whether they reach a suspected
	// one, and askTimeout how long their answers may take.
	helpers    = 4
	askTimeout = 600 * time.Millisecond
	// targetCount is the number of reachable members that each node probes.
	targetCount = 12
	// forgetAfter is how long a member is probed after it was last listed: the
	// key-value service may have lost the entry of a live node.
	forgetAfter = 30 * time.Second
)

// Prober probes other nodes, and records on the board which of them don't answer.
type Prober struct {
	Board *board.Board
	// Ping sends a call to the node at addr that any working node answers at once.
	Ping func(ctx context.Context, addr string) error
	// Ask asks the node at helper whether it reaches the node at addr.
	Ask func(ctx context.Context, helper, addr string) (reached bool, err error)
	// OnUnreachable is called for a listed member that does not answer, after each
	// failed probe. rank is the number of other members that can act on it first.
	OnUnreachable func(ctx context.Context, m board.Member, rank int)
	Log           zerolog.Logger

	mu      sync.Mutex
	known   map[string]member
	probing map[string]bool
}

// member is what a Prober knows of another node.
type member struct {
	board.Member
	listedAt time.Time
	// answeredAt is when it last answered a probe of this node.
	answeredAt time.Time
}

// Run probes the members of the board until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	var probes conc.WaitGroup
	defer probes.Wait()
	for sleep.For(ctx, interval/2+time.Duration(rand.Int64N(int64(interval)))) {
		for _, target := range p.startRound(time.Now()) {
			probes.Go(func() {
				p.probe(ctx, target)
				p.endProbe(target.ID)
			})
		}
	}
}

// startRound updates the known members from the board and returns those to probe now.
func (p *Prober) startRound(now time.Time) []board.Member {
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
	var targets []board.Member
	for _, id := range Targets(self, p.ids(self), func(id string) bool { return !unreachable[id] }, targetCount) {
		if !p.probing[id] {
			p.probing[id] = true
			targets = append(targets, p.known[id].Member)
		}
	}
	p.mu.Unlock()
	if len(forgotten) > 0 {
		p.Board.Update(func(s *board.State) {
			for _, id := range forgotten {
				delete(s.Unreachable, id)
			}
		})
	}
	return targets
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
	if refused || p.unreachableByOthers(ctx, target) {
		p.recordUnreachable(ctx, target, time.Now())
	}
}

func (p *Prober) ping(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	return p.Ping(ctx, addr)
}

// unreachableByOthers reports whether other members confirm that the target does not
// answer. If none of them answers, this node may be the one that is cut off.
func (p *Prober) unreachableByOthers(ctx context.Context, target board.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := p.chooseHelpers(target)
	answers := make(chan answer, len(asked))
	var calls conc.WaitGroup
	for _, helper := range asked {
		calls.Go(func() {
			reached, err := p.Ask(ctx, helper.Peer, target.Peer)
			answers <- answer{reached, err}
		})
	}
	defer calls.Wait()
	confirmed := false
	for range asked {
		switch a := <-answers; {
		case a.err != nil:
		case a.reached:
			cancel()
			return false
		default:
			confirmed = true
		}
	}
	return confirmed
}

type answer struct {
	reached bool
	err     error
}

// chooseHelpers returns members to ask about the target: one of its failure domain,
// which is the most likely to reach it, and those that have answered last.
func (p *Prober) chooseHelpers(target board.Member) []board.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []member
	self := ""
	p.Board.Do(func(s *board.State) {
		self = s.Self.ID
		for id, m := range p.known {
			if _, silent := s.Unreachable[id]; id != self && id != target.ID && !silent {
				candidates = append(candidates, m)
			}
		}
	})
	return rankHelpers(candidates, target.Domain, rand.Perm(len(candidates)))
}

// rankHelpers returns the first helpers of the candidates in the given order, with
// one of the failure domain first if there is any, and then those that have answered
// last.
func rankHelpers(candidates []member, domain string, order []int) []board.Member {
	var chosen []board.Member
	taken := map[string]bool{}
	take := func(better func(a, b member) bool, usable func(m member) bool) {
		best := -1
		for _, i := range order {
			m := candidates[i]
			if !taken[m.ID] && usable(m) && (best < 0 || better(m, candidates[best])) {
				best = i
			}
		}
		if best >= 0 {
			taken[candidates[best].ID] = true
			chosen = append(chosen, candidates[best].Member)
		}
	}
	newer := func(a, b member) bool { return a.answeredAt.Sub(b.answeredAt) > interval }
	take(newer, func(m member) bool { return m.Domain == domain })
	for len(chosen) < min(helpers, len(candidates)) {
		take(newer, func(member) bool { return true })
	}
	return chosen
}

// recordAnswer records that a member answered.
func (p *Prober) recordAnswer(target board.Member, now time.Time) {
	id := target.ID
	p.mu.Lock()
	known, isMember := p.known[id]
	current := isMember && known.Peer == target.Peer
	if current {
		known.answeredAt = now
		p.known[id] = known
	}
	p.mu.Unlock()
	if !current {
		return
	}
	var since time.Time
	recovered := false
	p.Board.Do(func(s *board.State) { since, recovered = s.Unreachable[id] })
	if !recovered {
		return
	}
	p.Board.Update(func(s *board.State) { delete(s.Unreachable, id) })
	p.Log.Info().Str("member", id).Dur("silent_ms", now.Sub(since)).Msg("node answers again")
}

// recordUnreachable records that a member does not answer.
func (p *Prober) recordUnreachable(ctx context.Context, target board.Member, now time.Time) {
	known, isListed := false, false
	rank := 0
	p.mu.Lock()
	m, isMember := p.known[target.ID]
	var ids []string
	if isMember {
		ids = p.ids("")
	}
	p.mu.Unlock()
	if !isMember || m.Peer != target.Peer {
		return
	}
	p.Board.Update(func(s *board.State) {
		if _, known = s.Unreachable[target.ID]; !known {
			s.Unreachable[target.ID] = now
		}
		_, isListed = s.Members[target.ID]
		rank = Rank(s.Self.ID, target.ID, ids, s.Reachable)
	})
	if !known {
		p.Log.Warn().Str("member", target.ID).Time("answered", m.answeredAt).Msg("node does not answer")
	}
	if isListed {
		p.OnUnreachable(ctx, target, rank)
	}
}
