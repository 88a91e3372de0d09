package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/platform"
	"quetzalpier/send"
)

// emptyAfter is when to come back to a node that knows no configuration yet.
const emptyAfter = 500 * time.Millisecond

// forward passes a request on to an upstream of its route.
func (e *Entry) forward(c *fasthttp.RequestCtx, r *request, route *quetzalpier.Route) {
	if route.Timeout > 0 {
		if latest := r.start.Add(route.Timeout); latest.Before(r.deadline) {
			r.deadline = latest
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	stop := watchGone(c, cancel)
	defer stop()
	job := &send.Job{
		Pool: route.Choose(rand.Float64()), Class: quetzalpier.ClassInteractive, Tenant: route.Name,
		Deadline: r.deadline, Idempotent: route.Repeat, Attempts: route.Attempts,
		Print: hash.Text(r.method + " " + r.uri + "\n" + string(c.Request.Body())), Bold: true,
	}
	req := e.outgoing(c, r)
	var answer *platform.Answer
	err := e.Sender.Do(ctx, job, func(ctx context.Context, a *send.Attempt) error {
		got, err := platform.Pass(ctx, e.Links, a.VM, a.Fresh, req, r.deadline)
		if err != nil {
			e.Log.Info().Str("request", r.id).Str("upstream", a.VM.ID).Bool("fresh", a.Fresh).
				Dur("left_ms", time.Until(r.deadline)).Err(err).Msg("attempt failed")
			return err
		}
		a.Units = 1
		e.loaded(a.VM.ID, got)
		answer = got
		return nil
	})
	if err != nil {
		e.refuse(c, r, err)
		return
	}
	c.SetStatusCode(answer.Status)
	answer.CopyHeader(&c.Response.Header)
	c.SetBody(answer.Body)
	e.Log.Debug().Str("request", r.id).Int("status", answer.Status).Dur("took_ms", time.Since(r.start)).Msg("request served")
}

// outgoing copies the request; body and path stay as they are.
func (e *Entry) outgoing(c *fasthttp.RequestCtx, r *request) *fasthttp.Request {
	req := &fasthttp.Request{}
	c.Request.Header.CopyTo(&req.Header)
	platform.StripHop(&req.Header)
	req.Header.SetRequestURI(r.uri)
	req.Header.SetHost(r.host)
	req.SetBodyRaw(c.Request.Body())
	return req
}

// loaded notes the load that an upstream states in its answer.
func (e *Entry) loaded(id string, answer *platform.Answer) {
	if !answer.Loaded {
		return
	}
	now := time.Now()
	e.Board.Do(func(s *board.State) {
		if u := s.Upstreams[id]; u != nil {
			u.Report.Running, u.Report.Queued = answer.Running, answer.Waiting
			u.ReportAt, u.Own = now, u.Outstanding
		}
	})
}
