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

// handleCall answers a call of another node.
func (n *Node) handleCall(ctx context.Context, call *wire.Call) *wire.Reply {
	if read := call.GetRead(); read != nil {
		return &wire.Reply{Kind: &wire.Reply_Results{Results: n.runner.Read(ctx, read)}}
	}
	if feed := call.GetFeed(); feed != nil {
		return &wire.Reply{Kind: &wire.Reply_Stored{Stored: n.serveFeed(ctx, feed)}}
	}
	if strikes := call.GetStrikes(); strikes != nil {
		n.recordStrikes(strikes, time.Now())
		return &wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{}}}
	}
	if view := call.GetView(); view != nil {
		return n.views.receive(ctx, view)
	}
	if message := call.GetKeep(); message != nil {
		return n.acceptJob(ctx, message)
	}
	if kept := call.GetKept(); kept != nil {
		return n.lookUpKept(kept.GetJob())
	}
	if ended := call.GetEnded(); ended != nil {
		return n.receiveEnd(ended, time.Now())
	}
	if store := call.GetStore(); store != nil {
		return &wire.Reply{Kind: &wire.Reply_Stored{Stored: n.kv.Serve(ctx, store)}}
	}
	if limits := call.GetLimits(); limits != nil {
		return &wire.Reply{Kind: &wire.Reply_Permit{Permit: n.limits.Serve(limits, time.Now())}}
	}
	if message := call.GetOrigin(); message != nil {
		return &wire.Reply{Kind: &wire.Reply_Began{Began: n.origins.Serve(message, time.Now())}}
	}
	if message := call.GetUsage(); message != nil {
		return n.receiveUsage(message, time.Now())
	}
	if standby := call.GetStandby(); standby != nil {
		return &wire.Reply{Kind: &wire.Reply_Standby{Standby: &wire.Standby{Pool: standby.GetPool(), Active: n.runner.IsStandby(standby.GetPool())}}}
	}
	if question := call.GetProbe(); question != nil {
		return &wire.Reply{Kind: &wire.Reply_Probed{Probed: &wire.Probed{Alive: n.answerProbe(ctx, question)}}}
	}
	if hold := call.GetHold(); hold != nil {
		sleep.For(ctx, wire.Millis(hold.GetWait()))
		return &wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{}}}
	}
	return &wire.Reply{Fault: "unknown call"}
}

// receiveEnd stops the tasks of a job that has ended, and stores its end if that is pending.
func (n *Node) receiveEnd(ended *wire.Ended, now time.Time) *wire.Reply {
	if job := ended.GetPending(); job != "" {
		accepted := n.entry.AcceptEnd(job, ended.GetCustomer(), ended.StoredAt(), now)
		return &wire.Reply{Kind: &wire.Reply_Kept{Kept: &wire.Kept{Job: job, Present: accepted}}}
	}
	n.runner.EndJob(ended.GetJob(), ended.StoredAt(), now)
	n.entry.EndStored(ended.GetJob())
	return &wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{}}}
}

// answerProbe answers whether this node reaches another one. It answers a message that one
// is unreachable at once and checks that in the background, since the sender has all nodes
// to tell.
func (n *Node) answerProbe(ctx context.Context, question *wire.Probe) (alive bool) {
	if !question.GetUnreachable() {
		return n.prober.Check(ctx, question.GetPeer())
	}
	n.checks.Go(func() { n.prober.Told(context.Background(), question.GetPeer(), time.Now()) })
	return false
}

// serveFeed answers a request for the mirrored nodes, upstreams or configuration.
func (n *Node) serveFeed(ctx context.Context, feed *wire.Feed) *wire.Stored {
	for _, m := range []*mirror.Mirror{n.nodes, n.workers, n.config} {
		if m.Prefix == feed.GetPrefix() {
			return m.Serve(ctx, feed)
		}
	}
	return &wire.Stored{Failure: &wire.Failure{Kind: wire.Failure_REFUSED, Text: "this node does not mirror " + feed.GetPrefix()}}
}

// acceptJob accepts a job, or the copy of one, from another node.
func (n *Node) acceptJob(ctx context.Context, message *wire.Keep) *wire.Reply {
	job, err := wire.DecodeJob(message.GetJob())
	if err == nil && !job.Loaded() {
		err = errors.Errorf("job %q came without its tasks", job.ID)
	}
	if err == nil && !message.GetStored() {
		job, err = n.storeJob(ctx, job, message)
	}
	var foreign *quetzalpier.ForeignJobError
	if errors.As(err, &foreign) {
		n.Log.Warn().Str("job", job.ID).Str("customer", job.Customer).Err(err).Msg("job from another node has the ID of another customer's")
		return wire.ForeignReply()
	}
	if err != nil {
		n.Log.Warn().Err(err).Msg("job from another node could not be accepted")
		return &wire.Reply{Fault: err.Error()}
	}
	switch {
	case message.GetCopy():
	case !message.GetStored() && n.kv.DirectFailed():
		n.runner.StandIn(job)
	default:
		n.runner.OpenJob(job, time.Now())
	}
	return &wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{}}}
}

// lookUpKept tells whether this node keeps a job on its disk.
func (n *Node) lookUpKept(job string) *wire.Reply {
	if n.keeper == nil {
		return &wire.Reply{Kind: &wire.Reply_Kept{Kept: &wire.Kept{Job: job}}}
	}
	present, err := n.keeper.Holds(job)
	if err != nil {
		n.Log.Warn().Str("job", job).Err(err).Msg("kept job could not be looked up")
		return &wire.Reply{Fault: err.Error()}
	}
	return &wire.Reply{Kind: &wire.Reply_Kept{Kept: &wire.Kept{Job: job, Present: present, Disk: n.disk.id}}}
}

// storeJob writes a job to the key-value service, or keeps it on disks if this
// node can't reach the service either. It returns the job that is to be opened: on
// a disk, one that was submitted before has precedence.
func (n *Node) storeJob(ctx context.Context, job *quetzalpier.Job, message *wire.Keep) (*quetzalpier.Job, error) {
	if customer, known := n.runner.JobCustomer(job.ID); known && customer != "" && customer != job.Customer {
		return job, &quetzalpier.ForeignJobError{Job: job.ID}
	}
	if !message.GetCopy() && !n.kv.DirectFailed() {
		putCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		existed, err := n.vault.Put(putCtx, job)
		cancel()
		if err == nil {
			n.Log.Info().Str("job", job.ID).Bool("again", existed).Msg("job stored for another node")
			return job, nil
		}
		var foreign *quetzalpier.ForeignJobError
		if errors.As(err, &foreign) {
			return job, err
		}
	}
	if n.keeper == nil {
		return job, errors.New("no data directory is configured on this node")
	}
	kept, err := n.keeper.Keep(ctx, job, message.GetJob(), message.GetCopy())
	if err != nil {
		return job, err
	}
	return kept, nil
}

// diskPeers returns the addresses of the other nodes with a disk, those in other
// failure domains first.
func (n *Node) diskPeers() []string {
	var otherDomains, sameDomain []string
	n.Board.Do(func(s *board.State) {
		for id, m := range s.Members {
			switch {
			case id == s.Self.ID || !s.Answers(m) || !m.HasRole(runner.ClassStore) || s.Retiring[id]:
			case m.Domain == s.Self.Domain:
				sameDomain = append(sameDomain, m.Peer)
			default:
				otherDomains = append(otherDomains, m.Peer)
			}
		}
	})
	return append(otherDomains, sameDomain...)
}

// peerAddrs returns the addresses of the other nodes that are reachable, or of all if
// none is.
func (n *Node) peerAddrs() []string {
	var reachable, unreachable []string
	n.Board.Do(func(s *board.State) {
		for id, m := range s.Members {
			switch {
			case id == s.Self.ID:
			case s.Reachable(id):
				reachable = append(reachable, m.Peer)
			default:
				unreachable = append(unreachable, m.Peer)
			}
		}
	})
	if len(reachable) == 0 {
		return unreachable
	}
	return reachable
}

// relayAddrs returns the addresses of the reachable nodes that are in steady contact with the
// key-value service, or of all other nodes if there is none: store VMs, and the nodes that
// read it for others. The rest would find out only with the relayed call that the service
// does not answer them.
//
// Load pattern: the service is silent for the owner of a pool and for a third of the nodes.
func (n *Node) relayAddrs() (addrs []string) {
	n.Board.Do(func(s *board.State) {
		domains := map[string]int{}
		for _, m := range s.Members {
			domains[m.Domain]++
		}
		leads := map[string]bool{}
		for domain := range domains {
			for _, id := range domainLeaders(s, domain) {
				leads[id] = true
			}
		}
		minFollowed := minConfigNodes
		if s.Access.Enabled() {
			minFollowed = minKeyedNodes
		}
		for id, m := range s.Members {
			inContact := leads[id] || m.HasRole(runner.ClassStore) || domains[m.Domain] < minFollowed
			if inContact && id != s.Self.ID && s.Reachable(id) {
				addrs = append(addrs, m.Peer)
			}
		}
	})
	if len(addrs) == 0 {
		return n.peerAddrs()
	}
	return addrs
}

// memberAddrs returns the addresses of the other nodes, reachable or not.
func (n *Node) memberAddrs() []string {
	var addrs []string
	n.Board.Do(func(s *board.State) {
		for id, m := range s.Members {
			if id != s.Self.ID {
				addrs = append(addrs, m.Peer)
			}
		}
	})
	return addrs
}

func (n *Node) callPeer(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error) {
	return n.mesh.Call(ctx, addr, call)
}

// feedLeaders returns the addresses of the nodes that read from the key-value service for
// this failure domain, the first one first; none if this node is the first.
func (n *Node) feedLeaders() []string {
	var addrs []string
	n.Board.Do(func(s *board.State) {
		for _, id := range domainLeaders(s, s.Self.Domain) {
			if id == s.Self.ID {
				break
			}
			addrs = append(addrs, s.Members[id].Peer)
		}
	})
	return addrs
}

// domainLeaders returns the IDs of the leaders of a failure domain, on which all nodes agree
// once they have the same list.
func domainLeaders(s *board.State, domain string) []string {
	var ids []string
	for id, m := range s.Members {
		if m.Domain == domain && m.HTTP != "" && s.Answers(m) {
			ids = append(ids, id)
		}
	}
	return hash.Owners("watch/"+domain, ids, maxLeaders)
}

// upstreamLeaders returns the addresses of the nodes to read the upstreams from. There is
// none if this node owns a pool, since it must not wait for another node then.
func (n *Node) upstreamLeaders() []string {
	if n.ownsPool() {
		return nil
	}
	return n.feedLeaders()
}

// followsUpstreams reports whether the node reads the upstreams from another node.
func (n *Node) followsUpstreams() bool { return len(n.upstreamLeaders()) > 0 }

// configLeaders returns the addresses of the nodes to read the configuration from. There
// is none in a small failure domain, whose leader would save few calls with its short
// watches, and could delay the others when it is lost.
func (n *Node) configLeaders() []string {
	if n.ownsPool() || n.domainNodes() < n.minFollowedNodes() {
		return nil
	}
	return n.feedLeaders()
}

// minFollowedNodes returns how many nodes the failure domain has at least for this node to
// read the configuration through a leader.
func (n *Node) minFollowedNodes() int {
	if n.checksKeys() {
		return minKeyedNodes
	}
	return minConfigNodes
}

// checksKeys reports whether requests to this node need an API key.
func (n *Node) checksKeys() (keyed bool) {
	if n.Settings.Front == "" {
		return false
	}
	n.Board.Do(func(s *board.State) { keyed = s.Access.Enabled() })
	return keyed
}

// maxKeyedWatch limits the watches of the configuration by this node, from wherever it
// reads: an unknown API key is taken for invalid only if the configuration was confirmed a
// short time ago.
func (n *Node) maxKeyedWatch() time.Duration {
	if n.checksKeys() {
		return leaderConfigWatch
	}
	return maxWatchTimeout
}

// maxConfigWatch limits the watches of the configuration by this node: short ones if
// others read it from here, since a watch that hangs would delay all of them.
func (n *Node) maxConfigWatch() time.Duration {
	if n.domainNodes() < n.minFollowedNodes() || n.ownsPool() {
		return maxWatchTimeout
	}
	return leaderConfigWatch
}

// domainNodes returns the number of nodes of this failure domain.
func (n *Node) domainNodes() (count int) {
	n.Board.Do(func(s *board.State) {
		for _, m := range s.Members {
			if m.Domain == s.Self.Domain {
				count++
			}
		}
	})
	return count
}

// ownsPool reports whether the node owns a pool, so that other nodes wait for
// its writes.
func (n *Node) ownsPool() bool { return len(n.lease.Names()) > 0 }
