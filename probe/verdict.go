package probe

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"quetzalpier/board"
)

// probe probes one member and records whether it is reachable.
func (p *Prober) probe(ctx context.Context, target board.Member) {
	refused := false
	for range maxMissed {
		err := p.ping(ctx, target.Peer)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			p.handleAnswer(ctx, target)
			return
		}
		refused = errors.Is(err, syscall.ECONNREFUSED)
		p.suspect(target.ID)
	}
	// A VM that refuses connections runs, and the process on it does not.
	answers := votes{unreached: 1}
	if !refused {
		answers = p.askOthers(ctx, target)
	}
	switch {
	case answers.reached > 0:
		if p.recordReached(target, time.Now()) {
			p.tellMissed(ctx, target)
		}
	case answers.unreached > 0:
		if known, lost := p.recordUnreachable(target, time.Now()); known {
			p.handleUnreachable(ctx, target, lost)
		}
	case p.inContact(ctx, time.Now()):
		p.recordSilent(target, time.Now())
	}
}

// inContact reports whether the key-value service answers this node. It is asked at most
// once in contactValid.
func (p *Prober) inContact(ctx context.Context, now time.Time) bool {
	if p.InContact == nil {
		return false
	}
	p.contactMu.Lock()
	defer p.contactMu.Unlock()
	if now.Sub(p.contactAt) >= contactValid {
		p.contact, p.contactAt = p.InContact(ctx), now
	}
	return p.contact
}

// probeTold checks whether a member that is unreachable answers again.
func (p *Prober) probeTold(ctx context.Context, target board.Member) {
	if p.ping(ctx, target.Peer) == nil {
		p.handleAnswer(ctx, target)
	}
}

func (p *Prober) ping(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return p.Ping(ctx, addr)
}

// Check answers another node's question whether this node reaches the one at addr.
func (p *Prober) Check(ctx context.Context, addr string) bool { return p.ping(ctx, addr) == nil }

// Told checks the member at addr, after another node has told this one that neither it nor
// others reach it.
func (p *Prober) Told(ctx context.Context, addr string, now time.Time) {
	target, isMember := p.memberAt(addr)
	if !isMember {
		return
	}
	known := false
	p.Board.Do(func(s *board.State) { known = !s.Reachable(target.ID) })
	if known {
		p.recordTold(target.ID, now)
		return
	}
	if p.ping(ctx, addr) != nil && ctx.Err() == nil {
		now = time.Now()
		p.recordTold(target.ID, now)
		p.recordUnreachable(target, now)
	}
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
	for _, helper := range chooseHelpers(p.reachableOthers(target.ID), target.Domain) {
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

// chooseHelpers returns the members to ask about one in the given failure domain: first
// one of that domain, which is the most likely to reach it, then the others in their
// order, of both those that have answered this node last.
func chooseHelpers(members []member, domain string) []member {
	ranked := slices.Clone(members)
	slices.SortStableFunc(ranked, func(a, b member) int { return b.answeredAt.Compare(a.answeredAt) })
	if i := slices.IndexFunc(ranked, func(m member) bool { return m.Domain == domain }); i > 0 {
		near := ranked[i]
		ranked = slices.Insert(slices.Delete(ranked, i, i+1), 0, near)
	}
	return ranked[:min(len(ranked), maxHelpers)]
}

// handleAnswer handles the answer of a member to this node. One that was unreachable is
// told of the others that are, since it was told of none meanwhile.
func (p *Prober) handleAnswer(ctx context.Context, target board.Member) {
	if p.recordAnswer(target, time.Now()) {
		p.tellMissed(ctx, target)
	}
}

// recordAnswer records that a member answered this node, and reports whether it was
// unreachable before.
func (p *Prober) recordAnswer(target board.Member, now time.Time) bool {
	p.mu.Lock()
	if m, isMember := p.known[target.ID]; isMember && m.Peer == target.Peer {
		m.answeredAt = now
		p.known[target.ID] = m
	}
	p.mu.Unlock()
	return p.recordReached(target, now)
}

// recordReached records that this node or another one reaches a member, and reports
// whether it was unreachable before.
func (p *Prober) recordReached(target board.Member, now time.Time) bool {
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
	p.clearSilent(target.ID, current)
	if !recovered {
		return false
	}
	p.Board.Update(func(s *board.State) { delete(s.Unreachable, target.ID) })
	p.Log.Info().Str("member", target.ID).Dur("unreachable_ms", now.Sub(since)).Msg("node answers again")
	return true
}

// recordUnreachable records that a member does not answer. known is unset if the member
// is no longer known at that address; lost is set if it was reachable before.
func (p *Prober) recordUnreachable(target board.Member, now time.Time) (known, lost bool) {
	p.mu.Lock()
	m, isMember := p.known[target.ID]
	p.mu.Unlock()
	if !isMember || m.Peer != target.Peer {
		return false, false
	}
	p.Board.Do(func(s *board.State) { lost = s.Reachable(target.ID) })
	if lost {
		p.Board.Update(func(s *board.State) { s.Unreachable[target.ID] = now })
		p.Log.Warn().Str("member", target.ID).Time("answered", m.answeredAt).Time("told", m.toldAt).Msg("node does not answer")
	}
	return true, lost
}

// recordSilent records that a member does not answer this node while no other member does.
// Nobody is told, and its entry stays: only this node's clients are not sent to it.
func (p *Prober) recordSilent(target board.Member, now time.Time) {
	p.mu.Lock()
	m, isMember := p.known[target.ID]
	p.mu.Unlock()
	if !isMember || m.Peer != target.Peer {
		return
	}
	found := false
	p.Board.Do(func(s *board.State) { found = s.Responsive(target.ID) })
	if found {
		p.Board.Update(func(s *board.State) { s.Silent[target.ID] = now })
		p.Log.Warn().Str("member", target.ID).Time("answered", m.answeredAt).Msg("node does not answer, nor does any that could confirm it")
	}
}

// clearSilent takes back recordSilent for a member that answers.
func (p *Prober) clearSilent(id string, current bool) {
	var silent bool
	p.Board.Do(func(s *board.State) { _, silent = s.Silent[id] })
	if current && silent {
		p.Board.Update(func(s *board.State) { delete(s.Silent, id) })
		p.Log.Info().Str("member", id).Msg("silent node answers again")
	}
}
