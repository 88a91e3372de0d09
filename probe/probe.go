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
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier/board"
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
	// about the same member. At most maxTellCalls are sent at a time, each for tellTimeout:
	// those to nodes that were lost as well must not delay the others.
	stagger      = 100 * time.Millisecond
	tellInterval = 3 * time.Second
	tellTimeout  = 300 * time.Millisecond
	maxTellCalls = 64
	// contactValid is how long an answer of the key-value service shows that this node is
	// not cut off.
	contactValid = time.Second
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
	// InContact asks the key-value service whether it answers this node; nil means that
	// it does not.
	InContact func(ctx context.Context) bool
	Log       zerolog.Logger

	mu      sync.Mutex
	known   map[string]member
	probing map[string]bool
	// suspected holds the members being probed that missed a ping, and wake starts the
	// next round at once.
	suspected map[string]bool
	wake      chan struct{}

	// contact is the last answer of InContact, asked for at contactAt.
	contactMu sync.Mutex
	contact   bool
	contactAt time.Time
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
	wake := make(chan struct{}, 1)
	p.mu.Lock()
	p.wake = wake
	p.mu.Unlock()
	for awaitRound(ctx, wake, interval/2+time.Duration(rand.Int64N(int64(interval)))) {
		targets, told := p.startRound(time.Now())
		for _, target := range targets {
			probes.Go(func() {
				p.probe(ctx, target)
				p.endProbe(target.ID)
			})
		}
		for _, target := range told {
			probes.Go(func() {
				p.probeTold(ctx, target)
				p.endProbe(target.ID)
			})
		}
	}
}

// awaitRound waits for the next round of probes. It returns false once ctx has ended.
func awaitRound(ctx context.Context, wake <-chan struct{}, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// suspect records that a member being probed missed a ping. Those beyond it on the ring
// are probed at once, not after the verdict on it.
//
// Load pattern: two fifths of all nodes stop within the same second, so that some have
// only probers that stopped as well.
//
// One that is known to be unreachable starts no round: it may refuse connections at once,
// and rounds would follow each other without a pause.
func (p *Prober) suspect(id string) {
	known := false
	p.Board.Do(func(s *board.State) { known = !s.Reachable(id) })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspected == nil {
		p.suspected = map[string]bool{}
	}
	if known || p.suspected[id] {
		return
	}
	p.suspected[id] = true
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Refresh updates the known members from the board. It must be called after each change
// of the list, since a member may be listed for a moment only.
func (p *Prober) Refresh(now time.Time) {
	var listed map[string]board.Member
	p.Board.Do(func(s *board.State) { listed = maps.Clone(s.Members) })
	p.mu.Lock()
	forgotten := p.update(listed, now)
	p.mu.Unlock()
	if len(forgotten) > 0 {
		p.Board.Update(func(s *board.State) {
			for _, id := range forgotten {
				delete(s.Unreachable, id)
				delete(s.Silent, id)
			}
		})
	}
}

// Unknown returns those of the IDs that are not of members which this node has known
// lately.
func (p *Prober) Unknown(ids []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unknown []string
	for _, id := range ids {
		if _, isMember := p.known[id]; !isMember {
			unknown = append(unknown, id)
		}
	}
	return unknown
}

// startRound returns the members to probe now: the targets of this node, and the
// unreachable members that other nodes have told it of, which may answer again.
func (p *Prober) startRound(now time.Time) (targets, told []board.Member) {
	p.Refresh(now)
	var self string
	count := targetCount
	unreachable := map[string]bool{}
	p.Board.Do(func(s *board.State) {
		self = s.Self.ID
		if _, listed := s.Members[self]; !listed {
			count = unlistedTargetCount
		}
		for id := range s.Unreachable {
			unreachable[id] = true
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	trusted := func(id string) bool { return !unreachable[id] && !p.suspected[id] }
	targets = p.startProbes(Targets(self, p.ids(self), trusted, count))
	told = p.startProbes(slices.Collect(maps.Keys(unreachable)))
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
	delete(p.suspected, id)
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
