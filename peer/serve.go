package peer

import (
	"context"
	"encoding/json"
	"time"

	"quetzalpier/board"
	"quetzalpier/wire"
)

// handle serves the calls of the gossip protocol and passes the others to
// Options.Handle.
func (n *Node) handle(ctx context.Context, call *wire.Call) *wire.Reply {
	switch kind := call.GetKind().(type) {
	case *wire.Call_Gossip:
		return n.handleGossip(kind.Gossip)
	case *wire.Call_Probe:
		return &wire.Reply{Kind: &wire.Reply_Probed{Probed: &wire.Probed{Alive: n.exchangeGossip(ctx, kind.Probe.GetPeer(), false) == nil}}}
	case *wire.Call_Fetch:
		return n.handleFetch(kind.Fetch.GetName())
	default:
		return n.opts.Handle(ctx, call)
	}
}

func (n *Node) handleGossip(g *wire.Gossip) *wire.Reply {
	now := time.Now()
	addr := g.GetSelf().GetPeer()
	// Merging may fetch documents, which must not delay the reply.
	n.workers.Go(func() { n.mergeGossip(addr, g, now) })
	return &wire.Reply{Kind: &wire.Reply_Gossip{Gossip: n.buildGossip(g.GetFull(), now)}}
}

func (n *Node) handleFetch(name wire.Fetch_Name) *wire.Reply {
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

// contactMaxAge is how old a peer's platform report may be to count. In the largest
// fleets a round of heartbeats takes nine seconds.
const contactMaxAge = 12 * time.Second

// PlatformUnavailable reports whether the platform is unavailable to this node and
// all its recent contacts, while the node reaches a majority of the known members.
// No patch can be accepted then, so the newest known configuration is current.
func (n *Node) PlatformUnavailable(now time.Time) bool {
	if !n.opts.PlatformFailed() {
		return false
	}
	known, reached := 1, 1
	n.opts.Board.Do(func(s *board.State) {
		for _, m := range s.Members {
			if m.State == board.Left {
				continue
			}
			known++
			if !m.FailedOrLeft() && m.State != board.Suspect {
				reached++
			}
		}
	})
	return 2*reached > known && n.peersReportOutage(now, known == 1)
}

// peersReportOutage reports whether no recent contact reaches the platform. Without
// recent contacts it reports whether the node is alone in its fleet.
func (n *Node) peersReportOutage(now time.Time, alone bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	reports := 0
	for id, report := range n.platformReports {
		if now.Sub(report.at) > contactMaxAge {
			delete(n.platformReports, id)
			continue
		}
		if !report.platformFailed {
			return false
		}
		reports++
	}
	return reports > 0 || alone
}
