package quetzalpier

import (
	"context"
	"fmt"
	"math"
	"time"
)

// Limit is the rate of requests that an upstream accepts from all nodes together, as
// it names it in its answers. The zero value is an upstream that names none.
type Limit struct {
	Named bool
	// PerSecond is in requests per second; zero if not Named.
	PerSecond float64
}

// maxLimit is the highest valid rate, in requests per second: more than the nodes of
// any deployment send to one upstream.
const maxLimit = 1e6

// Validate validates the limit and returns the first error found.
func (l Limit) Validate() error {
	if math.IsNaN(l.PerSecond) || l.PerSecond < 0 || l.PerSecond > maxLimit {
		return &FieldError{"limit", fmt.Sprintf("must be from 0 to %g requests a second, not %g", float64(maxLimit), l.PerSecond)}
	}
	return nil
}

// Load is the load that an upstream reports with an answer. The zero value is an upstream
// that reports none.
type Load struct {
	Known bool
	// Running and Waiting are numbers of requests, Slots is how many of them run at a time.
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes there at the moment, as a percentage of the normal
	// time; zero if the upstream does not report that.
	Slowdown int
}

// maxLoad is the highest valid figure of a load: more than an upstream can queue. Sums and
// products of several fit in an integer.
const maxLoad = 1e6

// Validate validates the load and returns the first error found.
func (l Load) Validate() error {
	for _, figure := range []int{l.Running, l.Waiting, l.Slots, l.Slowdown} {
		if figure < 0 || figure > maxLoad {
			return &FieldError{"load", fmt.Sprintf("must have figures from 0 to %d, not %d", int(maxLoad), figure)}
		}
	}
	return nil
}

// Notice is what an upstream says of itself in an answer. Leaving reports that it is about
// to leave.
type Notice struct {
	Limit   Limit
	Load    Load
	Leaving bool
}

// Notices keeps what upstreams say of themselves in their answers, and keeps the nodes
// together within the limits that they name.
type Notices interface {
	// Admit is called before a request is sent to an upstream; urgent reports that a
	// client waits for it. It returns a LimitedError if the request must not be sent
	// now.
	Admit(ctx context.Context, vm VM, urgent bool, now time.Time) error
	// Observe records what an upstream said in its answer to a request that was sent
	// at sentAt and answered now.
	Observe(vm VM, notice Notice, sentAt, now time.Time)
	// Invalid records that an upstream said something that can't be decoded.
	Invalid(vm VM, err error)
}

// LimitedError reports that a request was not sent, since the limit of the upstream is
// used up. RetryAfter is the time after which another one may be admitted.
type LimitedError struct {
	Upstream   string
	RetryAfter time.Duration
}

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("limit of upstream %s is used up for %s", e.Upstream, e.RetryAfter)
}
