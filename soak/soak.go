package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/stand"
	"quetzalpier/vault"
)

const (
	// settleTime is how long a run continues without new faults, and
	// readyTimeout how long the fronts have to become ready.
	settleTime    = 12 * time.Second
	readyTimeout  = 15 * time.Second
	minFaultPause = 300 * time.Millisecond
	maxFaultPause = 1500 * time.Millisecond
	// minFaultTime and maxFaultTime bound the duration of a fault.
	minFaultTime = 400 * time.Millisecond
	maxFaultTime = 3 * time.Second
	// Limits last limitTimes times as long as other faults, since they need to be kept
	// only after LimitSettleTime. maxLimit is the highest of them, in requests a second.
	limitTimes = 4
	maxLimit   = 4
	// maxFinalLimit is the highest limit after the last fault, in requests a second.
	maxFinalLimit = 1.5
	// streamClients is the number of clients that request streams, with seeds from
	// streamSeed on.
	streamClients = 3
	streamSeed    = 100
	// longSeed, abandonSeed and oddSeed are those of the clients with long requests, of the
	// trainers whose ends are sent once, and of the one beside odd entries.
	longSeed    = 200
	abandonSeed = 300
	oddSeed     = 400
	// abandoners is the number of those trainers; their faults are drawn from streams of the
	// seed from endStream on.
	abandoners = 3
	endStream  = 20
)

// Plan configures a run with random faults.
type Plan struct {
	Seed          uint64
	FaultDuration time.Duration
	// LoseFronts also kills or pauses fronts for longer than lookups may name them,
	// beside the other faults, and checks the answers of lookups.
	LoseFronts bool
	// StoreFaults also injects faults of the key-value service that concern only some
	// nodes or their watches.
	StoreFaults bool
	// Upstreams also makes upstreams name limits, break off runs and leave.
	Upstreams bool
	// Partitions also partitions nodes from all upstreams, and checks that their clients are
	// served. It needs Options.Partitions.
	Partitions bool
	// Versions also kills all fronts at once while the software versions of the engines change,
	// and checks the texts of streams that clients take up. It needs two versions.
	Versions bool
	// Answers also makes upstreams break their answers, and sends long requests.
	Answers bool
	// Ends also sends ends of jobs once, through fronts with a fault or while the owner is
	// lost.
	Ends bool
	// Odd also writes odd entries beside those of the upstreams.
	Odd bool
	// Stops also stops fronts as planned, one after the other or overlapping, while clients use
	// their open connections, and leaves watches of the configuration without an answer.
	Stops bool
	// Crowds also sends crowds of clients that do not keep to the limits, and kills nodes that
	// exceed their memory unless IgnoreMemory is set.
	Crowds, IgnoreMemory bool
	// Moves also moves the batch route from one pool of engines to another and ends the owners of
	// the pool that it led to, and requires that all accepted steps become whole. It needs
	// Options.SpareEngines.
	Moves bool
	// NoProcessFaults leaves out the faults of processes, links, engines and the whole
	// key-value service.
	NoProcessFaults bool
	Log             zerolog.Logger
}

// Run injects random faults, drawn from the seed, for the given time, lets the
// deployment settle, and returns what the callers observed.
func Run(ctx context.Context, r *Rig, plan Plan) *Ledger {
	ledger := newLedger()
	f := &faultInjector{rig: r, ledger: ledger, rnd: rand.New(rand.NewPCG(plan.Seed, 2)), log: plan.Log}
	duration := plan.FaultDuration + settleTime
	if plan.Ends {
		duration += abandonSettle
	} else if plan.Odd {
		duration += oddSettle
	}
	if plan.Moves {
		ledger.stepsRequired = true
		duration += movesSettle
	}
	if plan.Crowds && !plan.IgnoreMemory {
		watch := r.StartWatch()
		defer func() { ledger.recordPeaks(r, watch.Stop()) }()
	}
	r.runCallers(ctx, ledger, plan.Seed, duration, func() {
		var injectors conc.WaitGroup
		defer injectors.Wait()
		r.injectMore(ctx, &injectors, ledger, plan)
		if plan.StoreFaults {
			storeFaults := &faultInjector{rig: r, ledger: ledger, rnd: rand.New(rand.NewPCG(plan.Seed, 5)), log: plan.Log}
			injectors.Go(func() { storeFaults.runStoreFaults(ctx, plan.FaultDuration) })
		}
		if plan.Upstreams {
			upstreams := &faultInjector{rig: r, ledger: ledger, rnd: rand.New(rand.NewPCG(plan.Seed, 7)), log: plan.Log}
			injectors.Go(func() { upstreams.disturbUpstreams(ctx, plan.FaultDuration) })
		}
		if plan.Partitions {
			ordersCtx, stopOrders := context.WithCancel(ctx)
			injectors.Go(func() { r.sendOrders(ordersCtx, ledger, plan.Seed) })
			partitions := &faultInjector{rig: r, ledger: ledger, rnd: rand.New(rand.NewPCG(plan.Seed, 9)), log: plan.Log}
			injectors.Go(func() { partitions.partitionNodes(ctx, plan.FaultDuration); stopOrders() })
		}
		if plan.Versions {
			versions := &faultInjector{rig: r, ledger: ledger, rnd: rand.New(rand.NewPCG(plan.Seed, 11)), log: plan.Log}
			injectors.Go(func() { versions.changeVersions(ctx, plan.FaultDuration) })
		}
		if plan.LoseFronts {
			checkCtx, stopCheck := context.WithCancel(ctx)
			defer stopCheck()
			injectors.Go(func() { r.checkLookups(checkCtx, ledger, plan.Seed) })
			losses := &faultInjector{rig: r, ledger: ledger, rnd: rand.New(rand.NewPCG(plan.Seed, 3)), log: plan.Log}
			injectors.Go(func() { losses.loseFronts(ctx, plan.FaultDuration); stopCheck() })
		}
		if !plan.NoProcessFaults {
			f.run(ctx, plan.FaultDuration)
		}
	})
	return ledger
}

// injectMore injects the faults of upstreams' answers, ends of jobs and entries of other
// writers.
func (r *Rig) injectMore(ctx context.Context, injectors *conc.WaitGroup, ledger *Ledger, plan Plan) {
	injector := func(stream uint64) *faultInjector {
		return &faultInjector{rig: r, ledger: ledger, rnd: rand.New(rand.NewPCG(plan.Seed, stream)), log: plan.Log}
	}
	if plan.Answers {
		answers := injector(13)
		injectors.Go(func() { answers.breakAnswers(ctx, plan.FaultDuration) })
		longCtx, stop := context.WithTimeout(ctx, plan.FaultDuration+settleTime)
		injectors.Go(func() { defer stop(); newTrainer(r, ledger, plan.Seed+longSeed).sendLong(longCtx) })
	}
	if plan.Ends {
		for i := range uint64(abandoners) {
			ends := injector(endStream + i)
			injectors.Go(func() { ends.abandonJobs(ctx, plan.FaultDuration, plan.Seed+abandonSeed+i) })
		}
	}
	if plan.Stops {
		planned := injector(17)
		injectors.Go(func() { planned.playStops(ctx, plan.FaultDuration) })
	}
	if plan.Moves {
		moves := injector(23)
		injectors.Go(func() { moves.moveRoutes(ctx, plan.FaultDuration) })
	}
	if plan.Crowds {
		crowds := injector(19)
		injectors.Go(func() { crowds.sendCrowds(ctx, plan.FaultDuration) })
	}
	if plan.Odd {
		odd := injector(15)
		odd.upstreamsSound = !plan.StoreFaults && !plan.Upstreams && !plan.Answers
		injectors.Go(func() { odd.writeOddEntries(ctx, plan.FaultDuration, plan.Seed+oddSeed) })
	}
}

// RunWithFaults runs callers for the given time while inject injects faults.
func RunWithFaults(ctx context.Context, r *Rig, seed uint64, duration time.Duration, inject func()) *Ledger {
	ledger := newLedger()
	r.runCallers(ctx, ledger, seed, duration, inject)
	return ledger
}

// runCallers runs callers while inject injects faults, and checks what callers
// and engines observe.
func (r *Rig) runCallers(ctx context.Context, ledger *Ledger, seed uint64, duration time.Duration, inject func()) {
	if !r.WaitReady(ctx, readyTimeout) {
		ledger.recordViolation("the deployment did not become ready within %s", readyTimeout)
		return
	}
	callerCtx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	sampleCtx, stopSampling := context.WithCancel(ctx)
	var sampler conc.WaitGroup
	sampler.Go(func() { r.sampleFaults(sampleCtx) })
	sampler.Go(func() { r.sendHeartbeats(sampleCtx, ledger) })
	defer sampler.Wait()
	defer stopSampling()
	var callers conc.WaitGroup
	callers.Go(func() { newTrainer(r, ledger, seed).run(callerCtx) })
	callers.Go(func() { newTrainer(r, ledger, seed+2).runEnding(callerCtx) })
	callers.Go(func() { newTrainer(r, ledger, seed+1).sendRequests(callerCtx) })
	if r.SoftwareVersions > 1 {
		for i := range streamClients {
			callers.Go(func() {
				newTrainer(r, ledger, seed+streamSeed+uint64(i)).sendStreams(callerCtx, fmt.Sprintf("stream%dx", i))
			})
		}
	}
	inject()
	callers.Wait()
	r.checkRuns(ledger)
}

// WaitReady waits until all fronts are ready. It returns false if they are not
// within the limit.
func (r *Rig) WaitReady(ctx context.Context, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); sleep.For(ctx, pollInterval) {
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

// Request sends a plain request through a front and returns an error unless it is
// served.
func (r *Rig) Request(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Fronts[0].Settings.Front+viewPath+"single", strings.NewReader("view"))
	if err != nil {
		return err
	}
	req.Host = Host
	req.Header.Set(platform.HeaderAttempt, "single")
	r.authorize(req)
	r.recordSent(req)
	resp, err := (&http.Client{Timeout: callTimeout}).Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// checkRuns checks the guarantees against what the engines ran, and the nodes for
// unexpected exits and logged programming errors.
func (r *Rig) checkRuns(l *Ledger) {
	ran := map[string]bool{}
	for _, e := range r.Engines {
		for _, run := range e.Runs() {
			ran[run.ID] = true
		}
		for _, violation := range e.OwnershipViolations(r.Stores[0].Settings.OrderInterval.D()) {
			l.recordViolation("%s", violation)
		}
	}
	for _, w := range r.workers() {
		for _, violation := range w.LimitViolations(LimitSettleTime, func(from, to time.Time) bool { return !r.processesCalm(from, to) }) {
			l.recordViolation("%s", violation)
		}
	}
	for _, w := range r.workers() {
		for _, run := range w.LateRuns() {
			// A partition may hold a request up on its way.
			calm := r.processesCalm(run.StartedAt.Add(-contactTime), run.StartedAt) && r.faults.calmAt(partitionTarget, run.StartedAt)
			if calm {
				l.recordViolation("%s had said that it is leaving and got request %s too late", w.ID, run.ID)
			}
		}
	}
	r.checkTexts(l)
	r.checkSent(l)
	r.checkEnded(l)
	r.checkScores(l)
	for _, n := range r.nodes() {
		if n.exitedUnexpectedly.Load() {
			l.recordViolation("%s ended by itself", n.Settings.Name)
		}
		for _, fault := range n.LoggedFaults() {
			l.recordViolation("%s logged %s", n.Settings.Name, fault)
		}
		l.recordWarnings(n)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	jobs := l.jobsByRequest()
	for id, record := range l.jobs {
		for _, task := range record.job.Tasks {
			mayRun := slices.ContainsFunc(jobs[task.ID], func(holder *jobRecord) bool { return holder.accepted || !holder.onlyRefused })
			if !mayRun && ran[task.ID] {
				l.Violations = append(l.Violations, fmt.Sprintf("job %s was refused at every attempt, and task %s has run", id, task.ID))
			}
		}
	}
}

// maxWarningsPerSecond limits the warnings and errors that one process may log in
// a second, whatever it depends on is unavailable.
const maxWarningsPerSecond = 100

func (l *Ledger) recordWarnings(n *Node) {
	peak, err := n.PeakWarnings()
	if err != nil {
		l.recordViolation("log of %s not read: %v", n.Settings.Name, err)
	}
	if peak > maxWarningsPerSecond {
		l.recordViolation("%s logged %d warnings in a second", n.Settings.Name, peak)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.PeakWarnings = max(l.PeakWarnings, peak)
}

// faultInjector injects random faults and waits until those that last are reverted.
type faultInjector struct {
	rig     *Rig
	ledger  *Ledger
	rnd     *rand.Rand
	log     zerolog.Logger
	pending conc.WaitGroup
	// upstreamsSound reports whether no other injector disturbs the plain services.
	upstreamsSound bool
}

func (f *faultInjector) run(ctx context.Context, total time.Duration) {
	kinds := []func(context.Context, time.Duration){f.disturbProcess, f.disturbProcess, f.disturbLink, f.disturbLink, f.disturbKV, f.disturbEngine}
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		duration := minFaultTime + time.Duration(f.rnd.Int64N(int64(maxFaultTime-minFaultTime)))
		kind := kinds[f.rnd.IntN(len(kinds))]
		kind(ctx, duration)
		sleep.For(ctx, minFaultPause+time.Duration(f.rnd.Int64N(int64(maxFaultPause-minFaultPause))))
	}
	f.pending.Wait()
	f.rig.KV.SetFaults(stand.KVFaults{})
}

// revertAfter calls revert after the given time.
func (f *faultInjector) revertAfter(ctx context.Context, after time.Duration, revert func()) {
	f.pending.Go(func() {
		sleep.For(ctx, after)
		revert()
	})
}

func (f *faultInjector) logFault(kind, target string, duration time.Duration) {
	f.log.Info().Str("fault", kind).Str("target", target).Dur("for_ms", duration).Msg("fault injected")
}

// disturbProcess kills, stops or pauses a random node, and starts or resumes it
// later.
func (f *faultInjector) disturbProcess(ctx context.Context, duration time.Duration) {
	nodes := f.rig.Stores
	if f.rnd.IntN(2) == 0 {
		nodes = f.rig.Fronts
	}
	n := nodes[f.rnd.IntN(len(nodes))]
	if !n.disturbed.CompareAndSwap(false, true) {
		return
	}
	switch f.rnd.IntN(3) {
	case 0:
		f.logFault("kill", n.Settings.Name, duration)
		n.Kill()
		f.revertAfter(ctx, duration, func() { f.restart(n) })
	case 1:
		f.logFault("stop", n.Settings.Name, duration)
		f.pending.Go(func() { f.stopAndStart(n) })
	default:
		f.pause(ctx, n, duration)
	}
}

// loseFronts kills or pauses one front after the other, each for longer than lookups
// may name it.
func (f *faultInjector) loseFronts(ctx context.Context, total time.Duration) {
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		n := f.rig.Fronts[f.rnd.IntN(len(f.rig.Fronts))]
		duration := MaxStaleLookup + minFaultTime + time.Duration(f.rnd.Int64N(int64(maxFaultTime)))
		killed := f.rnd.IntN(2) == 0
		if !n.disturbed.CompareAndSwap(false, true) {
			sleep.For(ctx, minFaultPause)
			continue
		}
		if killed {
			f.logFault("kill", n.Settings.Name, duration)
			n.Kill()
			sleep.For(ctx, duration)
			f.restart(n)
		} else {
			f.logFault("pause", n.Settings.Name, duration)
			n.Signal(syscall.SIGSTOP)
			sleep.For(ctx, duration)
			n.Signal(syscall.SIGCONT)
			n.disturbed.Store(false)
		}
	}
}

// stopAndStart stops a node as planned and starts it again. The caller has marked it as disturbed.
func (f *faultInjector) stopAndStart(n *Node) {
	if !n.Stop() {
		f.ledger.recordViolation("%s did not end within its grace", n.Settings.Name)
	}
	f.restart(n)
}

func (f *faultInjector) restart(n *Node) {
	if err := n.Start(); err != nil {
		f.ledger.recordViolation("%s not started: %v", n.Settings.Name, err)
	}
	n.disturbed.Store(false)
}

// disturbLink injects a network fault between a random node and the key-value
// service.
func (f *faultInjector) disturbLink(ctx context.Context, duration time.Duration) {
	nodes := append(append([]*Node(nil), f.rig.Stores...), f.rig.Fronts...)
	n := nodes[f.rnd.IntN(len(nodes))]
	mode := []Mode{Delay, Reset, Silence, Cut, OneWay}[f.rnd.IntN(5)]
	f.logFault("link "+string(mode), n.Settings.Name, duration)
	f.setMode(n.KVProxy, mode)
	f.revertAfter(ctx, duration, func() { f.setMode(n.KVProxy, Pass) })
}

func (f *faultInjector) setMode(p *Proxy, mode Mode) {
	if err := p.SetMode(mode); err != nil {
		f.ledger.recordViolation("proxy at %s not set to %s: %v", p.Addr, mode, err)
	}
}

// disturbKV injects a fault into the key-value service.
func (f *faultInjector) disturbKV(ctx context.Context, duration time.Duration) {
	kv := f.rig.KV
	kind := []string{"out", "slow", "lose", "compact", "revoke"}[f.rnd.IntN(5)]
	f.logFault("store "+kind, "", duration)
	switch kind {
	case "out":
		kv.SetFaults(stand.KVFaults{Unavailable: true})
	case "slow":
		kv.SetFaults(stand.KVFaults{DelayMs: 200})
	case "lose":
		kv.SetFaults(stand.KVFaults{LoseAnswers: 3})
	case "compact":
		kv.Compact()
		return
	case "revoke":
		f.rig.RevokeOwners(ctx)
		return
	}
	f.revertAfter(ctx, duration, func() { kv.SetFaults(stand.KVFaults{}) })
}

// RevokeOwners deletes the owners' keys, as the expiry of their leases would.
func (r *Rig) RevokeOwners(ctx context.Context) {
	owners, err := r.KV.Range(ctx, vault.Owners, false)
	if err != nil {
		return
	}
	for _, e := range owners.Entries {
		r.KV.ForceDelete(e.Key)
	}
}

// Outage makes the key-value service unavailable for the given time and blocks
// for as long.
func (r *Rig) Outage(duration time.Duration) {
	r.KV.SetFaults(stand.KVFaults{Unavailable: true})
	time.Sleep(duration)
	r.KV.SetFaults(stand.KVFaults{})
}

// LoseResponses makes the key-value service apply its next n writes without
// sending the responses.
func (r *Rig) LoseResponses(n int) { r.KV.SetFaults(stand.KVFaults{LoseAnswers: n}) }

// disturbEngine injects a fault into a random engine, or marks it as leaving for
// a time.
func (f *faultInjector) disturbEngine(ctx context.Context, duration time.Duration) {
	w := f.rig.Engines[f.rnd.IntN(len(f.rig.Engines))]
	kind := []string{"cut", "silent", "error", "leave"}[f.rnd.IntN(4)]
	f.logFault("engine "+kind, w.ID, duration)
	switch kind {
	case "cut":
		w.SetFaults(stand.WorkerFaults{CutAtEvent: 4})
	case "silent":
		w.SetFaults(stand.WorkerFaults{SilentAfterEvent: 4})
	case "error":
		w.SetFaults(stand.WorkerFaults{Status: http.StatusBadGateway, StatusCount: 4})
	case "leave":
		vm := w.VM()
		vm.State = quetzalpier.VMLeaving
		f.writeVM(vm)
		f.revertAfter(ctx, duration, func() { f.writeVM(w.VM()) })
		return
	}
	f.revertAfter(ctx, duration, func() { w.SetFaults(stand.WorkerFaults{}) })
}

// disturbUpstreams makes random upstreams name limits, break off runs or say that they are
// leaving, each for a time. After the last fault, when no node is excused, one of each pool
// names a low limit, an engine leaves, and all engines break off runs for a while.
func (f *faultInjector) disturbUpstreams(ctx context.Context, total time.Duration) {
	workers := f.rig.workers()
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		duration := limitTimes * (minFaultTime + time.Duration(f.rnd.Int64N(int64(maxFaultTime-minFaultTime))))
		duration = min(duration, time.Until(end))
		switch f.rnd.IntN(3) {
		case 0:
			w := workers[f.rnd.IntN(len(workers))]
			f.logFault("limit", w.ID, duration)
			w.SetLimit(quetzalpier.Limit{Named: true, PerSecond: f.rnd.Float64() * maxLimit})
			f.revertAfter(ctx, duration, func() { w.SetLimit(quetzalpier.Limit{}) })
		case 1:
			w := f.rig.Engines[f.rnd.IntN(len(f.rig.Engines))]
			f.logFault("engine cut", w.ID, duration)
			w.SetFaults(stand.WorkerFaults{CutAtEvent: 1 + f.rnd.IntN(8)})
			f.revertAfter(ctx, duration, func() { w.SetFaults(stand.WorkerFaults{}) })
		default:
			f.leave(ctx, workers[f.rnd.IntN(len(workers))], duration)
		}
		sleep.For(ctx, minFaultPause+time.Duration(f.rnd.Int64N(int64(maxFaultPause))))
	}
	f.pending.Wait()
	for _, w := range []*stand.Worker{f.rig.Engines[0], f.rig.Plains[0]} {
		w.SetLimit(quetzalpier.Limit{Named: true, PerSecond: f.rnd.Float64() * maxFinalLimit})
	}
	f.rig.Engines[1].SayLeaving()
	for _, w := range f.rig.Engines {
		w.SetFaults(stand.WorkerFaults{CutAtEvent: 2 + f.rnd.IntN(6)})
	}
	sleep.For(ctx, maxFaultTime)
	for _, w := range f.rig.Engines {
		w.SetFaults(stand.WorkerFaults{})
	}
}

// leave makes an upstream say that it is leaving, in its answers only, and start again
// later. One other upstream of its pool stays at least.
func (f *faultInjector) leave(ctx context.Context, w *stand.Worker, duration time.Duration) {
	staying := 0
	for _, other := range f.rig.workers() {
		if other.Pool == w.Pool && !other.Leaving() {
			staying++
		}
	}
	if w.Leaving() || staying < 2 {
		return
	}
	f.logFault("leave", w.ID, duration)
	w.SayLeaving()
	f.revertAfter(ctx, duration, func() {
		w.Restart()
		f.writeVM(w.VM())
	})
}

func (f *faultInjector) writeVM(vm quetzalpier.VM) {
	if err := f.rig.WriteVM(vm); err != nil {
		f.ledger.recordViolation("%s not listed: %v", vm.ID, err)
	}
}

// Summary returns the counts of a run in one line, followed by the broken
// guarantees.
func (l *Ledger) Summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprintf("%d steps whole, %d late; %d jobs ended, %d late runs of nodes out of touch; %d requests, %d failed; %d of %d tries at partitioned fronts served; %d lookups; %d of %d streams complete; %d requests compared; %d ends sent once, %d lost; %d fronts followed; %d requests over kept connections served; %d moves of the batch route; %d clients in crowds, at most %.0f%% of the memory used; at most %d warnings a second; %d promises broken",
		l.Steps, l.LateSteps, l.EndedJobs, l.ExcusedRuns, l.Requests, l.FailedRequests, l.PartitionedServed, l.PartitionedTries, l.Lookups,
		l.Streams.Complete, l.Streams.Begun, l.Received, l.UnrepeatedEnds, l.LostEnds, l.Followed, l.KeptServed, l.Moves, l.CrowdClients, 100*l.PeakMemory, l.PeakWarnings, len(l.Violations))
	if len(l.Violations) > 0 {
		text += ":\n  " + strings.Join(l.Violations, "\n  ")
	}
	return text
}
