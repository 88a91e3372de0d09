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
	// pollInterval is the mean time between two reads of an engine's load report.
	pollInterval  = 2 * time.Second
	pollTimeout   = time.Second
	maxPolls      = 16
	gaugeInterval = 2 * time.Second
	sweepInterval = time.Minute
)

// poll periodically reads the load reports of the engines in this node's subset.
func (n *Node) poll(ctx context.Context) {
	orders := platform.NewOrders()
	for ctx.Err() == nil {
		vms := n.selectUpstreams()
		work := pool.New().WithMaxGoroutines(maxPolls)
		for _, vm := range vms {
			work.Go(func() { n.pollOne(ctx, orders, vm) })
		}
		work.Wait()
		sleep.For(ctx, pollInterval/2+time.Duration(rand.Int64N(int64(pollInterval))))
	}
}

// selectUpstreams selects the subset of upstreams that this node sends requests
// to and returns the engines among them.
func (n *Node) selectUpstreams() []quetzalpier.VM {
	var engines []quetzalpier.VM
	n.Board.Do(func(s *board.State) {
		byPool := map[string][]string{}
		for id, u := range s.Upstreams {
			byPool[u.VM.Pool] = append(byPool[u.VM.Pool], id)
		}
		senders := sendingNodes(s)
		s.UsedUpstreams = map[string]bool{}
		for _, ids := range byPool {
			for _, id := range route.Subset(ids, senders, s.Self.ID) {
				s.UsedUpstreams[id] = true
				if vm := s.Upstreams[id].VM; vm.Kind == quetzalpier.KindEngine {
					engines = append(engines, vm)
				}
			}
		}
	})
	return engines
}

// sendingNodes returns the sorted ids of the nodes that send requests to upstreams.
func sendingNodes(s *board.State) []string {
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

func (n *Node) pollOne(ctx context.Context, orders quetzalpier.EngineOrders, vm quetzalpier.VM) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	state, err := orders.State(ctx, vm.Addr)
	if err != nil {
		return
	}
	becameLeaving := false
	n.Board.Do(func(s *board.State) {
		u := s.Upstreams[vm.ID]
		becameLeaving = u != nil && state.Leaving && !u.Leaving()
		s.SetReport(vm.ID, state, time.Now())
	})
	if becameLeaving {
		n.broadcastLeaving(vm.ID)
	}
}

// updateGauges periodically updates the gauges and removes expired sample copies.
func (n *Node) updateGauges(ctx context.Context) {
	swept := time.Now()
	for sleep.For(ctx, gaugeInterval) {
		n.Board.Do(func(s *board.State) {
			n.Meter.ConfigNumber.Set(float64(s.Config.Number))
			counts := map[string]int{}
			for _, m := range s.Members {
				counts[m.State.String()]++
			}
			for _, state := range []board.MemberState{board.Alive, board.Draining, board.Suspect, board.Failed} {
				n.Meter.Members.WithLabelValues(state.String()).Set(float64(counts[state.String()]))
			}
		})
		if now := time.Now(); n.store != nil && now.Sub(swept) > sweepInterval {
			swept = now
			n.store.Sweep(now)
		}
	}
}

func (n *Node) countControlBytes(received, sent int) {
	n.Meter.ControlBytes.WithLabelValues("received").Add(float64(received))
	n.Meter.ControlBytes.WithLabelValues("sent").Add(float64(sent))
}
