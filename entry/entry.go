// Package entry faces clients on the users' platform: it tells them where to
// connect, forwards their requests to upstreams and takes trainers' jobs.
package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/link"
	"quetzalpier/meter"
	"quetzalpier/platform"
	"quetzalpier/send"
	"quetzalpier/vault"
	"quetzalpier/wire"
)

const (
	// idleTimeout is above the idle time that operators allow clients.
	idleTimeout = 75 * time.Second
	readTimeout = 30 * time.Second
	// maxBody bounds a request's body until a configuration is known.
	maxBody     = 64 << 20
	maxHeader   = 64 << 10
	concurrency = 3000
)

// Options configure an Entry.
type Options struct {
	Board  *board.Board
	Sender *send.Sender
	Links  *link.Links
	Vault  *vault.Vault
	Meter  *meter.Meter
	Log    zerolog.Logger
	// Call makes a call to another node.
	Call func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
	// Keep is how long clients keep an answer to where to connect.
	Keep time.Duration
	// History is how long results stay readable.
	History time.Duration
	// Steady tells whether the list of nodes is up to date.
	Steady func(now time.Time) bool
	// Cut tells whether the key-value service turned this node's last call away.
	Cut func() bool
}

// Entry serves clients.
type Entry struct {
	Options

	servers  []*fasthttp.Server
	workers  conc.WaitGroup
	flight   atomic.Int64
	draining atomic.Bool

	mu    sync.Mutex
	kept  map[string]*kept
	facts map[string]facts
	seen  map[string]seenNode
}

// New returns an entry that serves nothing yet.
func New(options Options) *Entry {
	return &Entry{Options: options, kept: map[string]*kept{}, facts: map[string]facts{}, seen: map[string]seenNode{}}
}

// ServeFront serves clients' requests on addr.
func (e *Entry) ServeFront(addr string) error { return e.serve(addr, e.front, true) }

// ServeReady serves the platform's health checks on addr.
func (e *Entry) ServeReady(addr string) error { return e.serve(addr, e.ready, false) }

// ServeLookup tells clients on addr where to connect.
func (e *Entry) ServeLookup(addr string) error { return e.serve(addr, e.lookup, false) }

// ServeMetrics serves the metrics page on addr.
func (e *Entry) ServeMetrics(addr string) error {
	return e.serve(addr, fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(e.Meter.Registry, promhttp.HandlerOpts{})), false)
}

func (e *Entry) serve(addr string, handler fasthttp.RequestHandler, watch bool) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if watch {
		listener = &watchListener{listener}
	}
	server := &fasthttp.Server{
		Handler: handler, IdleTimeout: idleTimeout, ReadTimeout: readTimeout, MaxRequestBodySize: maxBody,
		ReadBufferSize: maxHeader, Concurrency: concurrency,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		CloseOnShutdown: true, Logger: quiet{},
	}
	e.servers = append(e.servers, server)
	e.workers.Go(func() {
		if err := server.Serve(listener); err != nil {
			e.Log.Error().Str("addr", addr).Err(err).Msg("server ended")
		}
	})
	return nil
}

// quiet drops the HTTP library's own lines: every failed request has a line of
// ours.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// Drain makes the node unready; requests in flight and new ones are served on,
// and kept connections are closed with their next answer.
func (e *Entry) Drain() { e.draining.Store(true) }

// InFlight counts the requests that are not answered yet.
func (e *Entry) InFlight() int { return int(e.flight.Load()) }

// Close ends the servers once no request is in flight, or with ctx.
func (e *Entry) Close(ctx context.Context) {
	for _, server := range e.servers {
		if err := server.ShutdownWithContext(ctx); err != nil {
			e.Log.Warn().Err(err).Int("requests", e.InFlight()).Msg("requests were cut off")
		}
	}
}

func (e *Entry) ready(c *fasthttp.RequestCtx) {
	known := false
	e.Board.Do(func(s *board.State) { known = s.Config.Number > 0 })
	if !known || e.draining.Load() {
		c.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// front answers a client's request.
func (e *Entry) front(c *fasthttp.RequestCtx) {
	e.flight.Add(1)
	defer e.flight.Add(-1)
	start := time.Now()
	if e.draining.Load() {
		c.SetConnectionClose()
	}
	req := newRequest(c, start)
	if ambiguous(&c.Request.Header) {
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
	e.Meter.Requests.WithLabelValues(class, "client", strconv.Itoa(status)).Observe(meter.Since(start, time.Now()))
}

// dispatch finds out what is asked for and answers it.
func (e *Entry) dispatch(c *fasthttp.RequestCtx, req *request) *quetzalpier.Route {
	var route quetzalpier.Route
	var number uint64
	most, found := 0, false
	e.Board.Do(func(s *board.State) {
		number, most = s.Config.Number, s.Config.Input.Body
		route, found = s.Config.Match(req.host, req.path)
	})
	req.config = number
	switch {
	case most > 0 && len(c.Request.Body()) > most:
		e.refuse(c, req, &quetzalpier.Refusal{
			Type: "size", Title: "body too large", Status: http.StatusRequestEntityTooLarge,
			Detail: "at most " + strconv.Itoa(most) + " bytes", Ran: quetzalpier.RanNo,
		})
	case number == 0:
		e.refuse(c, req, quetzalpier.Busy("config", "no configuration known yet", quetzalpier.RanNo, e.Sender.Spread(emptyAfter)))
	case found && route.Batch:
		e.submit(c, req, &route)
	case found && route.Stream:
		e.stream(c, req, &route)
	case found:
		e.forward(c, req, &route)
	default:
		e.about(c, req)
		return nil
	}
	return &route
}

// about answers a call about a job, or 404.
func (e *Entry) about(c *fasthttp.RequestCtx, req *request) {
	call, ok, err := platform.ParseCall(req.method, req.path, func(name string) string { return string(c.QueryArgs().Peek(name)) })
	switch {
	case err != nil:
		e.refuse(c, req, quetzalpier.Malformed(err))
	case !ok:
		e.refuse(c, req, quetzalpier.Missing("route", "no route leads there"))
	case call.End:
		e.end(c, req, call)
	case call.Task != "":
		e.body(c, req, call)
	default:
		e.read(c, req, call)
	}
}
