package tunnel

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
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
	// checkTimeout limits the connection that shows whether a path works, and checkValid is
	// how long its result holds.
	checkTimeout = 200 * time.Millisecond
	checkValid   = 500 * time.Millisecond
	// refusalInterval is the time between two checks of the refusals of an upstream, and
	// maxSample how many upstreams of a pool are tried to find out whether it is reached.
	refusalInterval = time.Second
	maxSample       = 3
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
	Log   zerolog.Logger
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

// check is a test of the path to an upstream. It is done once ended is closed.
type check struct {
	ended   chan struct{}
	endedAt time.Time
	sound   bool
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
	plan := d.choose(id, time.Now())
	if direct || plan.Own && len(plan.Helpers) == 0 {
		conn, err := d.dialOwn(ctx, id, addr)
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.checkRefusal(id, err, time.Now())
		}
		return conn, err
	}
	if !plan.Own && len(plan.Helpers) == 0 {
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

// dialOwn opens a connection of the node's own. A refused one shows that the VM is reached.
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

// Sound implements quetzalpier.Dialer. Several connections to an upstream share one check.
func (d *Dialer) Sound(ctx context.Context, id, addr string, conn net.Conn) bool {
	key, through := id, ""
	if t, ok := conn.(*Conn); ok {
		through = t.helper
		key += " " + through
	}
	d.mu.Lock()
	c := d.checks[key]
	if c == nil || !c.endedAt.IsZero() && time.Since(c.endedAt) > checkValid {
		c = &check{ended: make(chan struct{})}
		d.checks[key] = c
		d.attempts.Go(func() {
			sound := d.checkPath(id, addr, through)
			d.mu.Lock()
			c.sound, c.endedAt = sound, time.Now()
			d.mu.Unlock()
			close(c.ended)
			if !sound && through == "" {
				d.OnLost(addr)
				d.checkNext(id)
			}
		})
	}
	d.mu.Unlock()
	select {
	case <-c.ended:
		return c.sound
	case <-ctx.Done():
		return true
	}
}

// checkNext checks other paths after one was found to be lost, since a partition loses many
// at once.
//
// Load pattern: a node is partitioned from all upstreams, and each of its kept connections
// would hold up a request until that is found out.
func (d *Dialer) checkNext(id string) {
	var next []quetzalpier.VM
	d.Board.Do(func(s *board.State) { next = reach.Next(s, id) })
	for _, vm := range next {
		d.attempts.Go(func() { d.Sound(context.Background(), vm.ID, vm.Addr, nil) })
	}
}

// checkPath reports whether a new connection over the path of an earlier one is established
// or refused, which shows that the path works.
func (d *Dialer) checkPath(id, addr, through string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	if through == "" {
		conn, err := d.Own(ctx, addr)
		if err == nil {
			_ = conn.Close()
			d.Paths.Reached(id, time.Now())
			return true
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.checkRefusal(id, err, time.Now())
			return true
		}
		d.Paths.Failed(id, errors.Wrap(err, "silent connection"), time.Now())
		return false
	}
	var helper board.Member
	d.Board.Do(func(s *board.State) { helper = s.Members[through] })
	conn, err := d.openTunnel(ctx, id, helper)
	if err == nil {
		_ = conn.Close()
		return true
	}
	var unopened *unopenedError
	if errors.As(err, &unopened) {
		return unopened.Outcome == wire.Opened_REFUSED || unopened.Outcome == wire.Opened_BUSY
	}
	d.Board.Do(func(s *board.State) { reach.AvoidHelper(s, through, time.Now()) })
	return false
}

// Refuses implements quetzalpier.Dialer. A node that is partitioned from the upstream can't
// tell a process that has gone from a path that is lost, so others are asked, of several
// failure domains: the first ones may be partitioned as well.
func (d *Dialer) Refuses(ctx context.Context, id, addr string) bool {
	ownCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	conn, err := d.dialOwn(ownCtx, id, addr)
	cancel()
	if err == nil {
		_ = conn.Close()
		return false
	}
	confirmed := false
	d.Board.Do(func(s *board.State) { confirmed = len(s.Members) <= 1 })
	for _, witness := range d.witnesses(time.Now()) {
		tunnel, err := d.openTunnel(ctx, id, witness)
		if err == nil {
			_ = tunnel.Close()
			return false
		}
		var unopened *unopenedError
		if errors.As(err, &unopened) && (unopened.Outcome == wire.Opened_REFUSED || unopened.Outcome == wire.Opened_UNREACHED) {
			confirmed = true
		}
	}
	return confirmed
}

// checkRefusal finds out whether an upstream that refused a connection of this node's own
// accepts those of others, so that the path is lost. It returns at once.
func (d *Dialer) checkRefusal(id string, refusal error, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.refusals[id]) < refusalInterval {
		return
	}
	d.refusals[id] = now
	d.attempts.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
		defer cancel()
		for _, helper := range d.witnesses(time.Now()) {
			if conn, err := d.openTunnel(ctx, id, helper); err == nil {
				_ = conn.Close()
				d.Paths.Failed(id, refusal, time.Now())
				d.checkNext(id)
				return
			}
		}
	})
}

func (d *Dialer) witnesses(now time.Time) (list []board.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Board.Do(func(s *board.State) { list = reach.Witnesses(s, now, d.rnd) })
	return list
}

// Suspect has the path to an upstream checked that failed a call. It returns at once.
func (d *Dialer) Suspect(vm quetzalpier.VM) {
	d.attempts.Go(func() { d.Sound(context.Background(), vm.ID, vm.Addr, nil) })
}

// Reaches reports whether this node reaches upstreams of a pool, or can't tell: a new
// connection to one of a few is established or refused, or there is none.
func (d *Dialer) Reaches(ctx context.Context, pool string) bool {
	vms := d.sample(pool)
	sound := make(chan bool, len(vms))
	for _, vm := range vms {
		d.attempts.Go(func() { sound <- d.Sound(ctx, vm.ID, vm.Addr, nil) })
	}
	for range vms {
		if <-sound {
			return true
		}
	}
	return len(vms) == 0
}

// ReachedElsewhere reports whether another node reaches upstreams of a pool.
func (d *Dialer) ReachedElsewhere(ctx context.Context, pool string) bool {
	for _, helper := range d.witnesses(time.Now()) {
		for _, vm := range d.sample(pool) {
			if conn, err := d.openTunnel(ctx, vm.ID, helper); err == nil {
				_ = conn.Close()
				return true
			}
		}
	}
	return false
}

// sample returns a few upstreams of a pool that stay.
func (d *Dialer) sample(pool string) (vms []quetzalpier.VM) {
	d.Board.Do(func(s *board.State) {
		for _, u := range s.Upstreams {
			if u.VM.Pool == pool && !u.Leaving() && len(vms) < maxSample {
				vms = append(vms, u.VM)
			}
		}
	})
	return vms
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
