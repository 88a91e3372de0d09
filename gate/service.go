package gate

import (
	"context"
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
	keyHeader              = "Idempotency-Key"
	serviceHeaderTimeout   = 30 * time.Second
	serviceProgressTimeout = 10 * time.Second
	// reusedTimeoutFactor times an upstream's time per call, but at least
	// reusedMinTimeout, is the header timeout on a reused connection. One that is
	// silent for longer counts as broken.
	reusedTimeoutFactor = 8
	reusedMinTimeout    = time.Second
)

// serviceCall is one call of a plain service.
type serviceCall struct {
	gate          *Gate
	caller        identity
	pool          string
	method        string
	path          string
	key           string
	nonIdempotent bool
	// claimed is set if the request holds its claim.
	claimed     bool
	fingerprint uint64
	req         *fasthttp.Request
	job         *send.Job

	status int
	header http.Header
	body   []byte
}

// handleService forwards a call to a plain service.
func (g *Gate) handleService(c fiber.Ctx) error {
	started := time.Now()
	call, err := g.parseServiceCall(c, started)
	if err != nil {
		return err
	}
	err = call.run()
	if call.claimed {
		c.Locals(claimedKey, true)
	}
	outcome := "ok"
	if err != nil {
		outcome = "refused"
	}
	g.Meter.Requests.WithLabelValues(call.caller.class.String(), call.caller.tenant, outcome).Observe(meter.SecondsBetween(started, time.Now()))
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

func (g *Gate) parseServiceCall(c fiber.Ctx, now time.Time) (*serviceCall, error) {
	name := c.Params("pool")
	pool, err := g.findPool(name, quetzalpier.KindPlain)
	if err != nil {
		return nil, err
	}
	deadline, err := g.deadline(c, now)
	if err != nil {
		return nil, err
	}
	call := &serviceCall{gate: g, caller: g.caller(c), pool: name, method: c.Method(), path: "/" + c.Params("*"), key: c.Get(keyHeader)}
	call.nonIdempotent = nonIdempotentMethod(call.method) || pool.NonIdempotent(call.method, call.path)
	call.req = forwardedRequest(c, call.path)
	call.fingerprint = hash.Text(call.method + " " + string(call.req.RequestURI()) + "\n" + string(call.req.Body()))
	call.job = &send.Job{
		Pool: name, Class: call.caller.class, Tenant: call.caller.tenant, Weight: call.caller.weight,
		Deadline: deadline, Idempotent: !call.nonIdempotent, Fingerprint: call.fingerprint,
	}
	return call, nil
}

// nonIdempotentMethod reports whether requests with this method must not be
// repeated by default; RFC 9110 lists the idempotent methods.
func nonIdempotentMethod(method string) bool {
	return method == fasthttp.MethodPost || method == fasthttp.MethodPatch
}

// forwardedRequest returns a copy of the request for the upstream, because the
// server reuses the original.
func forwardedRequest(c fiber.Ctx, path string) *fasthttp.Request {
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

func (s *serviceCall) run() error {
	if !s.nonIdempotent || s.key == "" {
		return s.dispatch()
	}
	return s.runClaimed()
}

func (s *serviceCall) dispatch() error {
	return s.gate.Sender.Do(context.Background(), s.job, s.attempt)
}

// runClaimed claims the request before dispatching it and records the outcome in
// the claim.
func (s *serviceCall) runClaimed() error {
	ctx, cancel := context.WithDeadline(context.Background(), s.job.Deadline)
	defer cancel()
	key := claim.Key(s.pool, s.caller.name, s.key)
	opened, stored, refusal := s.gate.Claims.Open(ctx, key, s.fingerprint, time.Now())
	if refusal != nil {
		return refusal
	}
	if stored != nil {
		s.replay(stored)
		return nil
	}
	s.claimed = true
	err := s.dispatch()
	now := time.Now()
	if err == nil {
		s.gate.Claims.RecordDone(opened, s.status, s.header.Get(fiber.HeaderContentType), s.body, now)
		return nil
	}
	if declined := (*quetzalpier.Refusal)(nil); errors.As(err, &declined) && declined.Ran == quetzalpier.RanNo {
		s.gate.Claims.RecordVoid(opened, now)
		return err
	}
	s.gate.Claims.RecordLost(opened, now)
	return err
}

func (s *serviceCall) replay(stored *claim.Claim) {
	s.status = stored.Status
	s.body = stored.Body
	s.header = http.Header{"Idempotent-Replay": {"true"}}
	if stored.Type != "" {
		s.header.Set(fiber.HeaderContentType, stored.Type)
	}
}

// attempt makes one attempt. The response is read completely before it is
// forwarded. Any status is a result, because it comes from the service itself.
func (s *serviceCall) attempt(ctx context.Context, a *send.Attempt) error {
	req := &fasthttp.Request{}
	s.req.CopyTo(req)
	req.SetHost(a.VM.Addr)
	answer, err := s.gate.Links.Do(ctx, link.Call{
		Addr: a.VM.Addr, Request: req, Fresh: a.Fresh,
		HeaderTimeout: s.headerTimeout(a), ReadTimeout: serviceProgressTimeout,
	})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	body, err := answer.ReadAll(maxResponseBytes)
	if err != nil {
		return err
	}
	s.status = answer.Status
	s.body = body
	s.header = responseHeaders(answer.Header)
	a.Units = 1
	return nil
}

// headerTimeout returns the timeout for the response header. It is short on a
// reused connection, which may be broken: the idempotent request is then retried
// soon on a new one.
func (s *serviceCall) headerTimeout(a *send.Attempt) time.Duration {
	if a.Fresh {
		return serviceHeaderTimeout
	}
	var unitTime time.Duration
	s.gate.Board.Do(func(st *board.State) {
		if u := st.Upstreams[a.VM.ID]; u != nil {
			unitTime = u.UnitTime
		}
	})
	return min(serviceHeaderTimeout, max(reusedMinTimeout, reusedTimeoutFactor*unitTime))
}

func responseHeaders(from *fasthttp.ResponseHeader) http.Header {
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
