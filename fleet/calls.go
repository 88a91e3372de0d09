package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/mirror"
	"quetzalpier/runner"
	"quetzalpier/sleep"
	"quetzalpier/wire"
)

// handle answers another node's call.
func (n *Node) handle(ctx context.Context, call *wire.Call) *wire.Reply {
	if read := call.GetRead(); read != nil {
		return &wire.Reply{Kind: &wire.Reply_Results{Results: n.runner.Read(ctx, read)}}
	}
	if feed := call.GetFeed(); feed != nil {
		return &wire.Reply{Kind: &wire.Reply_Stored{Stored: n.feed(ctx, feed)}}
	}
	if strikes := call.GetStrikes(); strikes != nil {
		n.learn(strikes, time.Now())
		return &wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{}}}
	}
	if message := call.GetKeep(); message != nil {
		return n.take(ctx, message)
	}
	if store := call.GetStore(); store != nil {
		return &wire.Reply{Kind: &wire.Reply_Stored{Stored: n.kv.Serve(ctx, store)}}
	}
	if hold := call.GetHold(); hold != nil {
		sleep.For(ctx, time.Duration(hold.GetWait())*time.Millisecond)
		return &wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{}}}
	}
	return &wire.Reply{Fault: "unknown call"}
}

func (n *Node) feed(ctx context.Context, feed *wire.Feed) *wire.Stored {
	for _, m := range []*mirror.Mirror{n.nodes, n.workers} {
		if m.Prefix == feed.GetPrefix() {
			return m.Serve(ctx, feed)
		}
	}
	return &wire.Stored{Failure: &wire.Failure{Kind: wire.Failure_REFUSED, Text: "no copy of " + feed.GetPrefix()}}
}

// take takes over a job from another node.
func (n *Node) take(ctx context.Context, message *wire.Keep) *wire.Reply {
	job, err := wire.DecodeJob(message.GetJob())
	if err == nil && !message.GetStored() {
		err = n.keep(ctx, job, message)
	}
	if err != nil {
		n.Log.Warn().Err(err).Msg("job not taken over")
		return &wire.Reply{Fault: err.Error()}
	}
	switch {
	case message.GetCopy():
	case !message.GetStored() && n.kv.DirectFailed():
		n.runner.StandIn(job)
	default:
		n.runner.Open(job, time.Now())
	}
	return &wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{}}}
}

// keep stores a job, or keeps it on disks if the store is out for this node as
// well.
func (n *Node) keep(ctx context.Context, job *quetzalpier.Job, message *wire.Keep) error {
	if !message.GetCopy() && !n.kv.DirectFailed() {
		limited, cancel := context.WithTimeout(ctx, registerCall)
		again, err := n.vault.Put(limited, job)
		cancel()
		if err == nil {
			n.Log.Info().Str("job", job.ID).Bool("again", again).Msg("job stored for another node")
			return nil
		}
	}
	if n.keeper == nil {
		return errors.New("this node has no disk")
	}
	return n.keeper.Keep(ctx, job, message.GetJob(), message.GetCopy())
}

// keepers are the addresses of the other nodes with a disk, those of other
// failure domains first.
func (n *Node) keepers() []string {
	var far, near []string
	n.Board.Do(func(s *board.State) {
		for id, m := range s.Members {
			switch {
			case id == s.Self.ID || !m.Usable() || !m.Has(runner.ClassStore) || s.Retiring[id]:
			case m.Domain == s.Self.Domain:
				near = append(near, m.Peer)
			default:
				far = append(far, m.Peer)
			}
		}
	})
	return append(far, near...)
}

// peers are the other nodes' addresses.
func (n *Node) peers() []string {
	var peers []string
	n.Board.Do(func(s *board.State) {
		for id, m := range s.Members {
			if id != s.Self.ID {
				peers = append(peers, m.Peer)
			}
		}
	})
	return peers
}

func (n *Node) call(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error) {
	return n.mesh.Call(ctx, addr, call)
}

// leader is the node of this failure domain that follows the key-value service
// for the others; empty if it is this one.
func (n *Node) leader() string {
	addr := ""
	n.Board.Do(func(s *board.State) {
		var ids []string
		for id, m := range s.Members {
			if m.Domain == s.Self.Domain && m.HTTP != "" && m.Usable() {
				ids = append(ids, id)
			}
		}
		if owner := hash.Owner("watch/"+s.Self.Domain, ids); owner != s.Self.ID {
			addr = s.Members[owner].Peer
		}
	})
	return addr
}

// feeder is the node to follow the upstreams from: the leader, unless this node
// owns a pool and can't wait for another one.
func (n *Node) feeder() string {
	if n.owns() {
		return ""
	}
	return n.leader()
}

// owns tells whether the node holds a pool, so that others wait for it.
func (n *Node) owns() bool { return len(n.lease.Names()) > 0 }
