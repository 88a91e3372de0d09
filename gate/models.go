package gate

import (
	"context"
	"encoding/json"
	"io"
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
	// prefixBytes is how much of a prompt decides which cache it is sent to.
	prefixBytes = 256
	// wholeLimit bounds the wait for an answer that can't be streamed.
	wholeLimit = 10 * time.Minute
	maxAnswer  = 64 << 20
)

// completion is one call of a model.
type completion struct {
	gate       *Gate
	who        identity
	path       string
	chat       bool
	stream     bool
	plain      bool
	model      string
	fields     map[string]json.RawMessage
	job        *send.Job
	generation engine.Generation
	started    time.Time
	// raw is the answer of an upstream that was not asked to stream.
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

// models lists the engine pools, as OpenAI clients expect.
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

// complete answers the OpenAI-compatible model calls.
func (g *Gate) complete(c fiber.Ctx) error {
	call, err := g.completion(c)
	if err != nil {
		return err
	}
	if call.stream {
		return call.serveStream(c)
	}
	return call.serveWhole(c)
}

func (g *Gate) completion(c fiber.Ctx) (*completion, error) {
	now := time.Now()
	body := append([]byte(nil), c.Body()...)
	var known completionFields
	if err := json.Unmarshal(body, &known); err != nil {
		return nil, quetzalpier.Malformed(err)
	}
	call := &completion{gate: g, who: g.caller(c), path: c.Path(), started: now, model: known.Model, stream: known.Stream}
	call.chat = strings.HasSuffix(call.path, "/chat/completions")
	prompt := known.Prompt
	if call.chat {
		prompt = known.Messages
	}
	if known.Model == "" {
		return nil, quetzalpier.Invalid("model", "must name a pool")
	}
	if len(prompt) == 0 {
		return nil, quetzalpier.Invalid(promptField(call.chat), "must be given")
	}
	if _, err := g.pool(known.Model, quetzalpier.KindEngine); err != nil {
		return nil, err
	}
	deadline, err := g.deadline(c, now)
	if err != nil {
		return nil, err
	}
	call.plain = known.N > 1 || known.BestOf > 1 || known.Echo || len(known.Logprobs) > 0 || len(known.Tools) > 0
	call.job = &send.Job{
		Pool: known.Model, Class: call.who.class, Tenant: call.who.tenant, Weight: call.who.weight,
		Deadline: deadline, Idempotent: true,
		Print: hash.Bytes(prompt), Prefix: hash.Bytes(prompt[:min(len(prompt), prefixBytes)]),
	}
	if err := json.Unmarshal(body, &call.fields); err != nil {
		return nil, quetzalpier.Malformed(err)
	}
	call.fields["priority"] = json.RawMessage(strconv.Itoa(int(call.who.class)))
	return call, nil
}

func promptField(chat bool) string {
	if chat {
		return "messages"
	}
	return "prompt"
}

// serveWhole gathers the whole answer before the first byte goes out.
func (c *completion) serveWhole(ctx fiber.Ctx) error {
	run := c.attempt(func(engine.Event) error { return nil })
	if c.plain {
		run = c.attemptPlain
	}
	err := c.gate.Sender.Do(context.Background(), c.job, run)
	c.observe(err)
	if err != nil {
		return err
	}
	ctx.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	if c.plain {
		return ctx.Send(c.raw)
	}
	return ctx.JSON(c.answer())
}

// attempt streams from an engine, resuming what an earlier attempt made.
func (c *completion) attempt(each func(engine.Event) error) send.Runner {
	return func(ctx context.Context, a *send.Attempt) error {
		before := c.generation.Tokens
		err := c.generation.Run(ctx, c.gate.Engine, a.VM.Addr, c.path, c.fields, each)
		a.Units = c.generation.Tokens - before
		a.Made = c.generation.Newest()
		return err
	}
}

// attemptPlain asks for the answer in one piece, where a stream would lose
// parts of it.
func (c *completion) attemptPlain(ctx context.Context, a *send.Attempt) error {
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
	answer, err := c.gate.Links.Do(ctx, link.Call{Addr: a.VM.Addr, Request: req, Fresh: a.Fresh, First: wholeLimit, Progress: engine.ProgressLimit})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	c.raw, err = io.ReadAll(io.LimitReader(answer, maxAnswer))
	if err != nil {
		return err
	}
	if answer.Status != fasthttp.StatusOK {
		return &engine.StatusError{Addr: a.VM.Addr, Status: answer.Status, Body: c.raw}
	}
	return nil
}

func (c *completion) answer() any {
	choice := map[string]any{"index": 0, "finish_reason": c.generation.Finish, "text": c.generation.Text.String()}
	object, prefix := "text_completion", "cmpl-"
	if c.chat {
		object, prefix = "chat.completion", "chatcmpl-"
		delete(choice, "text")
		choice["message"] = map[string]string{"role": "assistant", "content": c.generation.Text.String()}
	}
	fields := map[string]any{
		"id": prefix + strconv.FormatUint(c.job.Print, 36), "object": object, "created": c.started.Unix(),
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
	c.gate.Meter.Requests.WithLabelValues(c.who.class.String(), c.who.tenant, outcome).Observe(meter.Since(c.started, time.Now()))
}

// serveStream passes events on as they come. The status goes out with the
// first event; a refusal before that is an ordinary problem answer.
func (c *completion) serveStream(ctx fiber.Ctx) error {
	p := newPipe()
	// The request stays in flight until its last byte, not until its handler ends.
	done := c.gate.flight.begin()
	c.gate.streams.Go(func() {
		defer done()
		err := c.gate.Sender.Do(p.ctx, c.job, c.attempt(func(e engine.Event) error { return p.put(e.Data) }))
		c.observe(err)
		p.end(err)
	})
	if err := p.started(); err != nil {
		return err
	}
	ctx.Set(fiber.HeaderContentType, "text/event-stream")
	ctx.Set(fiber.HeaderCacheControl, "no-cache")
	return ctx.SendStream(p)
}
