package soak

import (
	"context"
	"math"
	"net/http"
	"slices"
	"syscall"
	"time"

	"quetzalpier/lease"
	"quetzalpier/sleep"
	"quetzalpier/stand"
	"quetzalpier/vault"
)

const (
	// minRefusalTime and maxRefusalTime bound how long the key-value service refuses
	// nodes, and minCalm and maxCalm the pauses between its faults: some are long
	// enough for the nodes to be in touch again.
	minRefusalTime = 2 * time.Second
	maxRefusalTime = 6 * time.Second
	minCalm        = 500 * time.Millisecond
	maxCalm        = 7 * time.Second
	// heldWatchTime is how long watches hear nothing before they are cut.
	heldWatchTime = time.Second
	// usualAnswerTime is the time of the key-value service for an answer. Slow answers
	// take 50 to 200 times as long.
	usualAnswerTime = 2 * time.Millisecond
)

// runStoreFaults injects faults of the key-value service that concern only some nodes
// or only what they watch, also while the owner of a pool is lost.
func (f *faultInjector) runStoreFaults(ctx context.Context, total time.Duration) {
	both := func(ctx context.Context) { f.refuseNodes(ctx); f.dropHistory(ctx) }
	kinds := []func(context.Context){
		f.refuseNodes, f.dropHistory, f.slowAnswers, f.failRewards, f.pausePeers, both,
		func(ctx context.Context) { f.refuseNodes(ctx); f.loseOwner(ctx) },
		func(ctx context.Context) { f.loseOwner(ctx); both(ctx) },
	}
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		kinds[f.rnd.IntN(len(kinds))](ctx)
		sleep.For(ctx, f.draw(minCalm, maxCalm))
	}
	f.pending.Wait()
}

func (f *faultInjector) draw(least, most time.Duration) time.Duration {
	return least + time.Duration(f.rnd.Int64N(int64(most-least)))
}

// drawNodes returns some of the nodes, but not all, with the first ones given.
func (f *faultInjector) drawNodes(first ...*Node) (drawn, others []*Node) {
	nodes := slices.DeleteFunc(f.rig.nodes(), func(n *Node) bool { return slices.Contains(first, n) })
	f.rnd.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	nodes = append(slices.Clone(first), nodes...)
	count := max(1, len(first)) + f.rnd.IntN(len(nodes)-max(1, len(first)))
	return nodes[:count], nodes[count:]
}

// refuseNodes makes the key-value service refuse some of the nodes, but not all.
func (f *faultInjector) refuseNodes(ctx context.Context) {
	refused, _ := f.drawNodes()
	f.refuse(ctx, refused)
}

// pausePeers makes the key-value service refuse the owner of the engines, and pauses
// some nodes through which it may call the service meanwhile for longer.
func (f *faultInjector) pausePeers(ctx context.Context) {
	owner := f.rig.Owner(ctx)
	if owner == nil {
		return
	}
	refused, others := f.drawNodes(owner)
	f.refuse(ctx, refused)
	sleep.For(ctx, minRefusalTime/2)
	for _, n := range others[:1+f.rnd.IntN(len(others))] {
		if n.disturbed.CompareAndSwap(false, true) {
			f.pause(ctx, n, f.draw(maxRefusalTime, maxRefusalTime+contactTime))
		}
	}
}

func (f *faultInjector) refuse(ctx context.Context, nodes []*Node) {
	kinds := []struct {
		name   string
		faults stand.KVFaults
	}{
		{"503", stand.KVFaults{RefusalStatus: http.StatusServiceUnavailable}},
		{"429", stand.KVFaults{RefusalStatus: http.StatusTooManyRequests}},
		{"reset", stand.KVFaults{Reset: true}},
		{"silent", stand.KVFaults{Silent: true}},
	}
	kind := kinds[f.rnd.IntN(len(kinds))]
	duration := f.draw(minRefusalTime, maxRefusalTime)
	for _, n := range nodes {
		f.logFault("refuse "+kind.name, n.Settings.Name, duration)
		n.KV.SetFaults(kind.faults)
		switch {
		case kind.faults.Reset:
			n.KV.FaultListener.CloseConns()
		case kind.faults.Silent:
			// A connection on which an answer is lost returns nothing more, also later.
			n.KV.FaultListener.Silence()
		}
		f.revertAfter(ctx, duration, func() { n.KV.SetFaults(stand.KVFaults{}) })
	}
}

// dropHistory makes watches hear nothing for a time, then discards the history and
// cuts them.
func (f *faultInjector) dropHistory(ctx context.Context) {
	f.logFault("drop history", storeTarget, heldWatchTime)
	f.rig.KV.HoldWatches()
	f.revertAfter(ctx, heldWatchTime, f.rig.KV.CutWatches)
}

// slowAnswers delays all answers of the key-value service.
func (f *faultInjector) slowAnswers(ctx context.Context) {
	duration := f.draw(minRefusalTime, maxRefusalTime)
	delay := f.draw(50*usualAnswerTime, 200*usualAnswerTime)
	f.logFault("slow answers", storeTarget, duration)
	for _, n := range f.rig.nodes() {
		n.KV.SetFaults(stand.KVFaults{DelayMs: int(delay.Milliseconds())})
		f.revertAfter(ctx, duration, func() { n.KV.SetFaults(stand.KVFaults{}) })
	}
}

// failRewards makes the reward services answer with an error, so that jobs end while
// their tasks wait for scores. No node is out of touch for that.
func (f *faultInjector) failRewards(ctx context.Context) {
	duration := f.draw(minRefusalTime, maxRefusalTime)
	for _, w := range f.rig.Plains {
		f.logFault("fail rewards", w.ID, duration)
		w.SetFaults(stand.WorkerFaults{Status: http.StatusBadGateway, StatusCount: math.MaxInt})
		f.revertAfter(ctx, duration, func() { w.SetFaults(stand.WorkerFaults{}) })
	}
}

// loseOwner kills or pauses the node that owns the pool of engines.
func (f *faultInjector) loseOwner(ctx context.Context) {
	owner := f.rig.Owner(ctx)
	duration := f.draw(minFaultTime, maxRefusalTime)
	if owner == nil || !owner.disturbed.CompareAndSwap(false, true) {
		return
	}
	if f.rnd.IntN(2) == 0 {
		f.pause(ctx, owner, duration)
		return
	}
	f.logFault("kill", owner.Settings.Name, duration)
	owner.Kill()
	f.revertAfter(ctx, duration, func() { f.restart(owner) })
}

// Owner returns the node that owns the pool of engines, or nil if there is none.
func (r *Rig) Owner(ctx context.Context) *Node { return r.ownerOf(ctx, poolLM) }

func (r *Rig) ownerOf(ctx context.Context, pool string) *Node {
	entry, err := r.KV.Get(ctx, vault.Owners+pool)
	if err != nil {
		return nil
	}
	for _, n := range r.nodes() {
		if n.Settings.Name == lease.Owner(entry.Value) {
			return n
		}
	}
	return nil
}

// pause pauses a node for a time. The caller has marked it as disturbed.
func (f *faultInjector) pause(ctx context.Context, n *Node, duration time.Duration) {
	f.logFault("pause", n.Settings.Name, duration)
	n.Signal(syscall.SIGSTOP)
	f.revertAfter(ctx, duration, func() {
		n.Signal(syscall.SIGCONT)
		n.disturbed.Store(false)
	})
}
