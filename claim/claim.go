// Package claim ensures that a non-idempotent request with an idempotency key is
// dispatched at most once, whichever nodes receive its copies: a node creates a
// claim in the platform's key-value service before it dispatches the request.
package claim

import (
	"encoding/json"
	"time"

	"quetzalpier"
)

// State is the progress of a claimed request.
type State string

// The states of a claim.
const (
	// Open claims belong to a request that may be running.
	Open State = "open"
	// Done claims belong to a request that ran.
	Done State = "done"
	// Void claims belong to a request that was never dispatched.
	Void State = "void"
	// Lost claims belong to a request that may or may not have run.
	Lost State = "lost"
)

// Claim is a claim as stored in the key-value service.
type Claim struct {
	Hash  uint64 `json:"hash"`
	Node  string `json:"node"`
	Token string `json:"token"`
	State State  `json:"state"`
	// Status, Type and Body are the response. Kept is set if its body was small
	// enough to keep.
	Status int    `json:"status,omitempty"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`
	Kept   bool   `json:"kept,omitempty"`
}

// UnmarshalJSON decodes a claim and validates its state.
func (c *Claim) UnmarshalJSON(data []byte) error {
	type bare Claim
	if err := json.Unmarshal(data, (*bare)(c)); err != nil {
		return err
	}
	switch c.State {
	case Open, Done, Void, Lost:
		return nil
	default:
		return &quetzalpier.FieldError{Field: "state", Reason: "must be open, done, void or lost"}
	}
}

// Action is how to proceed with a request whose claim exists.
type Action int

// The actions.
const (
	// Dispatch takes the claim over, because the request was never dispatched.
	Dispatch Action = iota
	// Replay returns the kept response.
	Replay
	// Refuse returns the decision's refusal.
	Refuse
	// RequestFromHolder requests the current claim from the node that holds it.
	RequestFromHolder
)

// Decision is an action and, for Refuse, the refusal.
type Decision struct {
	Action  Action
	Refusal *quetzalpier.Refusal
}

// inProgressRetryAfter is the delay after which a client may retry a request that
// is in progress.
const inProgressRetryAfter = time.Second

// Decide returns how to proceed with a request whose claim exists. holderAsked
// reports whether the claim was requested from its holder already; known is
// then the holder's claim, or the stored one if the holder did not return it.
func Decide(known Claim, hash uint64, holderAsked bool) Decision {
	if known.Hash != hash {
		return Decision{Refuse, quetzalpier.Conflict("key", "the idempotency key was used for another request", quetzalpier.RanNo)}
	}
	switch known.State {
	case Void:
		return Decision{Action: Dispatch}
	case Done:
		if known.Kept {
			return Decision{Action: Replay}
		}
		return Decision{Refuse, quetzalpier.Conflict("done", "the request ran; its answer was too large to keep", quetzalpier.RanYes)}
	case Lost:
		return Decision{Refuse, quetzalpier.Conflict("lost", "the request may have run; its outcome is not known", quetzalpier.RanUnknown)}
	}
	if !holderAsked {
		return Decision{Action: RequestFromHolder}
	}
	refusal := quetzalpier.Conflict("open", "the request is in progress or its holder is gone", quetzalpier.RanUnknown)
	refusal.RetryAfter = inProgressRetryAfter
	return Decision{Refuse, refusal}
}
