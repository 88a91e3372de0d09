package tunnel

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quetzalpier/board"
	"quetzalpier/reach"
	"quetzalpier/wire"
)

// raceTimeout limits a race: the lead of the node's own connection and the time that two
// further nodes take to fail.
const raceTimeout = 600 * time.Millisecond

// race opens a connection over the node's own path and through other nodes, one after the
// other with a lead each, until the first is established.
type race struct {
	dialer *Dialer
	id     string
	addr   string
	plan   reach.Plan

	startedAt time.Time
	// results takes the outcomes of attempts until done is closed.
	results chan result
	done    chan struct{}
	// pending are the attempts in progress, and ownPending whether the node's own is one.
	pending    int
	ownPending bool
	ownErr     error
	tunnelErr  error
	// partitioned is set if a node that was asked reaches no upstream, or was not reached, and
	// refused if the upstream refused the connection of one.
	partitioned bool
	refused     bool
}

// result is the outcome of one attempt.
type result struct {
	own  bool
	conn net.Conn
	err  error
}

func (r *race) run(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(r.done)
	if r.plan.Own {
		r.ownPending = true
		r.start(true, func() (net.Conn, error) { return r.dialer.dialOwn(ctx, r.id, r.addr) })
	}
	lead := time.NewTimer(r.plan.Lead)
	defer lead.Stop()
	limit := time.NewTimer(raceTimeout)
	defer limit.Stop()
	for {
		select {
		case <-ctx.Done():
			if r.ownPending && time.Since(r.startedAt) > reach.OwnLead {
				r.dialer.Paths.Failed(r.id, ctx.Err(), time.Now())
			}
			return nil, ctx.Err()
		case <-limit.C:
			if r.ownPending {
				r.dialer.Paths.Failed(r.id, errors.Errorf("no connection after %s", raceTimeout), time.Now())
			}
			return nil, r.lost()
		case <-lead.C:
			r.askNext(ctx)
			lead.Reset(helperLead)
		case got := <-r.results:
			if got.err == nil {
				return r.won(got), nil
			}
			r.failed(got)
			if !r.askNext(ctx) && r.pending == 0 {
				return nil, r.lost()
			}
		}
	}
}

// start starts an attempt. Its connection is closed if the race is over.
func (r *race) start(own bool, open func() (net.Conn, error)) {
	r.pending++
	r.dialer.attempts.Go(func() {
		conn, err := open()
		select {
		case r.results <- result{own, conn, err}:
		case <-r.done:
			if err == nil {
				_ = conn.Close()
			}
		}
	})
}

// askNext asks the next node for a tunnel. It returns false if there is none.
func (r *race) askNext(ctx context.Context) bool {
	if len(r.plan.Helpers) == 0 {
		return false
	}
	helper := r.plan.Helpers[0]
	r.plan.Helpers = r.plan.Helpers[1:]
	r.start(false, func() (net.Conn, error) {
		conn, err := r.dialer.openTunnel(ctx, r.id, helper)
		if err != nil {
			return nil, err
		}
		return conn, nil
	})
	return true
}

// won records that a connection was established. If it leads through another node, the
// node's own path has failed, or not come up in the lead that it had.
func (r *race) won(got result) net.Conn {
	now := time.Now()
	switch {
	case got.own:
	case r.ownPending:
		r.dialer.Paths.Failed(r.id, errors.New("another node was faster by the lead"), now)
	case r.ownErr != nil:
		r.dialer.Paths.Failed(r.id, r.ownErr, now)
	}
	return got.conn
}

func (r *race) failed(got result) {
	r.pending--
	if got.own {
		r.ownPending, r.ownErr = false, got.err
		return
	}
	r.tunnelErr = got.err
	var unopened *unopenedError
	switch {
	case !errors.As(got.err, &unopened), unopened.Outcome == wire.Opened_PARTITIONED, unopened.Outcome == wire.Opened_BUSY:
		r.partitioned = true
	case unopened.Outcome == wire.Opened_REFUSED:
		r.refused = true
	}
}

// lost returns the error of a race in which no connection was established. If this node is
// refused and no other node confirms it, the path counts as lost.
func (r *race) lost() error {
	now := time.Now()
	if errors.Is(r.ownErr, syscall.ECONNREFUSED) && !r.refused {
		r.dialer.Paths.Failed(r.id, r.ownErr, now)
	}
	if !r.partitioned {
		r.dialer.Board.Do(func(s *board.State) { reach.RecordNoDetour(s, r.id, now) })
	}
	if r.ownErr != nil && r.tunnelErr != nil {
		return errors.Wrapf(r.ownErr, "%v, and of this node's own connection", r.tunnelErr)
	}
	if r.ownErr != nil {
		return r.ownErr
	}
	if r.tunnelErr != nil {
		return errors.Wrap(r.dialer.noPath(r.id), r.tunnelErr.Error())
	}
	return r.dialer.noPath(r.id)
}
