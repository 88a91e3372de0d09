package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/link"
	"quetzalpier/platform"
	"quetzalpier/send"
)

// noConfigRetryAfter is the retry delay sent by a node that has no configuration
// yet.
const noConfigRetryAfter = 500 * time.Millisecond

// handleRequest forwards a request to an upstream of its route and sends its
// answer to the client.
func (e *Entry) handleRequest(c *fasthttp.RequestCtx, r *request, route *quetzalpier.Route) {
	if route.Timeout > 0 {
		if limit := r.start.Add(route.Timeout); limit.Before(r.deadline) {
			r.deadline = limit
		}
	}
	ctx, cancel := context.WithDeadline(e.serving, r.deadline)
	defer cancel()
	stop := watchClient(c, cancel)
	defer stop()
	job := r.sendJob(route)
	job.Pool, job.Idempotent, job.SkipTrial = route.PickPool(rand.Float64()), route.Idempotent, true
	job.Timeout = route.Timeout
	job.Fingerprint = r.hash(r.method + " " + r.uri + "\n")
	req := e.outgoing(c, r)
	runs := e.runCounter(job, route)
	e.classifyPrompt(job, req, r.start)
	var answer *platform.Answer
	room := &upstreamAnswer{entry: e, conn: c.Conn()}
	defer room.release()
	err := e.Sender.Do(ctx, job, func(ctx context.Context, a *send.Attempt) error {
		room.release()
		got, err := e.Upstreams.Forward(ctx, platform.Attempt{
			VM: a.VM, Purpose: link.PurposeRequest, Fresh: a.Fresh, Repeatable: route.Idempotent, Deadline: r.deadline, Body: r.streamed(), OnSent: runs.onSent(),
			Grant: func(bytes int) error { return room.grant(ctx, bytes) },
		}, req)
		runs.ended(err)
		e.Sender.RecordDecline(a.VM.ID, got, err, time.Now())
		if err != nil {
			e.Log.Info().Str("request", r.id).Str("upstream", a.VM.ID).Bool("fresh", a.Fresh).
				Dur("left_ms", time.Until(r.deadline)).Err(err).Msg("request attempt failed")
			return err
		}
		a.Units = 1
		e.recordLoad(a.VM.ID, got)
		answer = got
		return nil
	})
	if err != nil {
		e.refuse(c, r, err)
		return
	}
	c.SetStatusCode(answer.Status)
	answer.CopyHeader(&c.Response.Header)
	room.respond(c, answer.Body)
	if took := time.Since(r.start); r.objective > 0 && took > r.objective {
		e.Log.Info().Str("request", r.id).Str("customer", r.customerName()).Str("route", r.route).Int("status", answer.Status).
			Dur("objective_ms", r.objective).Dur("took_ms", took).Msg("request served late")
	}
}

// outgoing returns a copy of the request for an upstream, without hop-by-hop
// headers. If customers are configured, it names the customer instead of the API key. Path
// and body are unchanged; a large body is sent as streamedBody.
func (e *Entry) outgoing(c *fasthttp.RequestCtx, r *request) *fasthttp.Request {
	req := &fasthttp.Request{}
	c.Request.Header.CopyTo(&req.Header)
	platform.StripHopHeaders(&req.Header)
	if r.index.Enabled() {
		platform.SetCustomer(&req.Header, r.customerName())
	}
	req.Header.SetRequestURI(r.uri)
	req.Header.SetHost(r.host)
	if r.body != nil {
		if piece, ok := r.body.Piece(); ok {
			req.SetBodyRaw(piece)
		}
	}
	return req
}

// recordLoad records the load that an upstream reports in its answer.
func (e *Entry) recordLoad(id string, answer *platform.Answer) {
	if !answer.Load.Known {
		return
	}
	now := time.Now()
	e.Board.Do(func(s *board.State) {
		if u := s.Upstreams[id]; u != nil {
			u.Report.Running, u.Report.Queued = answer.Load.Running, answer.Load.Waiting
			u.ReportAt, u.OwnReported = now, u.Outstanding
		}
	})
}
