package probe

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"quetzalpier/board"
	"quetzalpier/sleep"
)

// handleUnreachable tells other nodes of an unreachable member, unless another node has
// done so, and calls OnUnreachable while it is listed. One that is not listed is told of
// when it is lost: nodes cut off from the key-value service may still name it. Each of the
// member's probers leaves time to those before it.
func (p *Prober) handleUnreachable(ctx context.Context, target board.Member, lost bool) {
	p.mu.Lock()
	ids := p.ids("")
	p.mu.Unlock()
	rank, listed := 0, false
	p.Board.Do(func(s *board.State) { rank = Rank(s.Self.ID, target.ID, ids, s.Reachable) })
	if !sleep.For(ctx, time.Duration(min(rank, targetCount))*stagger) {
		return
	}
	unreachable := false
	p.Board.Do(func(s *board.State) {
		_, listed = s.Members[target.ID]
		unreachable = !s.Reachable(target.ID)
	})
	if !unreachable || !listed && !lost {
		return
	}
	var calls conc.WaitGroup
	if now := time.Now(); p.recordTold(target.ID, now) {
		calls.Go(func() { p.tell(ctx, target) })
	}
	if listed {
		p.OnUnreachable(ctx, target)
	}
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
//
// Load pattern: two fifths of a large fleet stop at once, so that many of those to tell
// don't answer either.
func (p *Prober) tell(ctx context.Context, target board.Member) {
	calls := pool.New().WithMaxGoroutines(maxTellCalls)
	for _, m := range p.reachableOthers(target.ID) {
		calls.Go(func() { p.tellOne(ctx, m.Member, target) })
	}
	calls.Wait()
}

// tellMissed tells a member of the known ones that are unreachable, whether they are still
// listed or not: it may keep those whose entries are gone.
func (p *Prober) tellMissed(ctx context.Context, to board.Member) {
	var unreachable []board.Member
	p.mu.Lock()
	p.Board.Do(func(s *board.State) {
		for id, m := range p.known {
			if id != to.ID && !s.Reachable(id) {
				unreachable = append(unreachable, m.Member)
			}
		}
	})
	p.mu.Unlock()
	calls := pool.New().WithMaxGoroutines(maxTellCalls)
	for _, m := range unreachable {
		calls.Go(func() { p.tellOne(ctx, to, m) })
	}
	calls.Wait()
}

// tellOne tells one member that another one is unreachable.
func (p *Prober) tellOne(ctx context.Context, to, target board.Member) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if _, err := p.Ask(ctx, to.Peer, target.Peer, true); err != nil {
		p.Log.Debug().Str("member", target.ID).Str("peer", to.Peer).Err(err).Msg("node could not be told of an unreachable one")
	}
}
