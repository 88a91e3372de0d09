// Package entry serves clients on the users' platform: it answers lookups of
// node addresses, forwards requests to upstreams and accepts trainers' jobs.
package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"quetzalpier"
	"quetzalpier/access"
	"quetzalpier/board"
	"quetzalpier/intake"
	"quetzalpier/meter"
	"quetzalpier/origin"
	"quetzalpier/platform"
	"quetzalpier/send"
	"quetzalpier/sleep"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

const (
	// idleTimeout exceeds the idle time that operators configure for clients.
	idleTimeout = 75 * time.Second
	readTimeout = 30 * time.Second
	// maxBody is the limit of a request body in bytes; the configuration may set a lower one.
	maxBody = 64 << 20
	// defaultMemory and defaultFiles are the limits of a process without settings.
	defaultMemory = 256 << 20
	defaultFiles  = 4096
	defaultHead   = 64 << 10
)

// Options configure an Entry.
type Options struct {
	Board     *board.Board
	Sender    *send.Sender
	Upstreams *platform.Upstreams
	Origins   *origin.Store
	Vault     *vault.Vault
	Meter     *meter.Meter
	Log       zerolog.Logger
	// Runs records the requests of customers that upstreams began to run; nil for nothing.
	Runs RunRecorder
	// Call sends a call to another node.
	Call func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
	// StopJob ends a job at this node at once, if the node processes it and it is the
	// customer's, before its end is stored; nil for a node that processes no jobs.
	StopJob func(job, customer string, endedAt, now time.Time)
	// LookupTTL is the time for which clients may cache a lookup answer.
	LookupTTL time.Duration
	// Retention is the time for which results stay readable.
	Retention time.Duration
	// MaxLostDisks is how many disks may be lost at a time without losing a job: each kept
	// job is on one more.
	MaxLostDisks int
	// KVStable reports whether the key-value service has been available for so long
	// that the list of nodes is up to date and missing entries don't exist.
	KVStable func(now time.Time) bool
	// ReaderTimeout is how long the reader of a stream may take nothing; zero for the
	// default.
	ReaderTimeout time.Duration
	// ReadTimeout is how long a client may take for a request; zero for the default.
	ReadTimeout time.Duration
	// KVFailed reports whether the key-value service refused or did not answer this
	// node's last direct call.
	KVFailed func() bool
	// ConfigAge returns the time since the configuration was last known to be current.
	ConfigAge func(now time.Time) time.Duration
	// RefuseAfter is the age of the configuration beyond which no API key is trusted; zero
	// for none.
	RefuseAfter time.Duration
	// Budget bounds what clients make the process hold; the zero value is that of a small VM.
	Budget intake.Budget
}

// Entry serves clients.
type Entry struct {
	Options

	bodies *intake.Pool
	// storing and reading bound the copies of jobs on their way to the key-value service and back.
	storing, reading *copies
	results          *resultCache
	servers          []*fasthttp.Server
	listeners        []*watchListener
	workers          conc.WaitGroup
	inFlight         atomic.Int64
	draining         atomic.Bool
	// ctx ends when the Entry is closed, and serving shortly before a planned stop breaks off
	// the requests in flight.
	ctx         context.Context
	close       context.CancelFunc
	serving     context.Context
	stopServing context.CancelFunc
	durations   durations

	mu      sync.Mutex
	stop    stopPlan
	records map[string]jobRecord
	// recordsSweptAt is when expired records were last dropped.
	recordsSweptAt time.Time
	// uncheckedEnds holds the jobs of the ends whose clients' API keys are still to be checked.
	uncheckedEnds map[*request]string
	// unstoredEnds are the ends that are still to be stored.
	unstoredEnds map[endKey]*unstoredEnd
	seenNodes    map[string]seenNode
	// named holds the addresses of the last lookup answer by node.
	named map[string]string
}

// New returns an Entry. It serves nothing until one of its Serve methods is
// called.
func New(options Options) *Entry {
	if options.ReaderTimeout == 0 {
		options.ReaderTimeout = readerTimeout
	}
	if options.ReadTimeout == 0 {
		options.ReadTimeout = readTimeout
	}
	if options.Budget == (intake.Budget{}) {
		options.Budget = intake.NewBudget(defaultMemory, defaultFiles, defaultHead)
	}
	ctx, cancel := context.WithCancel(context.Background())
	serving, stopServing := context.WithCancel(context.Background())
	e := &Entry{
		Options: options, bodies: intake.NewPool(options.Budget.Bodies), storing: newCopies(options.Budget.Copies), reading: newCopies(options.Budget.Copies), results: newResultCache(options.Budget.Results, options.Retention), ctx: ctx, close: cancel, serving: serving, stopServing: stopServing,
		records: map[string]jobRecord{}, unstoredEnds: map[endKey]*unstoredEnd{}, uncheckedEnds: map[*request]string{}, seenNodes: map[string]seenNode{},
	}
	e.bodies.OnYield = e.Meter.Yielded.WithLabelValues("body").Inc
	e.Meter.WatchHeldBytes(e.bodies.Held)
	return e
}

// ServeFront starts serving clients' requests on addr.
func (e *Entry) ServeFront(addr string) error {
	return e.serve("front", addr, e.Budget.Front, e.handleFront)
}

// ServeReady starts serving the platform's health checks on addr.
func (e *Entry) ServeReady(addr string) error {
	return e.serve("ready", addr, e.Budget.Ready, withoutBody(e.handleReady))
}

// ServeLookup starts serving clients' lookups of node addresses on addr.
func (e *Entry) ServeLookup(addr string) error {
	return e.serve("lookup", addr, e.Budget.Lookup, withoutBody(e.handleLookup))
}

// ServeMetrics starts serving the metrics page on addr.
func (e *Entry) ServeMetrics(addr string) error {
	page := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(e.Meter.Registry, promhttp.HandlerOpts{}))
	return e.serve("metrics", addr, e.Budget.Ready, withoutBody(func(c *fasthttp.RequestCtx) {
		// The adaptor would read the body.
		if c.RequestBodyStream() != nil && c.Request.Header.ContentLength() != 0 {
			c.SetStatusCode(http.StatusBadRequest)
			return
		}
		page(c)
	}))
}

// serve starts serving a port.
func (e *Entry) serve(port, addr string, bounds intake.Port, handler fasthttp.RequestHandler) error {
	listener, err := listen(addr, bounds)
	if err != nil {
		return err
	}
	if listener.queueErr != nil {
		e.Log.Warn().Str("addr", addr).Err(listener.queueErr).Msg("the queue of new connections can't be bounded")
	}
	listener.open, listener.yielded, listener.rejected = e.Meter.ClientConns.WithLabelValues(port), e.Meter.Yielded.WithLabelValues(port), e.Meter.RejectedConns.WithLabelValues(port)
	e.listeners = append(e.listeners, listener)
	server := &fasthttp.Server{
		Handler: handler, IdleTimeout: idleTimeout, ReadTimeout: e.ReadTimeout,
		// The handler decides by the head whether the body is read. Of a longer one, the server
		// reads this much before.
		StreamRequestBody: true, MaxRequestBodySize: 1,
		ReadBufferSize: e.Budget.HeadBytes, ConnState: connState,
		// The listener has fewer places, some of which are taken for a moment longer.
		Concurrency: 2 * bounds.Places,
		// A form that is parsed is written anew, and not as it came.
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true, NoDefaultDate: true, NoDefaultContentType: true,
		CloseOnShutdown: true, Logger: discardLogger{},
	}
	e.servers = append(e.servers, server)
	e.workers.Go(func() {
		if err := server.Serve(listener); err != nil {
			e.Log.Error().Str("addr", addr).Err(err).Msg("HTTP server failed")
		}
	})
	return nil
}

// discardLogger drops the log lines of fasthttp, because the entry logs every
// failed request itself.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// InFlight returns the number of requests that are not answered yet.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// Close stops the servers after the requests in flight, or when ctx ends, and hands the ends
// that are not stored yet to other nodes.
func (e *Entry) Close(ctx context.Context) {
	var shutdowns, sweeper conc.WaitGroup
	sweepCtx, stopSweeper := context.WithCancel(ctx)
	sweeper.Go(func() { e.closeUnusedConns(sweepCtx) })
	for _, server := range e.servers {
		shutdowns.Go(func() {
			if err := server.ShutdownWithContext(ctx); err != nil {
				e.Log.Warn().Err(err).Int("requests", e.InFlight()).Msg("HTTP server shutdown interrupted requests")
			}
		})
	}
	shutdowns.Go(func() { e.handOverEnds(ctx) })
	shutdowns.Wait()
	stopSweeper()
	sweeper.Wait()
	e.handOverEnds(ctx)
	e.close()
	e.logUnstoredEnds()
}

// closeUnusedConns closes the connections that have brought no request, until ctx ends.
func (e *Entry) closeUnusedConns(ctx context.Context) {
	for sleep.For(ctx, unusedInterval) {
		for _, listener := range e.listeners {
			listener.closeUnused(time.Now())
		}
	}
}

func (e *Entry) handleReady(c *fasthttp.RequestCtx) {
	known := false
	e.Board.Do(func(s *board.State) { known = s.Config.Number > 0 })
	if !known || e.draining.Load() {
		c.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// handleFront serves a client's request and records its duration.
func (e *Entry) handleFront(c *fasthttp.RequestCtx) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	start := time.Now()
	if e.draining.Load() {
		c.SetConnectionClose()
	}
	limitWrites(c, 0)
	req := newRequest(c, start)
	setPhase(c, intake.Serving)
	defer func() {
		req.takeBody()()
		if !req.received {
			closeUnread(c)
		}
	}()
	if hasAmbiguousLength(&c.Request.Header) {
		e.refuse(c, req, quetzalpier.Invalid("Content-Length", "must not stand beside Transfer-Encoding"))
		c.SetConnectionClose()
		return
	}
	route := e.dispatch(c, req)
	class := "none"
	if route != nil {
		class = route.Name
	}
	status := c.Response.StatusCode()
	if route != nil && !route.Stream && status < http.StatusMultipleChoices {
		e.durations.observe(route.Name, time.Since(req.start), time.Now())
	}
	e.Meter.Requests.WithLabelValues(class, "client", strconv.Itoa(status)).Observe(meter.SecondsBetween(req.start, time.Now()))
	if req.customer != nil {
		e.Meter.CountCustomer(req.customer.Name, strconv.Itoa(status))
	}
}

// routing is how the configuration in force routes a request.
type routing struct {
	route  quetzalpier.Route
	found  bool
	number uint64
	limits quetzalpier.Input
	// refused is the refusal of a request without a valid API key.
	refused error
}

// findRoute routes a request by its head.
func (e *Entry) findRoute(c *fasthttp.RequestCtx, req *request, now time.Time) routing {
	var r routing
	// The age comes first: a configuration that arrives in between is not older.
	req.freshness = access.Freshness{Age: e.ConfigAge(now), RefuseAfter: e.RefuseAfter}
	e.Board.Do(func(s *board.State) {
		req.index = s.Access
		r.number, r.limits = s.Config.Number, s.Config.InputLimits
		r.route, r.found = s.Config.MatchRoute(req.host, req.path)
	})
	req.configNumber, req.route, req.objective = r.number, r.route.Name, r.route.LatencyObjective
	if r.found {
		req.customer, r.refused = req.index.Check(credentials(c), &r.route, req.freshness)
	}
	return r
}

// slowBody is the time after which a body counts as slow: the configuration may have changed
// since its head came.
const slowBody = 50 * time.Millisecond

// dispatch serves a request by its route. It returns nil if no route matches.
func (e *Entry) dispatch(c *fasthttp.RequestCtx, req *request) *quetzalpier.Route {
	r := e.findRoute(c, req, req.start)
	tooLarge := checkSize(c, r.limits)
	var unread, stopping error
	if r.found && r.refused == nil && tooLarge == nil && r.number > 0 {
		headAt := req.start
		unread = e.receive(c, req, r.limits.MaxBodyBytes)
		if unread == nil && req.start.Sub(headAt) > slowBody {
			r = e.findRoute(c, req, req.start)
		}
		stopping = e.checkStop(req, &r.route, time.Now())
	}
	switch route := &r.route; {
	case r.refused != nil:
		e.refuseKey(c, req, r.refused)
	case tooLarge != nil:
		e.refuse(c, req, tooLarge)
	case r.number == 0:
		e.refuse(c, req, quetzalpier.Unavailable("config", "no configuration known yet", quetzalpier.RanNo, e.Sender.Jitter(noConfigRetryAfter)))
		e.endUnchecked(c, req)
	case unread != nil:
		e.refuse(c, req, unread)
	case !r.found:
		e.handleJobCall(c, req)
		return nil
	case stopping != nil:
		e.refuse(c, req, stopping)
	case route.Batch:
		e.submitJob(c, req, route)
	case route.Stream:
		e.handleStream(c, req, route)
	default:
		e.handleRequest(c, req, route)
	}
	if !r.found {
		return nil
	}
	return &r.route
}

func parseCall(c *fasthttp.RequestCtx, req *request) (call platform.Call, isCall bool, err error) {
	return platform.ParseCall(req.method, req.path, func(name string) string { return string(c.QueryArgs().Peek(name)) })
}

// handleJobCall serves a call about a submitted job. It responds 404 if the
// request is no such call.
func (e *Entry) handleJobCall(c *fasthttp.RequestCtx, req *request) {
	call, ok, err := parseCall(c, req)
	var refused error
	req.customer, refused = req.index.CheckJobCall(credentials(c), req.freshness)
	switch {
	case !ok:
		e.refuse(c, req, quetzalpier.NotFound("route", "no route leads there"))
	case refused != nil:
		e.refuseKey(c, req, refused)
		if isUnavailable(refused) {
			e.endUnchecked(c, req)
		}
	case err != nil:
		e.refuse(c, req, quetzalpier.Malformed(err))
	case call.End:
		e.endJob(c, req, call)
	case call.Task != "":
		e.serveTaskBody(c, req, call)
	default:
		e.readResults(c, req, call)
	}
}
