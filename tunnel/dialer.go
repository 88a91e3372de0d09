package tunnel

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/meter"
	"quetzalpier/peer"
	"quetzalpier/reach"
	"quetzalpier/sleep"
	"quetzalpier/wire"
)

const (
	// openTimeout limits the request for a tunnel: the dial of the other node, and a margin
	// for the way there. helperLead is the lead of each node asked over the next one.
	openTimeout = serveDialTimeout + 150*time.Millisecond
	helperLead  = 100 * time.Millisecond
	// retryInterval is the time between two rounds in which connections over lost paths are
	// tried, maxRetries at a time.
	retryInterval = 100 * time.Millisecond
	maxRetries    = 4
)

// Dialer opens connections to upstreams, and through other nodes where this node does not
// reach one. It implements quetzalpier.Dialer.
type Dialer struct {
	Board *board.Board
	Paths *reach.Recorder
	Meter *meter.Meter
	// Own opens a connection of the node's own, and OpenStream makes a call to another node
	// whose stream goes on after the reply.
	Own        func(ctx context.Context, addr string) (net.Conn, error)
	OpenStream func(ctx context.Context, addr string, call *wire.Call) (*peer.Stream, *wire.Reply, error)

	// attempts are those of all races, also those that others have won.
	attempts conc.WaitGroup

	// OnLost is called with the address of an upstream whose connections bring nothing any
	// more.
	OnLost func(addr string)

	mu     sync.Mutex
	rnd    *rand.Rand
	checks map[string]*check
	// refusals are when the refusal of each upstream was last checked.
	refusals map[string]time.Time
}

var _ quetzalpier.Dialer = (*Dialer)(nil)

// NewDialer returns a Dialer whose random choices are seeded with seed.
func NewDialer(b *board.Board, seed uint64) *Dialer {
	return &Dialer{Board: b, OnLost: func(string) {}, rnd: rand.New(rand.NewPCG(seed, seed)), checks: map[string]*check{}, refusals: map[string]time.Time{}}
}

// unopenedError reports that another node opened no connection.
type unopenedError struct {
	Helper  string
	Outcome wire.Opened_Outcome
	Text    string
}

// Error implements error.
func (e *unopenedError) Error() string {
	return "tunnel through " + e.Helper + ": " + e.Outcome.String() + ": " + e.Text
}

// Dial implements quetzalpier.Dialer.
func (d *Dialer) Dial(ctx context.Context, id, addr string, direct bool) (net.Conn, error) {
	if direct {
		conn, err := d.dialOwn(ctx, id, addr)
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.checkRefusal(id, err, time.Now())
		}
		return conn, err
	}
	plan := d.choose(id, time.Now())
	switch {
	case len(plan.Helpers) > 0:
	case plan.Own:
		return d.dialOwn(ctx, id, addr)
	default:
		return nil, d.noPath(id)
	}
	r := &race{dialer: d, id: id, addr: addr, plan: plan, startedAt: time.Now(), results: make(chan result), done: make(chan struct{})}
	return r.run(ctx)
}

func (d *Dialer) choose(id string, now time.Time) (plan reach.Plan) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Board.Do(func(s *board.State) { plan = reach.Choose(s, id, now, d.rnd) })
	return plan
}

func (d *Dialer) noPath(id string) error {
	err := &quetzalpier.NoPathError{Upstream: id}
	d.Board.Do(func(s *board.State) {
		if u := s.Upstreams[id]; u != nil {
			err.Partitioned = reach.Partitioned(s, u.VM.Pool)
		}
	})
	return err
}

// dialOwn opens a connection of the node's own, and records whether the path works. A
// refusal may be that of the upstream or of something on the way, and is not recorded.
func (d *Dialer) dialOwn(ctx context.Context, id, addr string) (net.Conn, error) {
	conn, err := d.Own(ctx, addr)
	switch {
	case err == nil:
		d.Paths.Reached(id, time.Now())
	case ctx.Err() == nil && !errors.Is(err, syscall.ECONNREFUSED):
		d.Paths.Failed(id, err, time.Now())
	}
	return conn, err
}

// openTunnel opens a connection through another node.
func (d *Dialer) openTunnel(ctx context.Context, id string, helper board.Member) (*Conn, error) {
	callCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, reply, err := d.OpenStream(callCtx, helper.Peer, &wire.Call{Kind: &wire.Call_Tunnel{Tunnel: &wire.Tunnel{Upstream: id}}})
	outcome := reply.GetOpened().GetOutcome()
	switch {
	case err != nil && ctx.Err() != nil:
		// The request has ended, which says nothing of the other node.
		return nil, err
	case err != nil:
		d.Board.Do(func(s *board.State) { reach.AvoidHelper(s, helper.ID, time.Now()) })
		d.Meter.Tunnels.WithLabelValues("opened", "failed").Inc()
		return nil, err
	}
	d.Meter.Tunnels.WithLabelValues("opened", outcome.String()).Inc()
	if outcome != wire.Opened_OPEN || reply.GetOpened() == nil {
		stream.Close()
		if outcome == wire.Opened_PARTITIONED || outcome == wire.Opened_BUSY {
			d.Board.Do(func(s *board.State) { reach.AvoidHelper(s, helper.ID, time.Now()) })
		}
		return nil, &unopenedError{Helper: helper.ID, Outcome: outcome, Text: reply.GetOpened().GetText() + reply.GetFault()}
	}
	openedAt := time.Now()
	d.Board.Do(func(s *board.State) { reach.RecordHelper(s, helper.ID, openedAt) })
	trusted := func() (trusted bool) {
		d.Board.Do(func(s *board.State) { trusted = reach.Trusted(s, helper.ID, openedAt) })
		return trusted
	}
	return &Conn{stream: stream, helper: helper.ID, remote: &net.TCPAddr{}, trusted: trusted}, nil
}

// Run tries connections over the lost paths until ctx ends, so that no request has to.
func (d *Dialer) Run(ctx context.Context) {
	defer d.attempts.Wait()
	busy := make(chan struct{}, maxRetries)
	trying := map[string]bool{}
	var mu sync.Mutex
	for sleep.For(ctx, retryInterval) {
		for _, vm := range d.due(time.Now()) {
			mu.Lock()
			started := trying[vm.ID]
			trying[vm.ID] = true
			mu.Unlock()
			if started {
				continue
			}
			select {
			case busy <- struct{}{}:
			default:
				mu.Lock()
				delete(trying, vm.ID)
				mu.Unlock()
				continue
			}
			d.attempts.Go(func() {
				d.retry(ctx, vm)
				mu.Lock()
				delete(trying, vm.ID)
				mu.Unlock()
				<-busy
			})
		}
	}
}

func (d *Dialer) due(now time.Time) (vms []quetzalpier.VM) {
	d.Board.Do(func(s *board.State) {
		for _, u := range reach.Due(s, now) {
			vms = append(vms, u.VM)
		}
	})
	return vms
}

// retry tries a connection over a lost path.
func (d *Dialer) retry(ctx context.Context, vm quetzalpier.VM) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	conn, err := d.Own(ctx, vm.Addr)
	if err != nil {
		d.Paths.Failed(vm.ID, err, time.Now())
		return
	}
	_ = conn.Close()
	d.Paths.Reached(vm.ID, time.Now())
}
