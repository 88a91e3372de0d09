// Package gate faces callers, trainers and operators over HTTP.
package gate

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/claim"
	"quetzalpier/conf"
	"quetzalpier/engine"
	"quetzalpier/link"
	"quetzalpier/meter"
	"quetzalpier/send"
	"quetzalpier/wire"
)

// Options configure a Gate.
type Options struct {
	Board  *board.Board
	Sender *send.Sender
	Engine *engine.Client
	Links  *link.Links
	Claims *claim.Book
	KV     quetzalpier.KV
	Meter  *meter.Meter
	Log    zerolog.Logger
	// Trainer carries a trainer's call to the owner of its steps.
	Trainer func(ctx context.Context, call *wire.Trainer) *wire.Answer
	// Tell passes news on to other nodes.
	Tell func()
	// AllCut tells whether the platform is out for everyone.
	AllCut func(now time.Time) bool
	// Drain starts the node's planned stop.
	Drain func()
	// Token guards operators' calls; empty leaves them to the loopback interface.
	Token string
	// Keep is how long callers keep an address answer.
	Keep time.Duration
	// Bound is how old the word that the configuration is current may be.
	Bound time.Duration
	// ServeStale lets the node serve beyond the bound.
	ServeStale bool
	// Wait bounds an interactive request's wait for a slot.
	Wait time.Duration
	// Body is the largest request body, in bytes.
	Body    int
	Version string
}

// Gate serves HTTP.
type Gate struct {
	Options

	app      *fiber.App
	listener net.Listener
	serving  conc.WaitGroup
	streams  conc.WaitGroup
	flight   *flight
}

// New opens the gate's address and serves it.
func New(addr string, options Options) (*Gate, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	g := &Gate{Options: options, listener: listener, flight: newFlight()}
	g.app = fiber.New(fiber.Config{
		BodyLimit:    bodySlack * options.Body,
		ErrorHandler: g.fail,
		IdleTimeout:  idleTimeout,
		// Strings taken from a request must outlive its handler.
		Immutable: true,
	})
	g.routes()
	g.serving.Go(func() {
		if err := g.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			g.Log.Error().Err(err).Msg("gate stopped")
		}
	})
	return g, nil
}

const (
	idleTimeout = 30 * time.Second
	// bodySlack times the limit is read before a connection is closed on a
	// body, so that one somewhat too large gets its answer.
	bodySlack = 4
)

// Addr is the gate's address.
func (g *Gate) Addr() string { return g.listener.Addr().String() }

// Close stops the gate once no request is in flight, or when ctx ends.
func (g *Gate) Close(ctx context.Context) error {
	g.flight.wait(ctx)
	err := g.app.ShutdownWithContext(ctx)
	g.serving.Wait()
	return errors.Wrap(err, "stop gate")
}

// InFlight counts the requests that are not yet answered whole.
func (g *Gate) InFlight() int { return g.flight.count() }

func (g *Gate) routes() {
	g.app.Use(g.track, g.limit)
	g.app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	g.app.Get("/readyz", g.ready)
	g.app.Get("/metrics", metrics(g.Meter))
	g.app.Get("/v1/nodes", g.nodes)
	g.app.Get("/v1/models", g.models)

	g.app.Post("/v1/completions", g.current, g.complete)
	g.app.Post("/v1/chat/completions", g.current, g.complete)
	g.app.All("/svc/:pool/*", g.current, g.service)

	g.app.Put("/v1/trainers/:trainer/steps/:step", g.current, g.trainer(wire.Trainer_PUT))
	g.app.Delete("/v1/trainers/:trainer/steps/:step", g.current, g.trainer(wire.Trainer_CLOSE))
	g.app.Post("/v1/trainers/:trainer/steps/:step/pull", g.current, g.trainer(wire.Trainer_PULL))
	g.app.Post("/v1/trainers/:trainer/publish", g.current, g.publish)

	g.app.Get("/v1/config", g.operator, g.getConfig)
	g.app.Patch("/v1/config", g.operator, g.patchConfig)
	g.app.Get("/v1/status", g.operator, g.status)
	g.app.Post("/v1/drain", g.operator, g.drain)
}

func metrics(m *meter.Meter) fiber.Handler {
	handler := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	return func(c fiber.Ctx) error {
		handler(c.RequestCtx())
		return nil
	}
}

// track counts the request as in flight until its answer is whole, and has
// kept connections closed while the node drains.
func (g *Gate) track(c fiber.Ctx) error {
	done := g.flight.begin()
	defer done()
	if g.draining() {
		c.RequestCtx().SetConnectionClose()
	}
	return c.Next()
}

// limit refuses bodies that are too large.
func (g *Gate) limit(c fiber.Ctx) error {
	if len(c.Request().Body()) <= g.Body {
		return c.Next()
	}
	return &quetzalpier.Refusal{
		Type: "size", Title: "body too large", Status: fasthttp.StatusRequestEntityTooLarge,
		Detail: "at most " + strconv.Itoa(g.Body) + " bytes", Ran: quetzalpier.RanNo,
	}
}

func (g *Gate) draining() (yes bool) {
	g.Board.Do(func(s *board.State) { yes = s.Self.State != board.Alive })
	return yes
}

// current refuses work while the node does not know whether its configuration
// is the one in force.
func (g *Gate) current(c fiber.Ctx) error {
	if g.isCurrent(time.Now()) {
		return c.Next()
	}
	return quetzalpier.Busy("stale", "this node has not heard lately whether its configuration is current", quetzalpier.RanNo, g.Sender.Spread(time.Second))
}

func (g *Gate) isCurrent(now time.Time) bool {
	confirmed, known := false, false
	g.Board.Do(func(s *board.State) {
		confirmed = conf.Confirmed(s, g.Bound, now)
		known = s.Config.Number > 0
	})
	return confirmed || (known && (g.ServeStale || g.AllCut(now)))
}

// operator guards operators' calls.
func (g *Gate) operator(c fiber.Ctx) error {
	if g.Token == "" {
		if net.ParseIP(c.IP()).IsLoopback() {
			return c.Next()
		}
		return &quetzalpier.Refusal{Type: "token", Title: "forbidden", Status: fasthttp.StatusForbidden, Detail: "operators' calls need a token, and none is set up", Ran: quetzalpier.RanNo}
	}
	if equal(strings.TrimPrefix(c.Get("Authorization"), "Bearer "), g.Token) {
		return c.Next()
	}
	return &quetzalpier.Refusal{Type: "token", Title: "unauthorized", Status: fasthttp.StatusUnauthorized, Detail: "the operators' token is missing or wrong", Ran: quetzalpier.RanNo}
}

func (g *Gate) ready(c fiber.Ctx) error {
	if g.draining() || !g.isCurrent(time.Now()) {
		return quetzalpier.Busy("unready", "this node takes no new callers", quetzalpier.RanNo, time.Second)
	}
	return c.SendString("ok\n")
}
