package quetzalpier

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Ran states whether a refused request ran on an upstream.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Refusal is an RFC 9457 problem body. It is the only form in which the service
// declines a request.
type Refusal struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail,omitempty"`
	Field      string        `json:"field,omitempty"`
	Ran        Ran           `json:"ran"`
	Number     uint64        `json:"number,omitempty"`
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (r *Refusal) Error() string {
	detail := r.Detail
	if r.Field != "" {
		detail = r.Field + ": " + detail
	}
	return fmt.Sprintf("%d %s: %s (ran=%s)", r.Status, r.Title, detail, r.Ran)
}

// Invalid returns a refusal for an invalid field of a request.
func Invalid(field, detail string) *Refusal {
	return &Refusal{Type: "invalid", Title: "invalid request", Status: http.StatusBadRequest, Field: field, Detail: detail, Ran: RanNo}
}

// NotFound returns a refusal for a resource that does not exist.
func NotFound(kind, detail string) *Refusal {
	return &Refusal{Type: kind, Title: "not found", Status: http.StatusNotFound, Detail: detail, Ran: RanNo}
}

// Unauthorized returns a refusal for a request without a valid API key.
func Unauthorized(detail string) *Refusal {
	return &Refusal{Type: "key", Title: "unauthorized", Status: http.StatusUnauthorized, Detail: detail, Ran: RanNo}
}

// Conflict returns a refusal for a request that conflicts with an earlier one.
func Conflict(kind, detail string, ran Ran) *Refusal {
	return &Refusal{Type: kind, Title: "conflict", Status: http.StatusConflict, Detail: detail, Ran: ran}
}

// Unavailable returns a refusal for a request that can't be served now; after is
// the delay before a retry.
func Unavailable(kind, detail string, ran Ran, after time.Duration) *Refusal {
	return &Refusal{Type: kind, Title: "unavailable", Status: http.StatusServiceUnavailable, Detail: detail, Ran: ran, RetryAfter: after}
}

// FieldError reports an invalid field of a decoded document.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// DecodeJSON decodes a document of another program. Its errors name the field and don't quote
// the value, which may be as long as the document.
func DecodeJSON(data []byte, into any) error {
	err := json.Unmarshal(data, into)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &FieldError{cmp.Or(typeErr.Field, "document"), "must be of type " + typeErr.Type.String()}
	}
	return err
}

// RevisionError reports that a compare-and-swap had no effect because the key's
// revision differed from the expected one.
type RevisionError struct {
	Key string
	Rev uint64
}

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("compare-and-swap of key %q failed: it is at revision %d", e.Key, e.Rev)
}

// RefusedError reports that a platform call had no effect.
type RefusedError struct {
	Call   string
	Reason string
	// RateLimited reports that the platform gets too many calls, and Invalid that it refuses this
	// one whenever it is made.
	RateLimited, Invalid bool
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Call + " refused: " + e.Reason }

// OutcomeUnknownError reports that it is unknown whether a platform call took
// effect.
type OutcomeUnknownError struct {
	Call   string
	Reason string
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string { return e.Call + " outcome unknown: " + e.Reason }

// LeaseLostError reports that a lease no longer exists.
type LeaseLostError struct {
	Lease string
}

// Error implements error.
func (e *LeaseLostError) Error() string { return "lease " + e.Lease + " no longer exists" }

// CompactedError reports that the key-value service no longer has the changes since
// the revision that a watch started from.
type CompactedError struct {
	Prefix string
	Rev    uint64
	// Cut is set if the watch was closed without an answer, so that it may have
	// missed changes.
	Cut bool
	// Follower is set if the watch was one of another node's mirror, which began later. The
	// service may still have the changes.
	Follower bool
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes of prefix %q since revision %d are no longer available", e.Prefix, e.Rev)
}

// StaleFenceError reports that an engine refused an order because it has seen a
// higher fencing token.
type StaleFenceError struct {
	Upstream string
	Fence    uint64
	Seen     uint64
}

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("upstream %s refused fencing token %d: it has seen %d", e.Upstream, e.Fence, e.Seen)
}

// ForeignJobError reports that the ID of a job is that of another customer's job.
type ForeignJobError struct {
	Job string
}

// Error implements error.
func (e *ForeignJobError) Error() string { return "job " + e.Job + " exists for another customer" }

// Malformed returns a refusal for a document that can't be decoded. It names the
// invalid field if the error does.
func Malformed(err error) *Refusal {
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		return Invalid(fieldErr.Field, fieldErr.Reason)
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Invalid(typeErr.Field, "must be "+typeErr.Type.String()+", not "+typeErr.Value)
	}
	return Invalid("body", err.Error())
}
