package gate

import (
	"context"
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/engine"
	"quetzalpier/hash"
	"quetzalpier/link"
	"quetzalpier/meter"
	"quetzalpier/send"
)

const (
	// prefixBytes is the length of the prompt prefix that is hashed for routing
	// by prefix cache.
	prefixBytes = 256
	// noStreamTimeout limits the wait for the header of a response that can't be
	// streamed.
	noStreamTimeout  = 10 * time.Minute
	maxResponseBytes = 64 << 20
)

// completion is one call of an OpenAI-compatible completion endpoint.
type completion struct {
	gate       *Gate
	caller     identity
	path       string
	chat       bool
	stream     bool
	noStream   bool
	model      string
	fields     map[string]json.RawMessage
	job        *send.Job
	generation engine.Generation
	started    time.Time
	// raw is the upstream's response if noStream is set.
	raw []byte
}

type completionFields struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
	N        int             `json:"n"`
	BestOf   int             `json:"best_of"`
	Logprobs json.RawMessage `json:"logprobs"`
	Tools    json.RawMessage `json:"tools"`
	Echo     bool            `json:"echo"`
}

// models lists the engine pools in the format of the OpenAI API.
func (g *Gate) models(c fiber.Ctx) error {
	type entry struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}
	entries := []entry{}
	g.Board.Do(func(s *board.State) {
		for name, p := range s.Config.Pools {
			if p.Kind == quetzalpier.KindEngine {
				entries = append(entries, entry{name, "model", p.Trainer})
			}
		}
	})
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	return c.JSON(map[string]any{"object": "list", "data": entries})
}

// handleCompletion serves the OpenAI-compatible completion endpoints.
func (g *Gate) handleCompletion(c fiber.Ctx) error {
	call, err := g.parseCompletion(c)
	if err != nil {
		return err
	}
	if call.stream {
		return call.serveStream(c)
	}
	return call.serveFull(c)
}

func (g *Gate) parseCompletion(c fiber.Ctx) (*completion, error) {
	now := time.Now()
	body := append([]byte(nil), c.Body()...)
	var request completionFields
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, quetzalpier.Malformed(err)
	}
	call := &completion{gate: g, caller: g.caller(c), path: c.Path(), started: now, model: request.Model, stream: request.Stream}
	call.chat = strings.HasSuffix(call.path, "/chat/completions")
	prompt := request.Prompt
	if call.chat {
		prompt = request.Messages
	}
	if request.Model == "" {
		return nil, quetzalpier.Invalid("model", "must name a pool")
	}
	if len(prompt) == 0 {
		return nil, quetzalpier.Invalid(promptField(call.chat), "must be given")
	}
	if _, err := g.findPool(request.Model, quetzalpier.KindEngine); err != nil {
		return nil, err
	}
	deadline, err := g.deadline(c, now)
	if err != nil {
		return nil, err
	}
	call.noStream = request.N > 1 || request.BestOf > 1 || request.Echo || len(request.Logprobs) > 0 || len(request.Tools) > 0
	call.job = &send.Job{
		Pool: request.Model, Class: call.caller.class, Tenant: call.caller.tenant, Weight: call.caller.weight,
		Deadline: deadline, Idempotent: true,
		Fingerprint: hash.Bytes(prompt), Prefix: hash.Bytes(prompt[:min(len(prompt), prefixBytes)]),
	}
	if err := json.Unmarshal(body, &call.fields); err != nil {
		return nil, quetzalpier.Malformed(err)
	}
	call.fields["priority"] = json.RawMessage(strconv.Itoa(int(call.caller.class)))
	return call, nil
}

func promptField(chat bool) string {
	if chat {
		return "messages"
	}
	return "prompt"
}

// serveFull collects the complete response before it sends the first byte.
func (c *completion) serveFull(ctx fiber.Ctx) error {
	run := c.attempt(func(engine.Event) error { return nil })
	if c.noStream {
		run = c.attemptNoStream
	}
	err := c.gate.Sender.Do(context.Background(), c.job, run)
	c.observe(err)
	if err != nil {
		return err
	}
	ctx.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	if c.noStream {
		return ctx.Send(c.raw)
	}
	return ctx.JSON(c.response())
}

// attempt returns a function that streams from an engine and resumes the output
// of an earlier attempt.
func (c *completion) attempt(onEvent func(engine.Event) error) send.AttemptFunc {
	return func(ctx context.Context, a *send.Attempt) error {
		before := c.generation.Tokens
		err := c.generation.Run(ctx, c.gate.Engine, a.VM.Addr, c.path, c.fields, onEvent)
		a.Units = c.generation.Tokens - before
		a.Version = c.generation.LastVersion()
		return err
	}
}

// attemptNoStream requests the response without streaming, for requests whose
// response would lose fields in a stream.
func (c *completion) attemptNoStream(ctx context.Context, a *send.Attempt) error {
	body, err := json.Marshal(c.fields)
	if err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + a.VM.Addr + c.path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(fiber.MIMEApplicationJSON)
	req.SetBody(body)
	answer, err := c.gate.Links.Do(ctx, link.Call{Addr: a.VM.Addr, Request: req, Fresh: a.Fresh, HeaderTimeout: noStreamTimeout, ReadTimeout: engine.ReadTimeout})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	c.raw, err = answer.ReadAll(maxResponseBytes)
	if err != nil {
		return err
	}
	if answer.Status != fasthttp.StatusOK {
		return &engine.StatusError{Addr: a.VM.Addr, Status: answer.Status, Body: c.raw}
	}
	return nil
}

func (c *completion) response() any {
	choice := map[string]any{"index": 0, "finish_reason": c.generation.FinishReason, "text": c.generation.Text.String()}
	object, prefix := "text_completion", "cmpl-"
	if c.chat {
		object, prefix = "chat.completion", "chatcmpl-"
		delete(choice, "text")
		choice["message"] = map[string]string{"role": "assistant", "content": c.generation.Text.String()}
	}
	fields := map[string]any{
		"id": prefix + strconv.FormatUint(c.job.Fingerprint, 36), "object": object, "created": c.started.Unix(),
		"model": c.model, "choices": []any{choice}, "spans": c.generation.Spans,
	}
	if len(c.generation.Usage) > 0 {
		fields["usage"] = c.generation.Usage
	}
	return fields
}

func (c *completion) observe(err error) {
	outcome := "ok"
	if err != nil {
		outcome = "refused"
	}
	c.gate.Meter.Requests.WithLabelValues(c.caller.class.String(), c.caller.tenant, outcome).Observe(meter.SecondsBetween(c.started, time.Now()))
}

// serveStream forwards events as they arrive. The status is sent with the first
// event; a refusal before that is sent as an ordinary problem response.
func (c *completion) serveStream(ctx fiber.Ctx) error {
	p := newPipe()
	// The request stays in flight until its last event, beyond the handler's
	// return.
	done := c.gate.flight.begin()
	c.gate.streams.Go(func() {
		defer done()
		err := c.gate.Sender.Do(p.ctx, c.job, c.attempt(func(e engine.Event) error { return p.sendEvent(e.Data) }))
		c.observe(err)
		p.finish(err)
	})
	if err := p.waitFirst(); err != nil {
		return err
	}
	ctx.Set(fiber.HeaderContentType, "text/event-stream")
	ctx.Set(fiber.HeaderCacheControl, "no-cache")
	return ctx.SendStream(p)
}
