// Package trial runs the decision packages against modelled engines, callers
// and trainers in virtual time. One seed gives one result, to the byte. It is
// a model of what stands around a few gates, not of a cluster of nodes.
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
	// reportEvery is the time between an engine's load reports to a gate.
	reportEvery = 2 * time.Second
	planEvery   = 100 * time.Millisecond
	// outTime is how long a crashed engine stays away.
	outTime = 10 * time.Second
	// storeRate is how many loads a second the weight store serves.
	storeRate = 4
)

// Policy chooses between each decision and its naive version.
type Policy struct {
	// Route, Admit, Step, Swap and Retry use the real decision.
	Route, Admit, Step, Swap, Retry bool
}

// Ours uses every real decision, Naive none.
var (
	Ours  = Policy{Route: true, Admit: true, Step: true, Swap: true, Retry: true}
	Naive = Policy{}
)

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].order < e[j].order)
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

// sim is one run.
type sim struct {
	scenario Scenario
	policy   Policy
	rnd      *rand.Rand
	now      time.Time
	start    time.Time
	queue    events
	order    int

	engines  []*engine
	byID     map[string]*engine
	gates    []*gate
	trainers []*trainer
	store    swap.LoadLimiter
	limit    swap.LoadLimiter
	target   quetzalpier.Version
	result   Result
}

// Run plays a scenario under a policy.
func Run(s Scenario, p Policy, seed uint64) Result {
	start := time.Unix(1_000_000, 0)
	m := &sim{
		scenario: s, policy: p, rnd: rand.New(rand.NewPCG(seed, 7)), now: start, start: start,
		byID: map[string]*engine{}, target: 1, result: newResult(),
	}
	m.build()
	m.plan()
	for _, fault := range s.Faults {
		m.after(fault.At, func() { fault.Do(m) })
	}
	end := start.Add(s.Length)
	for len(m.queue) > 0 && m.queue[0].at.Before(end) {
		next := heap.Pop(&m.queue).(event)
		m.now = next.at
		next.do()
	}
	m.now = end
	m.close()
	return m.result
}

func (m *sim) after(d time.Duration, do func()) {
	m.order++
	heap.Push(&m.queue, event{m.now.Add(d), m.order, do})
}

func (m *sim) build() {
	var list quetzalpier.VMList
	list.Number = 1
	for i := range m.scenario.Engines {
		id := fmt.Sprintf("e%02d", i)
		e := &engine{sim: m, id: id, batch: model.New(m.scenario.Params, 1), up: true, reqs: map[string]*request{}}
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
		m.arrive(c, i)
	}
	for i, t := range m.scenario.Trainers {
		tr := newTrainer(m, t, m.gates[i%len(m.gates)], i)
		m.trainers = append(m.trainers, tr)
		tr.open()
		tr.tick()
	}
}

const domains = 3

func domainOf(i int) string { return fmt.Sprintf("d%d", i%domains) }

// publish raises the version that all engines are to serve.
func (m *sim) publish(version quetzalpier.Version) {
	m.target = max(m.target, version)
	for _, g := range m.gates {
		g.state.RaiseTarget(poolName, m.target)
	}
}

// plan orders engines to the target, again and again.
func (m *sim) plan() {
	if m.policy.Swap {
		p := swap.PlanInput{Target: m.target, Serving: m.scenario.Serving, Rate: storeRate}
		for _, e := range m.engines {
			p.Engines = append(p.Engines, e.planned())
		}
		for _, id := range swap.Plan(p, &m.store, m.now) {
			m.byID[id].order(m.target)
		}
	} else {
		// The naive version orders all engines at once, and those that failed
		// again after five seconds.
		for _, e := range m.engines {
			if e.up && e.batch.Version < m.target && !e.loading && (e.failed.IsZero() || m.now.Sub(e.failed) >= 5*time.Second) {
				e.order(m.target)
			}
		}
	}
	m.after(planEvery, m.plan)
}

// engine is a modelled engine.
type engine struct {
	sim     *sim
	id      string
	batch   *model.Batch
	up      bool
	frozen  bool
	loading bool
	busy    bool
	// life rises with each crash, so that a step of an earlier one is void.
	life     int
	reqs     map[string]*request
	orders   swap.Engine
	failed   time.Time
	failNext int
	serial   int
}

func (e *engine) planned() swap.Engine {
	p := e.orders
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

// order loads a version; the weight store refuses what is beyond its rate.
func (e *engine) order(version quetzalpier.Version) {
	m := e.sim
	e.orders.OrderedVersion, e.orders.OrderedAt, e.orders.EndedAt = version, m.now, time.Time{}
	if !m.limit.Take(storeRate, m.now) {
		m.result.Refused++
		e.ended(false)
		return
	}
	e.loading = true
	life := e.life
	m.after(m.scenario.Swap, func() {
		if e.life != life {
			return
		}
		e.loading = false
		ok := e.failNext == 0
		if ok {
			e.batch.Version = version
		} else {
			e.failNext--
		}
		e.ended(ok)
		e.kick()
	})
}

func (e *engine) ended(ok bool) {
	e.orders.EndedAt = e.sim.now
	if ok {
		e.orders.Failures = 0
		e.failed = time.Time{}
		return
	}
	e.orders.Failures++
	e.failed = e.sim.now
}

// add runs a request.
func (e *engine) add(r *request) {
	e.serial++
	r.serial = e.serial
	r.seq.ID = strconv.Itoa(e.serial)
	e.reqs[r.seq.ID] = r
	e.batch.Add(r.seq)
	e.kick()
}

func (e *engine) cancel(r *request) {
	if e.reqs[r.seq.ID] == r {
		delete(e.reqs, r.seq.ID)
		e.batch.Cancel(r.seq.ID)
	}
}

// kick starts the next step if the engine can work.
func (e *engine) kick() {
	if e.busy || !e.up || e.frozen || e.loading || e.batch.Idle() {
		return
	}
	e.busy = true
	life := e.life
	e.sim.after(e.batch.Begin(), func() {
		if e.life != life {
			return
		}
		e.busy = false
		if e.frozen || e.loading {
			return
		}
		for _, seq := range e.batch.Step() {
			// The end of one may have canceled another of the same step.
			if r := e.reqs[seq.ID]; r != nil {
				delete(e.reqs, seq.ID)
				r.gate.done(r)
			}
		}
		e.kick()
	})
}

// crash drops all requests; the engine is back after a while with the first
// version that it can load.
func (e *engine) crash() {
	m := e.sim
	if !e.up {
		return
	}
	e.up = false
	e.life++
	e.busy, e.loading = false, false
	lost := e.reqs
	e.reqs = map[string]*request{}
	e.batch = model.New(m.scenario.Params, e.batch.Version)
	for _, r := range sorted(lost) {
		r.gate.failed(r)
	}
	m.after(outTime, func() {
		e.up = true
		e.kick()
	})
}

func (e *engine) freeze(frozen bool) {
	e.frozen = frozen
	e.kick()
}

func newState(i int, list quetzalpier.VMList, now time.Time) *board.State {
	var state *board.State
	board.New(board.Member{ID: fmt.Sprintf("g%d", i), Domain: domainOf(i)}).Do(func(s *board.State) { state = s })
	state.SetVMs(list, now)
	return state
}
