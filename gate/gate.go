// Package gate serves the HTTP API for callers, trainers and operators.
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
	Claims *claim.Registry
	KV     quetzalpier.KV
	Meter  *meter.Meter
	Log    zerolog.Logger
	// CallOwner forwards a trainer's call to the owner of its steps.
	CallOwner func(ctx context.Context, call *wire.Trainer) *wire.Answer
	// Broadcast sends changes of the board to other nodes.
	Broadcast func()
	// PlatformUnavailable reports whether the platform is unavailable to all
	// reachable nodes.
	PlatformUnavailable func(now time.Time) bool
	// Drain starts to drain the node.
	Drain func()
	// Token authenticates operators' calls; if it is empty, they are only
	// accepted from the loopback interface.
	Token string
	// NodesTTL is how long callers may cache the list of node addresses.
	NodesTTL time.Duration
	// ConfigMaxAge is how long ago the configuration may last have been confirmed
	// as current.
	ConfigMaxAge time.Duration
	// ServeStale lets the node serve when ConfigMaxAge is exceeded.
	ServeStale bool
	// MaxWait is the time until the deadline of requests that set no timeout.
	MaxWait time.Duration
	// MaxBodyBytes is the size limit of a request body.
	MaxBodyBytes int
	Version      string
}

// Gate is the HTTP server of a node.
type Gate struct {
	Options

	app      *fiber.App
	listener net.Listener
	serving  conc.WaitGroup
	streams  conc.WaitGroup
	flight   *flightCounter
}

// New listens on addr and starts to serve requests.
func New(addr string, options Options) (*Gate, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for HTTP")
	}
	g := &Gate{Options: options, listener: listener, flight: newFlightCounter()}
	g.app = fiber.New(fiber.Config{
		BodyLimit:    bodyReadFactor * options.MaxBodyBytes,
		ErrorHandler: g.writeError,
		IdleTimeout:  idleTimeout,
		// Strings from a request are used after its handler has returned.
		Immutable: true,
		// A form that is parsed is written anew, and not as it came.
		DisablePreParseMultipartForm: true,
	})
	g.routes()
	g.serving.Go(func() {
		if err := g.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			g.Log.Error().Err(err).Msg("HTTP server stopped unexpectedly")
		}
	})
	return g, nil
}

const (
	idleTimeout = 30 * time.Second
	// bodyReadFactor times MaxBodyBytes is the size at which the connection is
	// closed. Smaller bodies are read and, if above the limit, get a 413 response.
	bodyReadFactor = 4
)

// Addr returns the address that the gate listens on.
func (g *Gate) Addr() string { return g.listener.Addr().String() }

// Close stops the server once no request is in flight or ctx ends.
func (g *Gate) Close(ctx context.Context) error {
	g.flight.wait(ctx)
	err := g.app.ShutdownWithContext(ctx)
	g.serving.Wait()
	return errors.Wrap(err, "shut down HTTP server")
}

// InFlight returns the number of requests without a complete response.
func (g *Gate) InFlight() int { return g.flight.count() }

func (g *Gate) routes() {
	g.app.Use(g.trackInFlight, g.limitBody)
	g.app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	g.app.Get("/readyz", g.ready)
	g.app.Get("/metrics", metrics(g.Meter))
	g.app.Get("/v1/nodes", g.nodes)
	g.app.Get("/v1/models", g.models)

	g.app.Post("/v1/completions", g.requireCurrentConfig, g.handleCompletion)
	g.app.Post("/v1/chat/completions", g.requireCurrentConfig, g.handleCompletion)
	g.app.All("/svc/:pool/*", g.requireCurrentConfig, g.handleService)

	g.app.Put("/v1/trainers/:trainer/steps/:step", g.requireCurrentConfig, g.trainerHandler(wire.Trainer_PUT))
	g.app.Delete("/v1/trainers/:trainer/steps/:step", g.requireCurrentConfig, g.trainerHandler(wire.Trainer_CLOSE))
	g.app.Post("/v1/trainers/:trainer/steps/:step/pull", g.requireCurrentConfig, g.trainerHandler(wire.Trainer_PULL))
	g.app.Post("/v1/trainers/:trainer/publish", g.requireCurrentConfig, g.publish)

	g.app.Get("/v1/config", g.requireOperator, g.getConfig)
	g.app.Patch("/v1/config", g.requireOperator, g.patchConfig)
	g.app.Get("/v1/status", g.requireOperator, g.status)
	g.app.Post("/v1/drain", g.requireOperator, g.drain)
}

func metrics(m *meter.Meter) fiber.Handler {
	handler := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	return func(c fiber.Ctx) error {
		handler(c.RequestCtx())
		return nil
	}
}

// trackInFlight counts the request as in flight until its handler returns. While
// the node drains it disables keep-alive on the connection.
func (g *Gate) trackInFlight(c fiber.Ctx) error {
	done := g.flight.begin()
	defer done()
	if g.draining() {
		c.RequestCtx().SetConnectionClose()
	}
	return c.Next()
}

// limitBody refuses requests whose body exceeds MaxBodyBytes.
func (g *Gate) limitBody(c fiber.Ctx) error {
	if len(c.Request().Body()) <= g.MaxBodyBytes {
		return c.Next()
	}
	return &quetzalpier.Refusal{
		Type: "size", Title: "body too large", Status: fasthttp.StatusRequestEntityTooLarge,
		Detail: "at most " + strconv.Itoa(g.MaxBodyBytes) + " bytes", Ran: quetzalpier.RanNo,
	}
}

func (g *Gate) draining() (yes bool) {
	g.Board.Do(func(s *board.State) { yes = s.Self.State != board.Alive })
	return yes
}

// requireCurrentConfig refuses requests while the node can't tell whether its
// configuration is current.
func (g *Gate) requireCurrentConfig(c fiber.Ctx) error {
	if g.configCurrent(time.Now()) {
		return c.Next()
	}
	return quetzalpier.Unavailable("stale", "this node has not heard lately whether its configuration is current", quetzalpier.RanNo, g.Sender.Jitter(time.Second))
}

func (g *Gate) configCurrent(now time.Time) bool {
	confirmed, known := false, false
	g.Board.Do(func(s *board.State) {
		confirmed = conf.ConfirmedWithin(s, g.ConfigMaxAge, now)
		known = s.Config.Number > 0
	})
	return confirmed || (known && (g.ServeStale || g.PlatformUnavailable(now)))
}

// requireOperator refuses calls without operator credentials.
func (g *Gate) requireOperator(c fiber.Ctx) error {
	if g.Token == "" {
		if net.ParseIP(c.IP()).IsLoopback() {
			return c.Next()
		}
		return &quetzalpier.Refusal{Type: "token", Title: "forbidden", Status: fasthttp.StatusForbidden, Detail: "operators' calls need a token, and none is set up", Ran: quetzalpier.RanNo}
	}
	if secretsEqual(strings.TrimPrefix(c.Get("Authorization"), "Bearer "), g.Token) {
		return c.Next()
	}
	return &quetzalpier.Refusal{Type: "token", Title: "unauthorized", Status: fasthttp.StatusUnauthorized, Detail: "the operators' token is missing or wrong", Ran: quetzalpier.RanNo}
}

func (g *Gate) ready(c fiber.Ctx) error {
	if g.draining() || !g.configCurrent(time.Now()) {
		return quetzalpier.Unavailable("unready", "this node takes no new callers", quetzalpier.RanNo, time.Second)
	}
	return c.SendString("ok\n")
}
