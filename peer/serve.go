package peer

import (
	"context"
	"encoding/json"
	"time"

	"quetzalpier/board"
	"quetzalpier/wire"
)

// handle answers the node's own calls and passes the rest on.
func (n *Node) handle(ctx context.Context, call *wire.Call) *wire.Reply {
	switch kind := call.GetKind().(type) {
	case *wire.Call_Gossip:
		return n.answerGossip(kind.Gossip)
	case *wire.Call_Probe:
		return &wire.Reply{Kind: &wire.Reply_Probed{Probed: &wire.Probed{Alive: n.exchange(ctx, kind.Probe.GetPeer(), false) == nil}}}
	case *wire.Call_Fetch:
		return n.answerFetch(kind.Fetch.GetName())
	default:
		return n.opts.Handle(ctx, call)
	}
}

func (n *Node) answerGossip(g *wire.Gossip) *wire.Reply {
	now := time.Now()
	addr := g.GetSelf().GetPeer()
	// Documents are fetched after the answer, which must not wait for them.
	n.pushes.Go(func() { n.absorb(addr, g, now) })
	return &wire.Reply{Kind: &wire.Reply_Gossip{Gossip: n.gossip(g.GetFull(), now)}}
}

func (n *Node) answerFetch(name wire.Fetch_Name) *wire.Reply {
	var number uint64
	var document any
	n.opts.Board.Do(func(s *board.State) {
		if name == wire.Fetch_CONFIG {
			number, document = s.Config.Number, s.Config
			return
		}
		number, document = s.VMs.Number, s.VMs
	})
	body, err := json.Marshal(document)
	if err != nil {
		return &wire.Reply{Fault: err.Error()}
	}
	return &wire.Reply{Kind: &wire.Reply_Document{Document: &wire.Document{Number: number, Body: body}}}
}

// contactLimit is how old a peer's word may be to count as contact. At the
// largest fleets a round of heartbeats takes nine seconds.
const contactLimit = 12 * time.Second

// AllCut tells whether the platform is out for everyone that this node hears,
// itself included, while it reaches a majority of the members it knows. No
// patch can be accepted then, so the newest known configuration is current.
func (n *Node) AllCut(now time.Time) bool {
	if !n.opts.Cut() {
		return false
	}
	known, reached := 1, 1
	n.opts.Board.Do(func(s *board.State) {
		for _, m := range s.Members {
			if m.State == board.Left {
				continue
			}
			known++
			if !m.Gone() && m.State != board.Suspect {
				reached++
			}
		}
	})
	return 2*reached > known && n.heardCut(now, known == 1)
}

// heardCut tells whether all peers heard lately lack the platform, too.
func (n *Node) heardCut(now time.Time, alone bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	heard := 0
	for id, h := range n.heard {
		if now.Sub(h.at) > contactLimit {
			delete(n.heard, id)
			continue
		}
		if !h.cut {
			return false
		}
		heard++
	}
	return heard > 0 || alone
}
