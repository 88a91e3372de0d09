package stand

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/model"
)

// CrashMark in a prompt crashes the engine that runs it.
const CrashMark = "<crash>"

// heartbeatEvery is how often a queued or slow stream sends a comment line.
const heartbeatEvery = 500 * time.Millisecond

// EngineFaults are an engine's switches.
type EngineFaults struct {
	// Frozen stops all work and all answers.
	Frozen bool `json:"frozen"`
	// FailSwaps makes this many orders fail halfway.
	FailSwaps int `json:"failswaps"`
	// Lie makes orders look done without a change of the weights.
	Lie bool `json:"lie"`
	// Slow multiplies the step time.
	Slow float64 `json:"slow"`
	// Down is how long a crashed engine stays away, in milliseconds.
	Down int `json:"down"`
}

// EngineOptions describe an engine.
type EngineOptions struct {
	Addr    string
	Params  model.Params
	Version quetzalpier.Version
	// Fenced engines refuse orders with an old fencing number.
	Fenced bool
	// Swap is how long a change of weights takes.
	Swap time.Duration
	// Weights is the address of the weight store, if there is one.
	Weights string
	Delay   time.Duration
}

// Engine is the stand-in for a model engine.
type Engine struct {
	opts EngineOptions
	addr string

	mu      sync.Mutex
	server  *Server
	batch   *model.Batch
	jobs    map[string]*engineJob
	state   quetzalpier.EngineState
	claimed quetzalpier.Version
	faults  EngineFaults
	runs    map[string]int
	obeyed  []quetzalpier.Order
	crashes int
	lastRun time.Time
	serial  uint64
	wake    chan struct{}
	stop    chan struct{}
	workers conc.WaitGroup
}

type engineJob struct {
	seq    *model.Seq
	prompt string
	poison bool
	sent   int
	event  chan struct{}
	gone   bool
}

// NewEngine starts an engine.
func NewEngine(opts EngineOptions) (*Engine, error) {
	e := &Engine{opts: opts, addr: opts.Addr, runs: map[string]int{}, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	e.reset()
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.workers.Go(e.run)
	return e, nil
}

// Addr is the engine's address.
func (e *Engine) Addr() string { return e.addr }

// Close stops the engine.
func (e *Engine) Close() {
	close(e.stop)
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	if server != nil {
		server.Close()
	}
	e.workers.Wait()
}

// Faults is the listener's switches; nil while the engine is down.
func (e *Engine) Faults() *Listener {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return nil
	}
	return e.server.Faults
}

// SetFaults sets the switches.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	e.faults = f
	e.batch.Params.Slow = f.Slow
	e.mu.Unlock()
	e.signal()
}

// SetLeaving makes the engine report that it leaves.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	e.state.Leaving = leaving
	e.mu.Unlock()
}

// Report is what an engine did, for checks from the outside.
type Report struct {
	Runs    map[string]int      `json:"runs"`
	Obeyed  []quetzalpier.Order `json:"obeyed"`
	Crashes int                 `json:"crashes"`
	Version quetzalpier.Version `json:"version"`
	// LastRun is when the last request arrived.
	LastRun time.Time `json:"lastrun"`
}

// Report returns what the engine did so far.
func (e *Engine) Report() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for prompt, n := range e.runs {
		runs[prompt] = n
	}
	return Report{runs, append([]quetzalpier.Order(nil), e.obeyed...), e.crashes, e.batch.Version, e.lastRun}
}

// Crash drops all connections and state; the engine comes back after down.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.crashes++
	for _, job := range e.jobs {
		job.gone = true
		job.notify()
	}
	e.reset()
	e.mu.Unlock()
	if server == nil {
		return
	}
	e.workers.Go(func() {
		server.Close()
		select {
		case <-e.stop:
		case <-time.After(down):
			_ = e.listen()
		}
	})
}

// reset starts the engine's process state anew.
func (e *Engine) reset() {
	e.batch = model.New(e.opts.Params, e.opts.Version)
	e.batch.Params.Slow = e.faults.Slow
	e.jobs = map[string]*engineJob{}
	e.claimed = e.opts.Version
	e.state = quetzalpier.EngineState{BootID: strconv.FormatInt(time.Now().UnixNano(), 36)}
}

func (e *Engine) listen() error {
	server, err := Serve(e.addr, e.opts.Delay, e.handle)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = server
	e.addr = server.Addr
	return nil
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) run() {
	for {
		pause, idle := e.begin()
		if idle {
			select {
			case <-e.stop:
				return
			case <-e.wake:
			}
			continue
		}
		select {
		case <-e.stop:
			return
		case <-time.After(pause):
			e.finish()
		}
	}
}

func (e *Engine) begin() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Frozen || e.state.Loading != 0 || e.server == nil {
		return 20 * time.Millisecond, false
	}
	if e.batch.Idle() {
		return 0, true
	}
	return e.batch.Begin(), false
}

func (e *Engine) finish() {
	e.mu.Lock()
	if e.faults.Frozen || e.state.Loading != 0 || e.server == nil {
		e.mu.Unlock()
		return
	}
	e.batch.Step()
	crash := false
	for _, job := range e.jobs {
		job.notify()
		crash = crash || (job.poison && job.seq.Made > 0)
	}
	down := time.Duration(e.faults.Down) * time.Millisecond
	e.mu.Unlock()
	if crash {
		e.Crash(max(down, 100*time.Millisecond))
	}
}

func (j *engineJob) notify() {
	select {
	case j.event <- struct{}{}:
	default:
	}
}

func (e *Engine) handle(c *fasthttp.RequestCtx) {
	for e.frozen() {
		time.Sleep(20 * time.Millisecond)
	}
	switch string(c.Path()) {
	case "/v1/completions", "/v1/chat/completions":
		e.handleGenerate(c)
	case "/state":
		body, _ := json.Marshal(e.currentState())
		c.SetBody(body)
	case "/order":
		e.handleOrder(c)
	case "/report":
		body, _ := json.Marshal(e.Report())
		c.SetBody(body)
	case "/fault":
		e.handleFault(c)
	default:
		c.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (e *Engine) frozen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Frozen
}

func (e *Engine) handleFault(c *fasthttp.RequestCtx) {
	switch string(c.QueryArgs().Peek("kind")) {
	case "crash":
		e.Crash(time.Duration(c.QueryArgs().GetUintOrZero("down")) * time.Millisecond)
	case "silence":
		e.Faults().Silence()
	case "leaving":
		e.SetLeaving(true)
	default:
		var f EngineFaults
		if err := json.Unmarshal(c.PostBody(), &f); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		e.SetFaults(f)
	}
}

func (e *Engine) currentState() quetzalpier.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Version = e.claimed
	state.Running = len(e.batch.Running)
	state.Queued = len(e.batch.Queue)
	return state
}

// Busy counts the sequences that run or wait.
func (e *Engine) Busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch.Running) + len(e.batch.Queue)
}
