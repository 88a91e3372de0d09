package node

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/sourcegraph/conc/pool"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/peer"
	"quetzalpier/platform"
	"quetzalpier/route"
	"quetzalpier/setup"
	"quetzalpier/sleep"
)

const (
	// pollEvery is the time between two load reports of an engine.
	pollEvery   = 2 * time.Second
	pollTimeout = time.Second
	pollers     = 16
	gaugeEvery  = 2 * time.Second
	sweepEvery  = time.Minute
)

// poll reads the load reports of the engines that this node works with.
func (n *Node) poll(ctx context.Context) {
	orders := platform.NewOrders()
	for ctx.Err() == nil {
		vms := n.near()
		work := pool.New().WithMaxGoroutines(pollers)
		for _, vm := range vms {
			work.Go(func() { n.pollOne(ctx, orders, vm) })
		}
		work.Wait()
		sleep.For(ctx, pollEvery/2+time.Duration(rand.Int64N(int64(pollEvery))))
	}
}

// near settles which upstreams this node works with, and returns the engines
// among them.
func (n *Node) near() []quetzalpier.VM {
	var engines []quetzalpier.VM
	n.Board.Do(func(s *board.State) {
		byPool := map[string][]string{}
		for id, u := range s.Upstreams {
			byPool[u.VM.Pool] = append(byPool[u.VM.Pool], id)
		}
		gates := senders(s)
		s.Near = map[string]bool{}
		for _, ids := range byPool {
			for _, id := range route.Subset(ids, gates, s.Self.ID) {
				s.Near[id] = true
				if vm := s.Upstreams[id].VM; vm.Kind == quetzalpier.KindEngine {
					engines = append(engines, vm)
				}
			}
		}
	})
	return engines
}

// senders returns the nodes that send requests to upstreams, sorted.
func senders(s *board.State) []string {
	seen := map[string]bool{}
	var ids []string
	for _, role := range []string{setup.RoleGate, setup.RoleStep} {
		for _, id := range peer.Usable(s, role) {
			if !seen[id] {
				seen[id] = true
				ids = append(ids, id)
			}
		}
	}
	sort.Strings(ids)
	return ids
}

func (n *Node) pollOne(ctx context.Context, orders quetzalpier.Orders, vm quetzalpier.VM) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	state, err := orders.State(ctx, vm.Addr)
	if err != nil {
		return
	}
	left := false
	n.Board.Do(func(s *board.State) {
		u := s.Upstreams[vm.ID]
		left = u != nil && state.Leaving && !u.Leaving()
		s.SetReport(vm.ID, state, time.Now())
	})
	if left {
		n.leaving(vm.ID)
	}
}

// gauge keeps the gauges current and the copies swept.
func (n *Node) gauge(ctx context.Context) {
	swept := time.Now()
	for sleep.For(ctx, gaugeEvery) {
		n.Board.Do(func(s *board.State) {
			n.Meter.Number.Set(float64(s.Config.Number))
			counts := map[string]int{}
			for _, m := range s.Members {
				counts[m.State.String()]++
			}
			for _, state := range []board.MemberState{board.Alive, board.Draining, board.Suspect, board.Out} {
				n.Meter.Members.WithLabelValues(state.String()).Set(float64(counts[state.String()]))
			}
		})
		if now := time.Now(); n.store != nil && now.Sub(swept) > sweepEvery {
			swept = now
			n.store.Sweep(now)
		}
	}
}

func (n *Node) countControl(received, sent int) {
	n.Meter.Control.WithLabelValues("received").Add(float64(received))
	n.Meter.Control.WithLabelValues("sent").Add(float64(sent))
}
