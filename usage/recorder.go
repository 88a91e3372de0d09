package usage

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quetzalpier/board"
	"quetzalpier/duty"
	"quetzalpier/meter"
	"quetzalpier/sleep"
	"quetzalpier/wire"
)

const (
	// sendInterval is the least time between two messages to the holder. A front that is
	// killed loses the runs of that time.
	sendInterval = 200 * time.Millisecond
	// sendTimeout limits a message to the holder, and maxSendPause the pause after failures:
	// the next holder must have all runs before it closes a window.
	sendTimeout  = 600 * time.Millisecond
	maxSendPause = time.Second
	// keepTime is how long a front keeps its runs for the next holder. The oldest window
	// that is due began 15 s ago, and a takeover takes 5 s at most.
	keepTime = 20 * time.Second
	// maxKept bounds the memory for runs: 20 s of all requests of the largest deployment at
	// one front.
	maxKept = 60_000
	// maxBatch limits the runs in one message, about 100 kB.
	maxBatch = 4000
)

// Recorder keeps the runs of customers' requests at a front and sends them to the holder of
// the duty. A nil Recorder records nothing.
type Recorder struct {
	Node    string
	Process uint64
	Board   *board.Board
	Meter   *meter.Meter
	Log     zerolog.Logger
	// Call sends a call to another node, and Local handles the messages to this one.
	Call  func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
	Local func(message *wire.Usage, now time.Time) *wire.Counted

	mu   sync.Mutex
	runs []run
	// first is the sequence number of the first of runs, and next that of the first one that
	// owner does not have.
	first uint64
	next  uint64
	owner board.Owner
	wake  chan struct{}
}

type run struct {
	customer string
	at       time.Time
}

// NewRecorder returns a Recorder for a process of a node, which begins now.
func NewRecorder(node string, now time.Time) *Recorder {
	return &Recorder{Node: node, Process: uint64(now.UnixNano()), wake: make(chan struct{}, 1)}
}

// Record records that an upstream began to run a request of a customer.
func (r *Recorder) Record(customer string, at time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	if len(r.runs) >= maxKept {
		r.drop(1)
	}
	r.runs = append(r.runs, run{customer, at})
	r.mu.Unlock()
	r.Meter.UsageRuns.WithLabelValues("recorded").Inc()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// drop removes the oldest runs. The caller holds the lock.
func (r *Recorder) drop(n int) {
	r.runs = r.runs[n:]
	r.first += uint64(n)
	if r.first > r.next {
		r.Meter.UsageRuns.WithLabelValues("unsent").Add(float64(r.first - r.next))
		r.next = r.first
	}
}

// Batch returns the next message to the owner of the duties' pool, or nil if there is nothing to
// send. A new owner gets all runs that are kept. kept is false if no runs are.
//
// Load pattern: every front handles a few requests a second, most of the time for the same
// holder.
func (r *Recorder) Batch(owner board.Owner, now time.Time) (message *wire.Usage, kept bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := 0
	for old < len(r.runs) && now.Sub(r.runs[old].at) > keepTime {
		old++
	}
	r.drop(old)
	if len(r.runs) == 0 {
		return nil, false
	}
	if owner != r.owner {
		r.owner, r.next = owner, r.first
	}
	pending := r.runs[r.next-r.first:]
	if owner.Node == "" || len(pending) == 0 {
		return nil, true
	}
	message = &wire.Usage{Node: r.Node, Process: r.Process, First: r.next, Clock: now.UnixMilli()}
	for _, run := range pending[:min(len(pending), maxBatch)] {
		message.Runs = append(message.Runs, &wire.Run{Customer: run.customer, Age: uint64(max(0, now.Sub(run.at).Milliseconds()))})
	}
	return message, true
}

// Sent records the reply to a message. It returns false if the node is not the holder.
func (r *Recorder) Sent(owner board.Owner, message *wire.Usage, reply *wire.Counted) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !reply.GetHolder() {
		return false
	}
	if owner == r.owner {
		end := r.first + uint64(len(r.runs))
		r.next = min(end, max(r.next, reply.GetNext(), message.GetFirst()+uint64(len(message.GetRuns()))))
	}
	return true
}

// Run sends the runs until ctx ends, and then what is left.
func (r *Recorder) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-r.wake:
		}
		for kept := true; kept && ctx.Err() == nil; {
			sleep.For(ctx, sleep.Backoff(failures, sendInterval, maxSendPause, 0))
			var err error
			if kept, err = r.send(context.WithoutCancel(ctx)); err == nil {
				failures = 0
				continue
			}
			if failures++; failures > 1 {
				r.Log.Warn().Err(err).Msg("runs of customers' requests could not be sent to the holder of the duty")
			}
		}
	}
	if _, err := r.send(context.Background()); err != nil {
		r.Log.Warn().Err(err).Msg("the last runs of customers' requests could not be sent to the holder of the duty")
	}
}

// send sends the next message. kept is false if no runs are kept.
func (r *Recorder) send(ctx context.Context) (kept bool, err error) {
	owner, addr, self := r.findOwner()
	message, kept := r.Batch(owner, time.Now())
	if message == nil {
		return kept, nil
	}
	var counted *wire.Counted
	if owner.Node == self {
		counted = r.Local(message, time.Now())
	} else {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		reply, err := r.Call(ctx, addr, &wire.Call{Kind: &wire.Call_Usage{Usage: message}})
		if err != nil {
			return true, err
		}
		counted = reply.GetCounted()
	}
	if !r.Sent(owner, message, counted) {
		return true, &NotHolderError{owner.Node}
	}
	return true, nil
}

// findOwner returns the owner of the duties' pool, its address, and this node.
func (r *Recorder) findOwner() (owner board.Owner, addr, self string) {
	r.Board.Do(func(s *board.State) {
		owner, self = s.Owners[duty.Pool(s)], s.Self.ID
		addr = s.Members[owner.Node].Peer
	})
	if addr == "" && owner.Node != self {
		return board.Owner{}, "", self
	}
	return owner, addr, self
}

// NotHolderError reports that a node does not take runs, since it does not know that it owns
// the pool of the duties, or runs an older build.
type NotHolderError struct{ Node string }

// Error implements error.
func (e *NotHolderError) Error() string { return e.Node + " does not hold the duty" }
