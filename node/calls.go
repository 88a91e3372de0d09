package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/claim"
	"quetzalpier/hash"
	"quetzalpier/peer"
	"quetzalpier/setup"
	"quetzalpier/wire"
)

const (
	ownerTimeout      = 5 * time.Second
	claimQueryTimeout = time.Second
	// ownerRetryAfter is the retry delay sent to a trainer when the owner of its
	// steps is unreachable.
	ownerRetryAfter = 300 * time.Millisecond
)

// handle serves calls of other nodes to the roles of this node.
func (n *Node) handle(ctx context.Context, call *wire.Call) *wire.Reply {
	switch kind := call.GetKind().(type) {
	case *wire.Call_Trainer:
		return &wire.Reply{Kind: &wire.Reply_Answer{Answer: n.owner.Handle(ctx, kind.Trainer)}}
	case *wire.Call_Ask:
		return n.handleAsk(kind.Ask)
	case *wire.Call_Copy:
		return n.handleCopy(kind.Copy)
	case *wire.Call_Recall:
		return n.handleRecall(kind.Recall)
	case *wire.Call_Handover:
		if err := n.owner.Accept(kind.Handover); err != nil {
			return &wire.Reply{Fault: err.Error()}
		}
		return &wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{}}}
	default:
		return &wire.Reply{Fault: "unknown call"}
	}
}

func (n *Node) handleAsk(ask *wire.Ask) *wire.Reply {
	answer := &wire.Claim{}
	if held, ok := n.claims.HeldClaim(ask.GetKey(), ask.GetToken()); ok {
		body, err := json.Marshal(held)
		if err != nil {
			return &wire.Reply{Fault: err.Error()}
		}
		answer.Known = true
		answer.Body = body
	}
	return &wire.Reply{Kind: &wire.Reply_Claim{Claim: answer}}
}

func (n *Node) handleCopy(c *wire.Copy) *wire.Reply {
	if n.store == nil {
		return &wire.Reply{Fault: "this node does not run the store role"}
	}
	key := quetzalpier.StepKey{Trainer: c.GetTrainer(), Number: c.GetStep()}
	if c.GetClose() {
		n.store.Drop(key)
	} else if err := n.store.Append(key, c.GetHash(), c.GetSamples(), time.Now()); err != nil {
		return &wire.Reply{Fault: err.Error()}
	}
	return &wire.Reply{Kind: &wire.Reply_Copied{Copied: &wire.Copied{}}}
}

func (n *Node) handleRecall(r *wire.Recall) *wire.Reply {
	if n.store == nil {
		return &wire.Reply{Fault: "this node does not run the store role"}
	}
	samples, more, err := n.store.ReadPage(quetzalpier.StepKey{Trainer: r.GetTrainer(), Number: r.GetStep()}, r.GetHash(), r.GetSkip())
	if err != nil {
		return &wire.Reply{Fault: err.Error()}
	}
	return &wire.Reply{Kind: &wire.Reply_Copies{Copies: &wire.Copies{Samples: samples, More: more}}}
}

// Call makes a call to another node.
func (n *Node) Call(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error) {
	return n.peers.Call(ctx, addr, call)
}

// queryClaimHolder queries the node that holds a claim for the claim's state. It
// returns false if the node is unreachable or does not know the claim.
func (n *Node) queryClaimHolder(ctx context.Context, node, key, token string) (claim.Claim, bool) {
	if node == n.Settings.Name {
		return n.claims.HeldClaim(key, token)
	}
	addr := ""
	n.Board.Do(func(s *board.State) { addr = s.Members[node].Peer })
	if addr == "" {
		return claim.Claim{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimQueryTimeout)
	defer cancel()
	reply, err := n.peers.Call(ctx, addr, &wire.Call{Kind: &wire.Call_Ask{Ask: &wire.Ask{Key: key, Token: token}}})
	if err != nil || !reply.GetClaim().GetKnown() {
		return claim.Claim{}, false
	}
	var held claim.Claim
	if err := json.Unmarshal(reply.GetClaim().GetBody(), &held); err != nil {
		return claim.Claim{}, false
	}
	return held, true
}

// stepOwner returns the node that owns a trainer's steps. If nodes disagree about
// it, only work is lost, because the trainer reports which samples it has.
func (n *Node) stepOwner(trainer string) (id, addr string) {
	n.Board.Do(func(s *board.State) {
		id = hash.Owner("steps/"+trainer, peer.Usable(s, setup.RoleStep))
		addr = s.Members[id].Peer
	})
	return id, addr
}

// callOwner forwards a trainer's call to the owner of its steps.
func (n *Node) callOwner(ctx context.Context, call *wire.Trainer) *wire.Answer {
	id, addr := n.stepOwner(call.GetTrainer())
	if id == n.Settings.Name {
		return n.owner.Handle(ctx, call)
	}
	if addr == "" {
		return ownerUnreachable("no node runs the step role")
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout+pullWait(call))
	defer cancel()
	reply, err := n.peers.Call(ctx, addr, &wire.Call{Kind: &wire.Call_Trainer{Trainer: call}})
	if err != nil {
		return ownerUnreachable("the owner of the trainer's steps does not answer: " + err.Error())
	}
	return reply.GetAnswer()
}

func pullWait(call *wire.Trainer) time.Duration {
	var pull quetzalpier.Pull
	if call.GetOp() != wire.Trainer_PULL || json.Unmarshal(call.GetBody(), &pull) != nil {
		return 0
	}
	return time.Duration(pull.WaitMillis) * time.Millisecond
}

func ownerUnreachable(detail string) *wire.Answer {
	refusal := quetzalpier.Unavailable("owner", detail, quetzalpier.RanUnknown, ownerRetryAfter)
	body, _ := json.Marshal(refusal)
	return &wire.Answer{Status: http.StatusServiceUnavailable, Body: body, After: uint64(ownerRetryAfter.Milliseconds())}
}

// sendHandover sends a handover message to the next owner of a trainer's steps.
func (n *Node) sendHandover(ctx context.Context, trainer string, h *wire.Handover) error {
	id, addr := n.stepOwner(trainer)
	if addr == "" || id == n.Settings.Name {
		return errors.New("no other node runs the step role")
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	_, err := n.peers.Call(ctx, addr, &wire.Call{Kind: &wire.Call_Handover{Handover: h}})
	return err
}

// broadcastStrikes sends strikes to the peers before the callers get an error, so
// that other nodes already know them when a caller retries there.
func (n *Node) broadcastStrikes(fingerprints []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), strikeTimeout)
	defer cancel()
	n.Log.Warn().Int("requests", len(fingerprints)).Msg("upstream crashed with requests in flight")
	n.peers.BroadcastStrikes(ctx, fingerprints)
}

// broadcastLeaving announces that an upstream is leaving, which the platform's VM
// list shows only later.
func (n *Node) broadcastLeaving(id string) { n.peers.BroadcastLeaving(id) }
