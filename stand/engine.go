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

// CrashMarker is the text that crashes the engine if the prompt contains it.
const CrashMarker = "<crash>"

// heartbeatEvery is the longest time between two lines of a queued or slow stream:
// until the next chunk is complete, the stream sends comment lines.
const heartbeatEvery = 500 * time.Millisecond

// EngineFaults are the faults injected into an engine.
type EngineFaults struct {
	// Frozen stops generation and blocks all requests.
	Frozen bool `json:"frozen"`
	// FailSwaps is the number of further orders whose weight swap fails.
	FailSwaps int `json:"failswaps"`
	// FalseSuccess makes the engine report orders as done without changing the
	// weights.
	FalseSuccess bool `json:"lie"`
	// SlowFactor multiplies the duration of a step.
	SlowFactor float64 `json:"slow"`
	// DowntimeMs is the time until an engine that CrashMarker crashed restarts, in
	// milliseconds. It is at least 100 ms.
	DowntimeMs int `json:"down"`
}

// EngineOptions configure an Engine.
type EngineOptions struct {
	Addr    string
	Params  model.Params
	Version quetzalpier.Version
	// ChecksFence makes the engine refuse orders with an outdated fencing token.
	ChecksFence bool
	// SwapDuration is the duration of a weight swap, without the fetch.
	SwapDuration time.Duration
	// WeightsAddr is the address of the weight store; if empty, nothing is fetched.
	WeightsAddr string
	// Latency is the network latency to the engine.
	Latency time.Duration
}

// Engine is the stand-in for a model engine.
type Engine struct {
	opts EngineOptions
	addr string

	mu              sync.Mutex
	server          *Server
	batch           *model.Batch
	jobs            map[string]*engineJob
	state           quetzalpier.EngineState
	reportedVersion quetzalpier.Version
	faults          EngineFaults
	runs            map[string]int
	acceptedOrders  []quetzalpier.Order
	crashes         int
	lastRun         time.Time
	lastID          uint64
	wakeCh          chan struct{}
	stopCh          chan struct{}
	workers         conc.WaitGroup
}

type engineJob struct {
	seq           *model.Seq
	prompt        string
	crashesEngine bool
	sentTokens    int
	progressCh    chan struct{}
	aborted       bool
}

// NewEngine starts an engine.
func NewEngine(opts EngineOptions) (*Engine, error) {
	e := &Engine{opts: opts, addr: opts.Addr, runs: map[string]int{}, wakeCh: make(chan struct{}, 1), stopCh: make(chan struct{})}
	e.reset()
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.workers.Go(e.runSteps)
	return e, nil
}

// Addr returns the engine's address.
func (e *Engine) Addr() string { return e.addr }

// Close stops the engine.
func (e *Engine) Close() {
	close(e.stopCh)
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	if server != nil {
		server.Close()
	}
	e.workers.Wait()
}

// FaultListener returns the listener, which injects connection faults. It is nil
// while the engine is down.
func (e *Engine) FaultListener() *Listener {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return nil
	}
	return e.server.FaultListener
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	e.faults = f
	e.batch.Params.SlowFactor = f.SlowFactor
	e.mu.Unlock()
	e.wakeRunner()
}

// SetLeaving sets whether the engine reports that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	e.state.Leaving = leaving
	e.mu.Unlock()
}

// EngineReport lists what an engine has done, for checks by tests and the audit.
type EngineReport struct {
	Runs           map[string]int      `json:"runs"`
	AcceptedOrders []quetzalpier.Order `json:"obeyed"`
	Crashes        int                 `json:"crashes"`
	Version        quetzalpier.Version `json:"version"`
	// LastRun is the arrival time of the last generation request.
	LastRun time.Time `json:"lastrun"`
}

// Report returns what the engine has done so far.
func (e *Engine) Report() EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for prompt, n := range e.runs {
		runs[prompt] = n
	}
	return EngineReport{runs, append([]quetzalpier.Order(nil), e.acceptedOrders...), e.crashes, e.batch.Version, e.lastRun}
}

// Crash drops all connections and state. The engine restarts after the time down.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.crashes++
	for _, job := range e.jobs {
		job.aborted = true
		job.notifyProgress()
	}
	e.reset()
	e.mu.Unlock()
	if server == nil {
		return
	}
	e.workers.Go(func() {
		server.Close()
		select {
		case <-e.stopCh:
		case <-time.After(down):
			_ = e.listen()
		}
	})
}

// reset initializes the state that does not survive a restart.
func (e *Engine) reset() {
	e.batch = model.New(e.opts.Params, e.opts.Version)
	e.batch.Params.SlowFactor = e.faults.SlowFactor
	e.jobs = map[string]*engineJob{}
	e.reportedVersion = e.opts.Version
	e.state = quetzalpier.EngineState{BootID: strconv.FormatInt(time.Now().UnixNano(), 36)}
}

func (e *Engine) listen() error {
	server, err := Serve(e.addr, e.opts.Latency, e.handle)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = server
	e.addr = server.Addr
	return nil
}

func (e *Engine) wakeRunner() {
	select {
	case e.wakeCh <- struct{}{}:
	default:
	}
}

func (e *Engine) runSteps() {
	for {
		pause, idle := e.beginStep()
		if idle {
			select {
			case <-e.stopCh:
				return
			case <-e.wakeCh:
			}
			continue
		}
		select {
		case <-e.stopCh:
			return
		case <-time.After(pause):
			e.finishStep()
		}
	}
}

func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Frozen || e.state.Loading != 0 || e.server == nil {
		return 20 * time.Millisecond, false
	}
	if e.batch.Idle() {
		return 0, true
	}
	return e.batch.StartStep(), false
}

func (e *Engine) finishStep() {
	e.mu.Lock()
	if e.faults.Frozen || e.state.Loading != 0 || e.server == nil {
		e.mu.Unlock()
		return
	}
	e.batch.FinishStep()
	crash := false
	for _, job := range e.jobs {
		job.notifyProgress()
		crash = crash || (job.crashesEngine && job.seq.GeneratedTokens > 0)
	}
	down := time.Duration(e.faults.DowntimeMs) * time.Millisecond
	e.mu.Unlock()
	if crash {
		e.Crash(max(down, 100*time.Millisecond))
	}
}

func (j *engineJob) notifyProgress() {
	select {
	case j.progressCh <- struct{}{}:
	default:
	}
}

func (e *Engine) handle(c *fasthttp.RequestCtx) {
	for e.isFrozen() {
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
		c.Error("unknown path", fasthttp.StatusNotFound)
	}
}

func (e *Engine) isFrozen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Frozen
}

func (e *Engine) handleFault(c *fasthttp.RequestCtx) {
	switch string(c.QueryArgs().Peek("kind")) {
	case "crash":
		e.Crash(time.Duration(c.QueryArgs().GetUintOrZero("down")) * time.Millisecond)
	case "silence":
		e.FaultListener().Silence()
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
	state.Version = e.reportedVersion
	state.Running = len(e.batch.Running)
	state.Queued = len(e.batch.Queue)
	return state
}

// SequenceCount returns the number of running and queued sequences.
func (e *Engine) SequenceCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch.Running) + len(e.batch.Queue)
}
