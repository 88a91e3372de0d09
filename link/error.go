package link

import (
	"fmt"

	"quetzalpier"
)

// Stage is how far an attempt came.
type Stage string

// The stages of an attempt.
const (
	StageConnect Stage = "connect"
	StageSend    Stage = "send"
	StageHeader  Stage = "header"
	StageBody    Stage = "body"
)

// Error reports an attempt that brought no whole answer.
type Error struct {
	Addr  string
	Stage Stage
	// Sent is how many bytes of the request left.
	Sent int
	// Silent tells that the connection made no progress in time.
	Silent bool
	// Canceled tells that the caller gave the attempt up.
	Canceled bool
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s after %d bytes sent: %v", e.Addr, e.Stage, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Ran tells whether the request may have run: certainly not before its first
// byte left, and unknown from then on.
func (e *Error) Ran() quetzalpier.Ran {
	if e.Sent == 0 {
		return quetzalpier.RanNo
	}
	return quetzalpier.RanUnknown
}
