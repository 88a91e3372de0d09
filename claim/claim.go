// Package claim makes sure that a keyed request which is not idempotent is
// dispatched at most once, at whatever node its copies arrive: a claim in the
// platform's key-value service is created before the first byte leaves.
package claim

import (
	"encoding/json"
	"time"

	"quetzalpier"
)

// State is how far a claimed request has come.
type State string

// The states of a claim.
const (
	// Open claims belong to a request that may be running.
	Open State = "open"
	// Done claims hold the end of a request that ran.
	Done State = "done"
	// Void claims belong to a request that was never dispatched.
	Void State = "void"
	// Lost claims belong to a request of which nobody can say whether it ran.
	Lost State = "lost"
)

// Claim is a claim as it lies in the key-value service.
type Claim struct {
	Hash  uint64 `json:"hash"`
	Node  string `json:"node"`
	Token string `json:"token"`
	State State  `json:"state"`
	// Status and Body are the answer, if it was small enough to keep.
	Status int    `json:"status,omitempty"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`
	Kept   bool   `json:"kept,omitempty"`
}

// UnmarshalJSON decodes a claim and checks it.
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

// Action is what to do about a resent request.
type Action int

// The actions.
const (
	// Dispatch means that nobody has dispatched the request: take the claim over.
	Dispatch Action = iota
	// Replay gives the kept answer.
	Replay
	// Refuse declines with the decision's refusal.
	Refuse
	// Ask means that the holder must be asked first.
	Ask
)

// Decision is what to do about a resent request.
type Decision struct {
	Action  Action
	Refusal *quetzalpier.Refusal
}

// inProgressAfter is when to ask again about a request that is still running.
const inProgressAfter = time.Second

// Decide tells what to do with a request whose claim was found in the
// service. asked tells that known is the holder's own word, not the service's.
func Decide(known Claim, hash uint64, asked bool) Decision {
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
	if !asked {
		return Decision{Action: Ask}
	}
	refusal := quetzalpier.Conflict("open", "the request is in progress or its holder is gone", quetzalpier.RanUnknown)
	refusal.After = inProgressAfter
	return Decision{Refuse, refusal}
}
