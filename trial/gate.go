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
	// silenceTimeout is the time after which a gate fails an attempt on a frozen
	// engine; naiveSilenceTimeout replaces it under policies with the naive retry
	// decision.
	silenceTimeout      = 4 * time.Second
	naiveSilenceTimeout = 30 * time.Second
	// callerTimeout is how long a caller waits for its request to start on an engine.
	// After that the admission queue refuses the request, but an attempt in
	// progress is not ended.
	callerTimeout = 10 * time.Second
)

// request is a modelled request, queued or in flight.
type request struct {
	gate             *gate
	class            quetzalpier.Class
	tenant           string
	prefix           uint64
	promptTokens     int
	tokens           int
	arrivedAt        time.Time
	deadline         time.Time
	seq              *model.Seq
	serial           int
	placedAt         time.Time
	engine           *engine
	ticket           *admit.Ticket
	tried            map[string]bool
	avoid            string
	attempts         int
	preferredVersion quetzalpier.Version
	minVersion       quetzalpier.Version
	// partial is the sequence that an earlier attempt generated; the next attempt
	// resumes it.
	partial *model.Seq
	// The callbacks report the request's state to its submitter: completed, attempt
	// failed, refused, placed on an engine. Without onFailed, the gate retries.
	onFinished func(r *request)
	onFailed   func(r *request)
	onRefused  func(r *request)
	onStarted  func(r *request)
	canceled   bool
}

// gate models a gate with its own board state and admission queue.
type gate struct {
	sim        *sim
	state      *board.State
	queue      admit.Queue
	fifo       []*request
	waiting    map[*admit.Ticket]*request
	budget     retry.Budget
	roundRobin route.RoundRobin
	lastTicket uint64
}

func newGate(m *sim, i int, list quetzalpier.VMList) *gate {
	g := &gate{sim: m, state: newState(i, list, m.now), waiting: map[*admit.Ticket]*request{}}
	g.state.Config = quetzalpier.Config{Number: 1, Pools: map[string]quetzalpier.Pool{poolName: {Kind: quetzalpier.KindEngine, Slots: m.scenario.Params.Slots}}}
	m.schedule(reportInterval/time.Duration(i+1), g.readReports)
	m.schedule(planInterval, g.checkTimeouts)
	return g
}

// readReports copies the load reports of the reachable engines to the board
// and schedules the next reading.
func (g *gate) readReports() {
	for _, e := range g.sim.engines {
		if e.up && !e.frozen {
			g.state.SetReport(e.id, e.state(), g.sim.now)
		}
	}
	g.sim.schedule(reportInterval, g.readReports)
}

// checkTimeouts fails requests that exceed the silence timeout on a frozen engine
// and refuses queued requests past their deadline.
func (g *gate) checkTimeouts() {
	limit := silenceTimeout
	if !g.sim.policy.Retry {
		limit = naiveSilenceTimeout
	}
	for _, e := range g.sim.engines {
		if !e.frozen {
			continue
		}
		for _, r := range sortedBySerial(e.requests) {
			if r.gate == g && g.sim.now.Sub(r.placedAt) >= limit {
				e.cancel(r)
				g.fail(r)
			}
		}
	}
	for _, t := range g.queue.Expire(g.sim.now) {
		g.refuseExpired(g.waiting[t])
	}
	g.dispatch()
	g.sim.schedule(planInterval, g.checkTimeouts)
}

// submit counts an attempt and queues the request, or refuses it if the queue is
// full.
func (g *gate) submit(r *request) {
	r.gate = g
	if r.attempts == 0 {
		g.budget.Earn()
	}
	r.attempts++
	if !g.sim.policy.Admit {
		g.fifo = append(g.fifo, r)
		g.dispatch()
		return
	}
	g.lastTicket++
	r.ticket = &admit.Ticket{ID: g.lastTicket, Class: r.class, Tenant: r.tenant, Deadline: r.deadline}
	if _, ok := g.queue.Enqueue(r.ticket, g.sim.now); !ok {
		r.onRefused(r)
		return
	}
	g.waiting[r.ticket] = r
	g.dispatch()
}

func (g *gate) refuseExpired(r *request) {
	delete(g.waiting, r.ticket)
	r.onRefused(r)
}

func (g *gate) dispatch() {
	for g.dispatchNext() {
		continue
	}
}

func (g *gate) dispatchNext() bool {
	if !g.sim.policy.Admit {
		return g.dispatchFIFO()
	}
	for _, t := range g.queue.Heads() {
		r := g.waiting[t]
		if id, ok := g.pickEngine(r); ok {
			g.queue.Grant(t, g.sim.now)
			delete(g.waiting, t)
			g.place(r, id)
			return true
		}
	}
	return false
}

func (g *gate) dispatchFIFO() bool {
	if len(g.fifo) == 0 {
		return false
	}
	r := g.fifo[0]
	if !r.canceled {
		id, ok := g.pickEngine(r)
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

func (g *gate) pickEngine(r *request) (string, bool) {
	query := route.Request{Pool: poolName, Class: r.class, Prefix: r.prefix, PreferredVersion: r.preferredVersion, MinVersion: r.minVersion, Tried: r.tried}
	if r.avoid != "" {
		query.Avoid = map[string]bool{r.avoid: true}
	}
	if !g.sim.policy.Route {
		query.Class = quetzalpier.ClassInteractive
		return g.roundRobin.Pick(g.state, query, g.sim.now)
	}
	return route.Pick(g.state, query, g.sim.now, g.sim.rnd)
}

// place starts a request on an engine; on an engine that is down the attempt
// fails after a millisecond.
func (g *gate) place(r *request, id string) {
	e := g.sim.byID[id]
	r.engine = e
	r.placedAt = g.sim.now
	r.seq = &model.Seq{PrefixHash: r.prefix, PromptTokens: r.promptTokens, TargetTokens: r.tokens}
	if g.sim.policy.Admit {
		r.seq.Priority = int(r.class)
	}
	if r.partial != nil {
		r.seq.GeneratedTokens = r.partial.GeneratedTokens
		r.seq.Spans = append(r.seq.Spans, r.partial.Spans...)
	}
	g.state.Upstreams[id].Outstanding++
	if r.onStarted != nil {
		r.onStarted(r)
	}
	if !e.up {
		g.sim.schedule(time.Millisecond, func() { g.fail(r) })
		return
	}
	e.add(r)
}

func (g *gate) decOutstanding(r *request) {
	if u := g.state.Upstreams[r.engine.id]; u != nil {
		u.Outstanding--
	}
}

// finish records the success of a request and the engine's time per token.
func (g *gate) finish(r *request) {
	g.decOutstanding(r)
	u := g.state.Upstreams[r.engine.id]
	perToken := g.sim.now.Sub(r.placedAt) / time.Duration(max(1, r.tokens))
	if u.UnitTime == 0 {
		u.UnitTime = perToken
	}
	u.UnitTime += (perToken - u.UnitTime) / 5
	u.TokenVersion, u.TokenAt = r.seq.Spans[len(r.seq.Spans)-1].Version, g.sim.now
	retry.RecordSuccess(g.state, r.engine.id)
	r.onFinished(r)
	g.dispatch()
}

// fail ends a failed attempt. It calls onFailed if that is set; otherwise the gate
// retries or refuses the request.
func (g *gate) fail(r *request) {
	if r.canceled {
		return
	}
	g.decOutstanding(r)
	m := g.sim
	if m.policy.Retry {
		retry.RecordFailure(g.state, r.engine.id, m.now)
		r.partial = r.seq
	} else {
		m.result.Wasted += r.seq.GeneratedTokens
		r.partial = nil
	}
	if r.onFailed != nil {
		r.onFailed(r)
		return
	}
	f := retry.Failure{Ran: quetzalpier.RanUnknown, Idempotent: true, Attempts: r.attempts, Deadline: r.deadline}
	retryable := r.attempts < 3
	if m.policy.Retry {
		retryable = retry.Decide(f, &g.budget, m.now).Retry
		if r.tried == nil {
			r.tried = map[string]bool{}
		}
		r.tried[r.engine.id] = true
	}
	if !retryable {
		r.onRefused(r)
		return
	}
	m.result.Retries++
	r.engine = nil
	g.submit(r)
}

// cancel ends a request, whether it is queued or on an engine.
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
	g.decOutstanding(r)
	g.dispatch()
}

// scheduleArrival submits one caller's requests as a Poisson process.
func (m *sim) scheduleArrival(c Caller, index int) {
	rate := c.Rate(m.now.Sub(m.start))
	m.schedule(time.Duration(m.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		m.submitRequest(c)
		m.scheduleArrival(c, index)
	})
}

func (m *sim) submitRequest(c Caller) {
	r := &request{
		class: c.Class, tenant: c.Name, promptTokens: c.Prompt, tokens: 1 + m.rnd.IntN(2*c.Tokens),
		prefix: uint64(1 + m.rnd.IntN(c.Prefixes)), arrivedAt: m.now, deadline: m.now.Add(callerTimeout),
	}
	m.result.Submitted[c.Name]++
	m.result.Sent++
	r.onFinished = func(r *request) { m.result.recordLatency(c.Name, m.now.Sub(r.arrivedAt)) }
	r.onRefused = func(*request) { m.result.Refusals[c.Name]++ }
	m.gates[m.rnd.IntN(len(m.gates))].submit(r)
}

// sortedBySerial returns an engine's requests in the order of their start, which
// makes a run deterministic.
func sortedBySerial(reqs map[string]*request) []*request {
	list := make([]*request, 0, len(reqs))
	for _, r := range reqs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].serial < list[j].serial })
	return list
}
