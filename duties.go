package quetzalpier

import (
	"context"
	"fmt"
)

// Turn is a node's right to perform the platform's duties. Token is the fencing token, which
// increases when the holder changes.
type Turn struct {
	Holder string
	Token  uint64
}

// ReplicaOrder orders a number of upstreams of a pool in a failure domain. Spot orders
// are for upstreams that may be reclaimed, which are counted separately.
type ReplicaOrder struct {
	Pool   string
	Domain string
	Count  int
	Spot   bool
}

// Duties are the platform's calls that one node at a time makes. Their errors are
// StaleFenceError if a higher token was seen, UnavailableError, RefusedError if the call had
// no effect, and OutcomeUnknownError if it may have had one, or may have one later.
type Duties interface {
	// ReportUsage sends the encoded report of one window.
	ReportUsage(ctx context.Context, turn Turn, body []byte) error
	// OrderReplicas orders upstreams.
	OrderReplicas(ctx context.Context, turn Turn, order ReplicaOrder) error
}

// UnavailableError reports that the platform has no upstreams of the ordered kind now.
type UnavailableError struct{ Order ReplicaOrder }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no upstreams for pool %s in %s (spot: %t) are available", e.Order.Pool, e.Order.Domain, e.Order.Spot)
}
