package link

import (
	"fmt"
	"strconv"

	"quetzalpier"
)

// Stage is the stage of an attempt in which it failed.
type Stage string

// The stages of an attempt.
const (
	StageConnect Stage = "connect"
	StageSend    Stage = "send"
	StageHeader  Stage = "header"
	StageBody    Stage = "body"
)

// Error describes an attempt that returned no complete response.
type Error struct {
	Addr  string
	Stage Stage
	// Sent is the number of request bytes written to the connection.
	Sent int
	// Silent reports whether a read or write on the connection timed out.
	Silent bool
	// Canceled reports whether the caller canceled the attempt.
	Canceled bool
	// PathLost reports whether the attempt failed since the path of its connection was lost,
	// or the node through which it led broke it off, which says nothing of the upstream.
	PathLost bool
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: attempt failed at stage %q after %d bytes sent: %v", e.Addr, e.Stage, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ForeignError reports that a call got no response but one that belongs to an earlier
// request on the connection.
type ForeignError struct{ Cause error }

// Error implements error.
func (e *ForeignError) Error() string {
	return "only a response to an earlier request arrived: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ForeignError) Unwrap() error { return e.Cause }

// OversizedError reports a response body that is too large.
type OversizedError struct{ Limit int }

// Error implements error.
func (e *OversizedError) Error() string {
	return "response body has more than " + strconv.Itoa(e.Limit) + " bytes"
}

// Ran reports whether the request ran on the upstream: no if no byte of it was
// sent, unknown otherwise.
func (e *Error) Ran() quetzalpier.Ran {
	if e.Sent == 0 {
		return quetzalpier.RanNo
	}
	return quetzalpier.RanUnknown
}
