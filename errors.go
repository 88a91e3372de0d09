package quetzalpier

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Ran tells whether a refused request may have run on an upstream.
type Ran string

// The three answers a refusal can give.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Refusal is an RFC 9457 problem body. It is the only form in which the
// service declines a request.
type Refusal struct {
	Type   string        `json:"type"`
	Title  string        `json:"title"`
	Status int           `json:"status"`
	Detail string        `json:"detail,omitempty"`
	Field  string        `json:"field,omitempty"`
	Ran    Ran           `json:"ran"`
	Number uint64        `json:"number,omitempty"`
	After  time.Duration `json:"-"`
}

// Error implements error.
func (r *Refusal) Error() string {
	detail := r.Detail
	if r.Field != "" {
		detail = r.Field + ": " + detail
	}
	return fmt.Sprintf("%d %s: %s (ran=%s)", r.Status, r.Title, detail, r.Ran)
}

// Invalid refuses a request for a fault in one of its fields.
func Invalid(field, detail string) *Refusal {
	return &Refusal{Type: "invalid", Title: "invalid request", Status: http.StatusBadRequest, Field: field, Detail: detail, Ran: RanNo}
}

// Missing refuses a request for a thing that does not exist here.
func Missing(kind, detail string) *Refusal {
	return &Refusal{Type: kind, Title: "not found", Status: http.StatusNotFound, Detail: detail, Ran: RanNo}
}

// Conflict refuses a request that contradicts an earlier one.
func Conflict(kind, detail string, ran Ran) *Refusal {
	return &Refusal{Type: kind, Title: "conflict", Status: http.StatusConflict, Detail: detail, Ran: ran}
}

// Busy refuses a request that can't be served now; after is when to retry.
func Busy(kind, detail string, ran Ran, after time.Duration) *Refusal {
	return &Refusal{Type: kind, Title: "unavailable", Status: http.StatusServiceUnavailable, Detail: detail, Ran: ran, After: after}
}

// FieldError reports a fault in one field of a decoded document.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// SwapError reports that a compare-and-swap certainly did not happen because
// the key's revision differed from the one asked for.
type SwapError struct {
	Key string
	Rev uint64
}

// Error implements error.
func (e *SwapError) Error() string {
	return fmt.Sprintf("key %q is at revision %d", e.Key, e.Rev)
}

// RefusedError reports that a platform call certainly had no effect.
type RefusedError struct {
	Call   string
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Call + " refused: " + e.Reason }

// UnsureError reports that a platform call may or may not have taken effect.
type UnsureError struct {
	Call   string
	Reason string
}

// Error implements error.
func (e *UnsureError) Error() string { return e.Call + " outcome unknown: " + e.Reason }

// LostError reports that a lease no longer exists.
type LostError struct {
	Lease string
}

// Error implements error.
func (e *LostError) Error() string { return "lease " + e.Lease + " is gone" }

// GoneError reports that the key-value service no longer has the history that
// a watch asked for.
type GoneError struct {
	Prefix string
	Rev    uint64
}

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("history of prefix %q since revision %d is gone", e.Prefix, e.Rev)
}

// FenceError reports an order refused for its old fencing number.
type FenceError struct {
	Upstream string
	Fence    uint64
	Seen     uint64
}

// Error implements error.
func (e *FenceError) Error() string {
	return fmt.Sprintf("upstream %s refused fence %d, it has seen %d", e.Upstream, e.Fence, e.Seen)
}

// Malformed refuses a document that can't be decoded, naming the field if the
// fault lies in one.
func Malformed(err error) *Refusal {
	var field *FieldError
	if errors.As(err, &field) {
		return Invalid(field.Field, field.Reason)
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return Invalid(kind.Field, "must be "+kind.Type.String()+", not "+kind.Value)
	}
	return Invalid("body", err.Error())
}
