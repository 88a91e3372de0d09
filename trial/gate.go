package trial

import (
	"sort"
	"time"

	"quetzalpier"
	"quetzalpier/admit"
	"quetzalpier/board"
	"quetzalpier/model"
	"quetzalpier/retry"
	"quetzalpier/route"
)

const (
	// silence is how long a gate waits for a sign of life, and patience how
	// long the naive one does.
	silence  = 4 * time.Second
	patience = 30 * time.Second
	// callerWait is how long an interactive caller waits for its answer to start.
	callerWait = 10 * time.Second
)

// request is one request under way.
type request struct {
	gate     *gate
	class    quetzalpier.Class
	tenant   string
	prefix   uint64
	prompt   int
	want     int
	arrived  time.Time
	deadline time.Time
	seq      *model.Seq
	serial   int
	placed   time.Time
	engine   *engine
	ticket   *admit.Ticket
	tried    map[string]bool
	avoid    string
	attempts int
	least    quetzalpier.Version
	floor    quetzalpier.Version
	// from is what an earlier run has made.
	from *model.Seq
	// finished and broken tell the request's owner of its end; refused of a
	// refusal.
	finished func(r *request)
	broken   func(r *request)
	refused  func(r *request)
	started  func(r *request)
	canceled bool
}

// gate is a modelled gate with its own board and queue.
type gate struct {
	sim     *sim
	state   *board.State
	queue   admit.Queue
	fifo    []*request
	waiting map[*admit.Ticket]*request
	budget  retry.Budget
	robin   route.RoundRobin
	tickets uint64
}

func newGate(m *sim, i int, list quetzalpier.VMList) *gate {
	g := &gate{sim: m, state: newState(i, list, m.now), waiting: map[*admit.Ticket]*request{}}
	g.state.Config = quetzalpier.Config{Number: 1, Pools: map[string]quetzalpier.Pool{poolName: {Kind: quetzalpier.KindEngine, Slots: m.scenario.Params.Slots}}}
	m.after(reportEvery/time.Duration(i+1), g.report)
	m.after(planEvery, g.look)
	return g
}

// report reads the engines' load reports.
func (g *gate) report() {
	for _, e := range g.sim.engines {
		if e.up && !e.frozen {
			g.state.SetReport(e.id, e.state(), g.sim.now)
		}
	}
	g.sim.after(reportEvery, g.report)
}

// look finds silent engines and requests past their deadline.
func (g *gate) look() {
	limit := silence
	if !g.sim.policy.Retry {
		limit = patience
	}
	for _, e := range g.sim.engines {
		if !e.frozen {
			continue
		}
		for _, r := range sorted(e.reqs) {
			if r.gate == g && g.sim.now.Sub(r.placed) >= limit {
				e.cancel(r)
				g.failed(r)
			}
		}
	}
	for _, t := range g.queue.Expire(g.sim.now) {
		g.giveUp(g.waiting[t])
	}
	g.pump()
	g.sim.after(planEvery, g.look)
}

// submit queues a request.
func (g *gate) submit(r *request) {
	r.gate = g
	if r.attempts == 0 {
		g.budget.Earn()
	}
	r.attempts++
	if !g.sim.policy.Admit {
		g.fifo = append(g.fifo, r)
		g.pump()
		return
	}
	g.tickets++
	r.ticket = &admit.Ticket{ID: g.tickets, Class: r.class, Tenant: r.tenant, Deadline: r.deadline}
	if _, ok := g.queue.Enqueue(r.ticket, g.sim.now); !ok {
		r.refused(r)
		return
	}
	g.waiting[r.ticket] = r
	g.pump()
}

func (g *gate) giveUp(r *request) {
	delete(g.waiting, r.ticket)
	r.refused(r)
}

func (g *gate) pump() {
	for g.grant() {
		continue
	}
}

func (g *gate) grant() bool {
	if !g.sim.policy.Admit {
		return g.grantFIFO()
	}
	for _, t := range g.queue.Heads() {
		r := g.waiting[t]
		if id, ok := g.pick(r); ok {
			g.queue.Grant(t, g.sim.now)
			delete(g.waiting, t)
			g.place(r, id)
			return true
		}
	}
	return false
}

func (g *gate) grantFIFO() bool {
	if len(g.fifo) == 0 {
		return false
	}
	r := g.fifo[0]
	if !r.canceled {
		id, ok := g.pick(r)
		if !ok {
			return false
		}
		g.fifo = g.fifo[1:]
		g.place(r, id)
		return true
	}
	g.fifo = g.fifo[1:]
	return true
}

func (g *gate) pick(r *request) (string, bool) {
	ask := route.Request{Pool: poolName, Class: r.class, Prefix: r.prefix, PreferredVersion: r.least, MinVersion: r.floor, Tried: r.tried}
	if r.avoid != "" {
		ask.Avoid = map[string]bool{r.avoid: true}
	}
	if !g.sim.policy.Route {
		ask.Class = quetzalpier.ClassInteractive
		return g.robin.Pick(g.state, ask, g.sim.now)
	}
	return route.Pick(g.state, ask, g.sim.now, g.sim.rnd)
}

// place runs a request on an engine.
func (g *gate) place(r *request, id string) {
	e := g.sim.byID[id]
	r.engine = e
	r.placed = g.sim.now
	r.seq = &model.Seq{Prefix: r.prefix, Prompt: r.prompt, Want: r.want}
	if g.sim.policy.Admit {
		r.seq.Priority = int(r.class)
	}
	if r.from != nil {
		r.seq.Made = r.from.Made
		r.seq.Spans = append(r.seq.Spans, r.from.Spans...)
	}
	g.state.Upstreams[id].Outstanding++
	if r.started != nil {
		r.started(r)
	}
	if !e.up {
		g.sim.after(time.Millisecond, func() { g.failed(r) })
		return
	}
	e.add(r)
}

func (g *gate) leave(r *request) {
	if u := g.state.Upstreams[r.engine.id]; u != nil {
		u.Outstanding--
	}
}

// done takes a finished request.
func (g *gate) done(r *request) {
	g.leave(r)
	u := g.state.Upstreams[r.engine.id]
	took := g.sim.now.Sub(r.placed) / time.Duration(max(1, r.want))
	if u.UnitTime == 0 {
		u.UnitTime = took
	}
	u.UnitTime += (took - u.UnitTime) / 5
	u.TokenVersion, u.TokenAt = r.seq.Spans[len(r.seq.Spans)-1].Version, g.sim.now
	retry.RecordSuccess(g.state, r.engine.id)
	r.finished(r)
	g.pump()
}

// failed takes a request whose attempt broke.
func (g *gate) failed(r *request) {
	if r.canceled {
		return
	}
	g.leave(r)
	m := g.sim
	if m.policy.Retry {
		retry.RecordFailure(g.state, r.engine.id, m.now)
		r.from = r.seq
	} else {
		m.result.Wasted += r.seq.Made
		r.from = nil
	}
	if r.broken != nil {
		r.broken(r)
		return
	}
	f := retry.Failure{Ran: quetzalpier.RanUnknown, Idempotent: true, Attempts: r.attempts, Deadline: r.deadline}
	again := r.attempts < 3
	if m.policy.Retry {
		again = retry.Decide(f, &g.budget, m.now).Retry
		if r.tried == nil {
			r.tried = map[string]bool{}
		}
		r.tried[r.engine.id] = true
	}
	if !again {
		r.refused(r)
		return
	}
	m.result.Retries++
	r.engine = nil
	g.submit(r)
}

// cancel ends a request wherever it is.
func (g *gate) cancel(r *request) {
	r.canceled = true
	if r.ticket != nil && g.queue.Remove(r.ticket) {
		delete(g.waiting, r.ticket)
		return
	}
	if r.engine == nil {
		return
	}
	r.engine.cancel(r)
	g.leave(r)
	g.pump()
}

// arrive sends one caller's requests as a Poisson process.
func (m *sim) arrive(c Caller, index int) {
	rate := c.Rate(m.now.Sub(m.start))
	m.after(time.Duration(m.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		m.one(c)
		m.arrive(c, index)
	})
}

func (m *sim) one(c Caller) {
	r := &request{
		class: c.Class, tenant: c.Name, prompt: c.Prompt, want: 1 + m.rnd.IntN(2*c.Tokens),
		prefix: uint64(1 + m.rnd.IntN(c.Prefixes)), arrived: m.now, deadline: m.now.Add(callerWait),
	}
	m.result.Asked[c.Name]++
	m.result.Sent++
	r.finished = func(r *request) { m.result.observe(c.Name, m.now.Sub(r.arrived)) }
	r.refused = func(*request) { m.result.Refusals[c.Name]++ }
	m.gates[m.rnd.IntN(len(m.gates))].submit(r)
}

// sorted returns requests in a fixed order.
func sorted(reqs map[string]*request) []*request {
	list := make([]*request, 0, len(reqs))
	for _, r := range reqs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].serial < list[j].serial })
	return list
}
