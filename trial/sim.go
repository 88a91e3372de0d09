// Package trial runs the decision packages (admit, retry, route, step, swap,
// tasks) against modelled engines, callers and trainers in virtual time. The same
// seed gives the same result, byte for byte. It models a few gates with their
// engines, callers and trainers, not a cluster of nodes.
package trial

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/model"
	"quetzalpier/swap"
)

const (
	poolName = "m"
	// reportInterval is the time between an engine's load reports to a gate.
	reportInterval = 2 * time.Second
	planInterval   = 100 * time.Millisecond
	// crashDowntime is how long a crashed engine stays down.
	crashDowntime = 10 * time.Second
	// storeRate is the number of weight loads per second that the weight store serves.
	storeRate = 4
)

// Policy selects, for each decision, the real or the naive version.
type Policy struct {
	// Each field selects the real version of the decision of that name.
	Route, Admit, Step, Swap, Retry bool
}

// Ours selects every real decision, Naive none.
var (
	Ours  = Policy{Route: true, Admit: true, Step: true, Swap: true, Retry: true}
	Naive = Policy{}
)

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sim is the state of one run.
type sim struct {
	scenario Scenario
	policy   Policy
	rnd      *rand.Rand
	now      time.Time
	start    time.Time
	queue    events
	lastSeq  int

	engines      []*engine
	byID         map[string]*engine
	gates        []*gate
	trainers     []*trainer
	planLimiter  swap.LoadLimiter
	storeLimiter swap.LoadLimiter
	target       quetzalpier.Version
	result       Result
}

// Run simulates a scenario under a policy.
func Run(s Scenario, p Policy, seed uint64) Result {
	start := time.Unix(1_000_000, 0)
	m := &sim{
		scenario: s, policy: p, rnd: rand.New(rand.NewPCG(seed, 7)), now: start, start: start,
		byID: map[string]*engine{}, target: 1, result: newResult(),
	}
	m.build()
	m.plan()
	for _, fault := range s.Faults {
		m.schedule(fault.At, func() { fault.Do(m) })
	}
	end := start.Add(s.Duration)
	for len(m.queue) > 0 && m.queue[0].at.Before(end) {
		next := heap.Pop(&m.queue).(event)
		m.now = next.at
		next.do()
	}
	m.now = end
	m.recordTrainers()
	return m.result
}

func (m *sim) schedule(d time.Duration, do func()) {
	m.lastSeq++
	heap.Push(&m.queue, event{m.now.Add(d), m.lastSeq, do})
}

func (m *sim) build() {
	var list quetzalpier.VMList
	list.Number = 1
	for i := range m.scenario.Engines {
		id := fmt.Sprintf("e%02d", i)
		e := &engine{sim: m, id: id, batch: model.New(m.scenario.Params, 1), up: true, requests: map[string]*request{}}
		m.engines = append(m.engines, e)
		m.byID[id] = e
		list.VMs = append(list.VMs, quetzalpier.VM{
			ID: id, Addr: fmt.Sprintf("127.0.0.1:%d", 9000+i), Domain: domainOf(i), Kind: quetzalpier.KindEngine, Pool: poolName, State: quetzalpier.VMLive,
		})
	}
	for i := range m.scenario.Gates {
		m.gates = append(m.gates, newGate(m, i, list))
	}
	for i, c := range m.scenario.Callers {
		m.scheduleArrival(c, i)
	}
	for i, t := range m.scenario.Trainers {
		tr := newTrainer(m, t, m.gates[i%len(m.gates)], i)
		m.trainers = append(m.trainers, tr)
		tr.openStep()
		tr.tick()
	}
}

const domains = 3

func domainOf(i int) string { return fmt.Sprintf("d%d", i%domains) }

// publish raises the target version of all engines.
func (m *sim) publish(version quetzalpier.Version) {
	m.target = max(m.target, version)
	for _, g := range m.gates {
		g.state.RaiseTarget(poolName, m.target)
	}
}

// plan periodically orders engines to load the target version.
func (m *sim) plan() {
	if m.policy.Swap {
		p := swap.PlanInput{Target: m.target, MinServing: m.scenario.MinServing, Rate: storeRate}
		for _, e := range m.engines {
			p.Engines = append(p.Engines, e.plannerView())
		}
		for _, id := range swap.Plan(p, &m.planLimiter, m.now) {
			m.byID[id].startLoad(m.target)
		}
	} else {
		// The naive version orders all engines at once, and again five seconds
		// after a failed load.
		for _, e := range m.engines {
			if e.up && e.batch.Version < m.target && !e.loading && (e.loadFailedAt.IsZero() || m.now.Sub(e.loadFailedAt) >= 5*time.Second) {
				e.startLoad(m.target)
			}
		}
	}
	m.schedule(planInterval, m.plan)
}

// engine models a model engine: its batch, weight loads, freezes and crashes.
type engine struct {
	sim      *sim
	id       string
	batch    *model.Batch
	up       bool
	frozen   bool
	loading  bool
	stepping bool
	// incarnation is incremented by each crash; steps and loads that began before
	// the crash have no effect.
	incarnation  int
	requests     map[string]*request
	swapState    swap.Engine
	loadFailedAt time.Time
	swapsToFail  int
	lastSerial   int
}

func (e *engine) plannerView() swap.Engine {
	p := e.swapState
	p.ID = e.id
	p.StateKnown = e.up && !e.frozen
	p.State = e.state()
	return p
}

func (e *engine) state() quetzalpier.EngineState {
	s := quetzalpier.EngineState{Version: e.batch.Version, Running: len(e.batch.Running), Queued: len(e.batch.Queue)}
	if e.loading {
		s.Loading = e.sim.target
	}
	return s
}

// startLoad starts to load a version; the weight store refuses loads beyond
// storeRate.
func (e *engine) startLoad(version quetzalpier.Version) {
	m := e.sim
	e.swapState.OrderedVersion, e.swapState.OrderedAt, e.swapState.EndedAt = version, m.now, time.Time{}
	if !m.storeLimiter.Take(storeRate, m.now) {
		m.result.RefusedLoads++
		e.finishLoad(false)
		return
	}
	e.loading = true
	incarnation := e.incarnation
	m.schedule(m.scenario.SwapTime, func() {
		if e.incarnation != incarnation {
			return
		}
		e.loading = false
		ok := e.swapsToFail == 0
		if ok {
			e.batch.Version = version
		} else {
			e.swapsToFail--
		}
		e.finishLoad(ok)
		e.startStep()
	})
}

func (e *engine) finishLoad(ok bool) {
	e.swapState.EndedAt = e.sim.now
	if ok {
		e.swapState.Failures = 0
		e.loadFailedAt = time.Time{}
		return
	}
	e.swapState.Failures++
	e.loadFailedAt = e.sim.now
}

// add adds a request to the batch.
func (e *engine) add(r *request) {
	e.lastSerial++
	r.serial = e.lastSerial
	r.seq.ID = strconv.Itoa(e.lastSerial)
	e.requests[r.seq.ID] = r
	e.batch.Add(r.seq)
	e.startStep()
}

func (e *engine) cancel(r *request) {
	if e.requests[r.seq.ID] == r {
		delete(e.requests, r.seq.ID)
		e.batch.Cancel(r.seq.ID)
	}
}

// startStep starts the next batch step unless one is in progress or the engine is
// down, frozen, loading or idle.
func (e *engine) startStep() {
	if e.stepping || !e.up || e.frozen || e.loading || e.batch.Idle() {
		return
	}
	e.stepping = true
	incarnation := e.incarnation
	e.sim.schedule(e.batch.StartStep(), func() {
		if e.incarnation != incarnation {
			return
		}
		e.stepping = false
		if e.frozen || e.loading {
			return
		}
		for _, seq := range e.batch.FinishStep() {
			// The completion of one may have canceled another of the same step.
			if r := e.requests[seq.ID]; r != nil {
				delete(e.requests, seq.ID)
				r.gate.finish(r)
			}
		}
		e.startStep()
	})
}

// crash fails all requests; the engine is up again after crashDowntime with the
// version that it had.
func (e *engine) crash() {
	m := e.sim
	if !e.up {
		return
	}
	e.up = false
	e.incarnation++
	e.stepping, e.loading = false, false
	lost := e.requests
	e.requests = map[string]*request{}
	e.batch = model.New(m.scenario.Params, e.batch.Version)
	for _, r := range sortedBySerial(lost) {
		r.gate.fail(r)
	}
	m.schedule(crashDowntime, func() {
		e.up = true
		e.startStep()
	})
}

func (e *engine) freeze(frozen bool) {
	e.frozen = frozen
	e.startStep()
}

func newState(i int, list quetzalpier.VMList, now time.Time) *board.State {
	var state *board.State
	board.New(board.Member{ID: fmt.Sprintf("g%d", i), Domain: domainOf(i)}).Do(func(s *board.State) { state = s })
	state.SetVMs(list, now)
	return state
}
