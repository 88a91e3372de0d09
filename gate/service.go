package gate

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/claim"
	"quetzalpier/hash"
	"quetzalpier/link"
	"quetzalpier/meter"
	"quetzalpier/send"
)

const (
	keyHeader       = "Idempotency-Key"
	serviceFirst    = 30 * time.Second
	serviceProgress = 10 * time.Second
	// reusedFactor times an upstream's pace, and reusedLeast at least, is how
	// long a reused connection may stay silent before it counts as dead.
	reusedFactor = 8
	reusedLeast  = time.Second
)

// service is one call of a plain service.
type service struct {
	gate   *Gate
	who    identity
	pool   string
	method string
	path   string
	key    string
	once   bool
	// held tells that the request was claimed.
	held bool
	sum  uint64
	req  *fasthttp.Request
	job  *send.Job

	status int
	header http.Header
	body   []byte
}

// service routes a call to a plain service.
func (g *Gate) service(c fiber.Ctx) error {
	started := time.Now()
	call, err := g.serviceCall(c, started)
	if err != nil {
		return err
	}
	err = call.run()
	if call.held {
		c.Locals(claimed, true)
	}
	outcome := "ok"
	if err != nil {
		outcome = "refused"
	}
	g.Meter.Requests.WithLabelValues(call.who.class.String(), call.who.tenant, outcome).Observe(meter.Since(started, time.Now()))
	if err != nil {
		return err
	}
	for name, values := range call.header {
		for _, value := range values {
			c.Response().Header.Add(name, value)
		}
	}
	return c.Status(call.status).Send(call.body)
}

func (g *Gate) serviceCall(c fiber.Ctx, now time.Time) (*service, error) {
	name := c.Params("pool")
	pool, err := g.pool(name, quetzalpier.KindPlain)
	if err != nil {
		return nil, err
	}
	deadline, err := g.deadline(c, now)
	if err != nil {
		return nil, err
	}
	call := &service{gate: g, who: g.caller(c), pool: name, method: c.Method(), path: "/" + c.Params("*"), key: c.Get(keyHeader)}
	call.once = nonIdempotent(call.method) || pool.NonIdempotent(call.method, call.path)
	call.req = forwarded(c, call.path)
	call.sum = hash.Text(call.method + " " + string(call.req.RequestURI()) + "\n" + string(call.req.Body()))
	call.job = &send.Job{
		Pool: name, Class: call.who.class, Tenant: call.who.tenant, Weight: call.who.weight,
		Deadline: deadline, Idempotent: !call.once, Print: call.sum,
	}
	return call, nil
}

// nonIdempotent tells whether a method may not be repeated unless a service
// says otherwise; RFC 9110 names those that may.
func nonIdempotent(method string) bool {
	return method == fasthttp.MethodPost || method == fasthttp.MethodPatch
}

// forwarded copies the request, since the original is reused.
func forwarded(c fiber.Ctx, path string) *fasthttp.Request {
	req := &fasthttp.Request{}
	c.Request().CopyTo(req)
	for _, name := range link.HopHeaders {
		req.Header.Del(name)
	}
	uri := path
	if query := c.Request().URI().QueryString(); len(query) > 0 {
		uri += "?" + string(query)
	}
	req.SetRequestURI(uri)
	return req
}

func (s *service) run() error {
	if !s.once || s.key == "" {
		return s.dispatch()
	}
	return s.runClaimed()
}

func (s *service) dispatch() error {
	return s.gate.Sender.Do(context.Background(), s.job, s.attempt)
}

// runClaimed claims the request before its dispatch, and records its end.
func (s *service) runClaimed() error {
	ctx, cancel := context.WithDeadline(context.Background(), s.job.Deadline)
	defer cancel()
	key := claim.Key(s.pool, s.who.name, s.key)
	held, kept, refusal := s.gate.Claims.Open(ctx, key, s.sum, time.Now())
	if refusal != nil {
		return refusal
	}
	if kept != nil {
		s.replay(kept)
		return nil
	}
	s.held = true
	err := s.dispatch()
	now := time.Now()
	if err == nil {
		s.gate.Claims.Done(held, s.status, s.header.Get(fiber.HeaderContentType), s.body, now)
		return nil
	}
	if declined := (*quetzalpier.Refusal)(nil); errors.As(err, &declined) && declined.Ran == quetzalpier.RanNo {
		s.gate.Claims.Void(held, now)
		return err
	}
	s.gate.Claims.Lost(held, now)
	return err
}

func (s *service) replay(kept *claim.Claim) {
	s.status = kept.Status
	s.body = kept.Body
	s.header = http.Header{"Idempotent-Replay": {"true"}}
	if kept.Type != "" {
		s.header.Set(fiber.HeaderContentType, kept.Type)
	}
}

// attempt makes one attempt. The answer is read whole before it is passed on,
// whatever its status: it is the service's word.
func (s *service) attempt(ctx context.Context, a *send.Attempt) error {
	req := &fasthttp.Request{}
	s.req.CopyTo(req)
	req.SetHost(a.VM.Addr)
	answer, err := s.gate.Links.Do(ctx, link.Call{
		Addr: a.VM.Addr, Request: req, Fresh: a.Fresh,
		First: s.first(a), Progress: serviceProgress,
	})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswer))
	if err != nil {
		return err
	}
	s.status = answer.Status
	s.body = body
	s.header = passedHeaders(answer.Header)
	a.Units = 1
	return nil
}

// first bounds the wait for the answer's header. A reused connection may have
// gone silent, and an idempotent request is soon tried on a new one.
func (s *service) first(a *send.Attempt) time.Duration {
	if a.Fresh {
		return serviceFirst
	}
	var pace time.Duration
	s.gate.Board.Do(func(st *board.State) {
		if u := st.Upstreams[a.VM.ID]; u != nil {
			pace = u.Pace
		}
	})
	return min(serviceFirst, max(reusedLeast, reusedFactor*pace))
}

func passedHeaders(from *fasthttp.ResponseHeader) http.Header {
	header := http.Header{}
	for name, value := range from.All() {
		header.Add(string(name), string(value))
	}
	for _, name := range link.HopHeaders {
		header.Del(name)
	}
	header.Del("Content-Length")
	for name := range header {
		if strings.EqualFold(name, "Date") || strings.EqualFold(name, "Server") {
			delete(header, name)
		}
	}
	return header
}
