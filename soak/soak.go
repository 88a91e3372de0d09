package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/stand"
	"quetzalpier/vault"
)

const (
	// settleTime is how long a run goes on without faults before its end, and
	// readyTime how long the processes have to become ready.
	settleTime = 12 * time.Second
	readyTime  = 15 * time.Second
	faultLeast = 300 * time.Millisecond
	faultMore  = 1500 * time.Millisecond
	// lastLeast and lastMore bound how long a fault lasts.
	lastLeast = 400 * time.Millisecond
	lastMore  = 3 * time.Second
)

// Plan is a run of faults.
type Plan struct {
	Seed uint64
	For  time.Duration
	Log  zerolog.Logger
}

// Run injects faults drawn from the seed for the given time, lets the
// deployment settle, and returns what was seen.
func Run(ctx context.Context, r *Rig, plan Plan) *Ledger {
	ledger := newLedger()
	f := &faults{rig: r, ledger: ledger, rnd: rand.New(rand.NewPCG(plan.Seed, 2)), log: plan.Log}
	r.watch(ctx, ledger, plan.Seed, plan.For+settleTime, func() { f.run(ctx, plan.For) })
	return ledger
}

// RunWith runs callers for the given time beside a script of faults.
func RunWith(ctx context.Context, r *Rig, seed uint64, span time.Duration, disturb func()) *Ledger {
	ledger := newLedger()
	r.watch(ctx, ledger, seed, span, disturb)
	return ledger
}

// watch runs callers beside the faults and checks what they see.
func (r *Rig) watch(ctx context.Context, ledger *Ledger, seed uint64, span time.Duration, disturb func()) {
	if !r.Ready(ctx, readyTime) {
		ledger.breach("the deployment did not become ready within %s", readyTime)
		return
	}
	work, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	var callers conc.WaitGroup
	callers.Go(func() { newTrainer(r, ledger, seed).run(work) })
	callers.Go(func() { newTrainer(r, ledger, seed+1).views(work) })
	disturb()
	callers.Wait()
	r.checkRuns(ledger)
}

// Ready waits until all fronts say that they are ready.
func (r *Rig) Ready(ctx context.Context, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); sleep.For(ctx, pollPause) {
		ready := 0
		for _, n := range r.Fronts {
			resp, err := client.Get("http://" + n.Settings.Ready + platform.PathReady)
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(r.Fronts) {
			return true
		}
	}
	return false
}

// checkRuns holds what the engines saw to the promises.
func (r *Rig) checkRuns(l *Ledger) {
	ran := map[string]bool{}
	for _, e := range r.Engines {
		for _, run := range e.Runs() {
			ran[run.ID] = true
		}
		for _, fault := range e.Turns(r.Stores[0].Settings.OrderInterval.D()) {
			l.breach("%s", fault)
		}
	}
	for _, n := range append(append([]*Node(nil), r.Fronts...), r.Stores...) {
		if n.strayed.Load() {
			l.breach("%s ended by itself", n.Settings.Name)
		}
		for _, fault := range n.Faults() {
			l.breach("%s logged %q", n.Settings.Name, fault)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, seen := range l.jobs {
		for _, task := range seen.job.Tasks {
			if !seen.accepted && seen.promised && ran[task.ID] {
				l.Broken = append(l.Broken, fmt.Sprintf("job %s was refused at every attempt, and task %s has run", id, task.ID))
			}
		}
	}
}

// faults injects faults until its time is over, then mends everything.
type faults struct {
	rig    *Rig
	ledger *Ledger
	rnd    *rand.Rand
	log    zerolog.Logger
	busy   conc.WaitGroup
}

func (f *faults) run(ctx context.Context, span time.Duration) {
	kinds := []func(context.Context, time.Duration){f.process, f.process, f.link, f.link, f.store, f.worker}
	for end := time.Now().Add(span); time.Now().Before(end) && ctx.Err() == nil; {
		last := lastLeast + time.Duration(f.rnd.Int64N(int64(lastMore-lastLeast)))
		kind := kinds[f.rnd.IntN(len(kinds))]
		kind(ctx, last)
		sleep.For(ctx, faultLeast+time.Duration(f.rnd.Int64N(int64(faultMore-faultLeast))))
	}
	f.busy.Wait()
	f.rig.KV.SetFaults(stand.KVFaults{})
}

// later mends a fault after its time.
func (f *faults) later(ctx context.Context, after time.Duration, mend func()) {
	f.busy.Go(func() {
		sleep.For(ctx, after)
		mend()
	})
}

func (f *faults) note(kind, target string, last time.Duration) {
	f.log.Info().Str("fault", kind).Str("target", target).Dur("for_ms", last).Msg("fault")
}

// process kills, stops or pauses a node and starts it again.
func (f *faults) process(ctx context.Context, last time.Duration) {
	nodes := f.rig.Stores
	if f.rnd.IntN(2) == 0 {
		nodes = f.rig.Fronts
	}
	n := nodes[f.rnd.IntN(len(nodes))]
	if !n.busy.CompareAndSwap(false, true) {
		return
	}
	switch f.rnd.IntN(3) {
	case 0:
		f.note("kill", n.Settings.Name, last)
		n.Kill()
		f.later(ctx, last, func() { f.start(n) })
	case 1:
		f.note("stop", n.Settings.Name, last)
		f.busy.Go(func() {
			if !n.Stop() {
				f.ledger.breach("%s did not end within its grace", n.Settings.Name)
			}
			f.start(n)
		})
	default:
		f.note("pause", n.Settings.Name, last)
		n.Signal(syscall.SIGSTOP)
		f.later(ctx, last, func() {
			n.Signal(syscall.SIGCONT)
			n.busy.Store(false)
		})
	}
}

func (f *faults) start(n *Node) {
	if err := n.Start(); err != nil {
		f.ledger.breach("%s not started: %v", n.Settings.Name, err)
	}
	n.busy.Store(false)
}

// link disturbs a node's way to the key-value service.
func (f *faults) link(ctx context.Context, last time.Duration) {
	nodes := append(append([]*Node(nil), f.rig.Stores...), f.rig.Fronts...)
	n := nodes[f.rnd.IntN(len(nodes))]
	mode := []Mode{Delay, Reset, Silence, Cut, OneWay}[f.rnd.IntN(5)]
	f.note("link "+string(mode), n.Settings.Name, last)
	n.Link.Set(mode)
	f.later(ctx, last, func() { n.Link.Set(Pass) })
}

// store disturbs the key-value service itself.
func (f *faults) store(ctx context.Context, last time.Duration) {
	kv := f.rig.KV
	kind := []string{"out", "slow", "lose", "compact", "revoke"}[f.rnd.IntN(5)]
	f.note("store "+kind, "", last)
	switch kind {
	case "out":
		kv.SetFaults(stand.KVFaults{Out: true})
	case "slow":
		kv.SetFaults(stand.KVFaults{Slow: 200})
	case "lose":
		kv.SetFaults(stand.KVFaults{Lose: 3})
	case "compact":
		kv.Compact()
		return
	case "revoke":
		f.rig.RevokeOwners(ctx)
		return
	}
	f.later(ctx, last, func() { kv.SetFaults(stand.KVFaults{}) })
}

// RevokeOwners takes the owners' keys away, as the end of their leases would.
func (r *Rig) RevokeOwners(ctx context.Context) {
	found, err := r.KV.Range(ctx, vault.Owners, false)
	if err != nil {
		return
	}
	for _, e := range found.Entries {
		r.KV.Revoke(e.Key)
	}
}

// Outage makes the key-value service fail for a time.
func (r *Rig) Outage(last time.Duration) {
	r.KV.SetFaults(stand.KVFaults{Out: true})
	time.Sleep(last)
	r.KV.SetFaults(stand.KVFaults{})
}

// LoseAnswers makes the key-value service lose the answers of its next writes.
func (r *Rig) LoseAnswers(n int) { r.KV.SetFaults(stand.KVFaults{Lose: n}) }

// worker disturbs an upstream.
func (f *faults) worker(ctx context.Context, last time.Duration) {
	w := f.rig.Engines[f.rnd.IntN(len(f.rig.Engines))]
	kind := []string{"cut", "silent", "error", "leave"}[f.rnd.IntN(4)]
	f.note("engine "+kind, w.ID, last)
	switch kind {
	case "cut":
		w.SetFaults(stand.WorkerFaults{Cut: 4})
	case "silent":
		w.SetFaults(stand.WorkerFaults{Silent: 4})
	case "error":
		w.SetFaults(stand.WorkerFaults{Status: http.StatusBadGateway, Times: 4})
	case "leave":
		vm := w.VM()
		vm.State = quetzalpier.VMLeaving
		f.list(vm)
		f.later(ctx, last, func() { f.list(w.VM()) })
		return
	}
	f.later(ctx, last, func() { w.SetFaults(stand.WorkerFaults{}) })
}

func (f *faults) list(vm quetzalpier.VM) {
	if err := f.rig.List(vm); err != nil {
		f.ledger.breach("%s not listed: %v", vm.ID, err)
	}
}

// Summary tells what a run saw, in one line.
func (l *Ledger) Summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprintf("%d steps whole, %d late; %d requests, %d failed; %d promises broken", l.Steps, l.Late, l.Views, l.Failed, len(l.Broken))
	if len(l.Broken) > 0 {
		text += ":\n  " + strings.Join(l.Broken, "\n  ")
	}
	return text
}
