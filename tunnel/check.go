package tunnel

import (
	"context"
	"maps"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/reach"
	"quetzalpier/wire"
)

const (
	// checkTimeout limits the connection that shows whether a path works, and checkValid is
	// how long its result holds.
	checkTimeout = 200 * time.Millisecond
	checkValid   = 500 * time.Millisecond
	// refusalInterval is the time between two checks of the refusals of an upstream, and
	// maxSample how many upstreams of a pool are tried to find out whether it is reached.
	refusalInterval = time.Second
	maxSample       = 3
)

// check is a test of the path to an upstream. It is done once ended is closed.
type check struct {
	ended   chan struct{}
	endedAt time.Time
	sound   bool
}

// expired reports whether the result no longer holds. The caller holds the Dialer's lock.
func (c *check) expired(now time.Time) bool {
	return !c.endedAt.IsZero() && now.Sub(c.endedAt) > checkValid
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
	if c == nil || c.expired(time.Now()) {
		maps.DeleteFunc(d.checks, func(_ string, old *check) bool { return old.expired(time.Now()) })
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
	maps.DeleteFunc(d.refusals, func(_ string, at time.Time) bool { return now.Sub(at) >= refusalInterval })
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
