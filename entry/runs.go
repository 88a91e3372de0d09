package entry

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/engine"
	"quetzalpier/link"
	"quetzalpier/send"
)

// presumedAfter is how long after a request was sent it counts as run without an answer, so
// that it is counted before the report of its window is fixed.
const presumedAfter = 1500 * time.Millisecond

// RunRecorder records the requests of customers that upstreams began to run.
type RunRecorder interface {
	Record(customer string, at time.Time)
}

// runCounter records once that an upstream began to run a client's request. A nil runCounter
// does nothing.
type runCounter struct {
	recorder RunRecorder
	customer string

	mu      sync.Mutex
	sentAt  time.Time
	timer   *time.Timer
	counted bool
}

// runCounter returns a counter for a request; nil if it counts for no customer.
func (e *Entry) runCounter(job *send.Job, route *quetzalpier.Route) *runCounter {
	if e.Runs == nil || route.Public {
		return nil
	}
	customers := false
	e.Board.Do(func(s *board.State) { customers = len(s.Config.Customers) > 0 })
	if !customers {
		return nil
	}
	return &runCounter{recorder: e.Runs, customer: job.Tenant}
}

// onSent returns a function that records that an attempt was sent completely; nil if there
// is nothing to count.
func (c *runCounter) onSent() func() {
	if c == nil {
		return nil
	}
	return c.sent
}

func (c *runCounter) sent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counted {
		return
	}
	c.sentAt = time.Now()
	c.timer = time.AfterFunc(presumedAfter, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.count()
	})
}

// count records the request as run, unless it was. The caller holds the lock.
func (c *runCounter) count() {
	if !c.counted && !c.sentAt.IsZero() {
		c.counted = true
		c.recorder.Record(c.customer, c.sentAt)
	}
}

// ended records how an attempt ended, or that its answer has begun.
func (c *runCounter) ended(err error) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	if began(err) {
		c.count()
	}
	if !c.counted {
		c.sentAt = time.Time{}
	}
}

// began reports whether an upstream began to run an attempt that was sent completely and ended
// with an error. It did unless it said that it did not.
func began(err error) bool {
	var status *engine.StatusError
	if errors.As(err, &status) {
		return !status.NotRun
	}
	var linkErr *link.Error
	return !errors.As(err, &linkErr) || linkErr.Stage == link.StageHeader || linkErr.Stage == link.StageBody
}
