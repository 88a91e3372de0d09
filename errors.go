package quetzalpier

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Ran states whether a refused request ran on an upstream.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Refusal is the service's response to a request that it declines, an RFC 9457
// problem document.
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

// Invalid refuses a request because of an invalid field.
func Invalid(field, detail string) *Refusal {
	return &Refusal{Type: "invalid", Title: "invalid request", Status: http.StatusBadRequest, Field: field, Detail: detail, Ran: RanNo}
}

// Missing refuses a request for a resource that does not exist.
func Missing(kind, detail string) *Refusal {
	return &Refusal{Type: kind, Title: "not found", Status: http.StatusNotFound, Detail: detail, Ran: RanNo}
}

// Conflict refuses a request that conflicts with an earlier one.
func Conflict(kind, detail string, ran Ran) *Refusal {
	return &Refusal{Type: kind, Title: "conflict", Status: http.StatusConflict, Detail: detail, Ran: ran}
}

// Busy refuses a request that can't be served now; after is the delay for a
// retry.
func Busy(kind, detail string, ran Ran, after time.Duration) *Refusal {
	return &Refusal{Type: kind, Title: "unavailable", Status: http.StatusServiceUnavailable, Detail: detail, Ran: ran, After: after}
}

// FieldError reports an invalid field of a decoded document.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// SwapError reports that a compare-and-swap had no effect because the key was at
// another revision than expected.
type SwapError struct {
	Key string
	Rev uint64
}

// Error implements error.
func (e *SwapError) Error() string {
	return fmt.Sprintf("key %q is at revision %d", e.Key, e.Rev)
}

// RefusedError reports that a call to the platform had no effect.
type RefusedError struct {
	Call   string
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Call + " refused: " + e.Reason }

// UnsureError reports that a call to the platform may or may not have taken effect.
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

// GoneError reports that the key-value service no longer has the history that a
// watch requires.
type GoneError struct {
	Prefix string
	Rev    uint64
}

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("history of prefix %q since revision %d is gone", e.Prefix, e.Rev)
}

// FenceError reports that an upstream refused an order with an outdated fencing
// token.
type FenceError struct {
	Upstream string
	Fence    uint64
	Seen     uint64
}

// Error implements error.
func (e *FenceError) Error() string {
	return fmt.Sprintf("upstream %s refused fence %d, it has seen %d", e.Upstream, e.Fence, e.Seen)
}

// Malformed refuses a document that can't be decoded. It names the field if the
// error is caused by one.
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
