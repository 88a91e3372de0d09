package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/link"
	"quetzalpier/meter"
	"quetzalpier/origin"
	"quetzalpier/platform"
	"quetzalpier/send"
)

// originRetryAfter is the retry delay sent to a client whose stream can't go on yet.
const originRetryAfter = time.Second

// maxTellWait limits the delay of a stream's first event if the nodes that are told its
// origin don't answer.
const maxTellWait = 100 * time.Millisecond

// handleStream forwards the events of a stream as they arrive. If the stream is
// interrupted, a resumable one continues on another upstream of the same software
// version after the last complete event, as long as the answers to the further attempts
// permit that; see progress. For any other the connection is closed, so that the client
// does not take it for complete.
func (e *Entry) handleStream(c *fasthttp.RequestCtx, r *request, route *quetzalpier.Route) {
	answer, err := newProgress(route.CanResume, string(c.Request.Header.Peek(platform.HeaderLastEventID)))
	if err != nil {
		e.refuse(c, r, err)
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	stop := watchClient(c, cancel)
	began, err := e.findOrigin(ctx, c, r, route, time.Now())
	if err != nil {
		stop()
		cancel()
		e.refuse(c, r, err)
		return
	}
	reader, writer := io.Pipe()
	var firstToken sync.Once
	job := r.sendJob(route)
	job.Pool, job.Idempotent, job.Software = began.Pool, route.CanResume, began.Software
	job.Timeout = route.Timeout
	sent, conn := 0, c.Conn()
	limitWrites(c, e.ReaderTimeout)
	req := e.outgoing(c, r)
	runs := e.runCounter(job, route)
	// made are the origins of the events so far.
	made := []origin.Origin{began.Origin}
	class := e.classifyPrompt(job, req, r.start)
	room := &upstreamAnswer{entry: e, conn: conn}
	e.inFlight.Add(1)
	body := r.streamed()
	giveBack := r.takeBody()
	e.workers.Go(func() {
		defer e.inFlight.Add(-1)
		defer cancel()
		defer giveBack()
		err := e.Sender.Do(ctx, job, func(ctx context.Context, a *send.Attempt) error {
			e.Log.Debug().Str("request", r.id).Str("upstream", a.VM.ID).Str("software", a.VM.Software).
				Bytes("after", req.Header.Peek(platform.HeaderLastEventID)).Msg("stream attempt")
			if slices.ContainsFunc(made, e.Origins.MayBeMixed) {
				job.Idempotent = false
				return errors.New("an upstream that made events of the stream has other software by now")
			}
			attempt := platform.Attempt{VM: a.VM, Purpose: link.PurposeStream, Fresh: true, Repeatable: job.Idempotent, Deadline: r.deadline, Body: body, OnSent: runs.onSent()}
			attempt.Grant = func(bytes int) error { return room.grant(ctx, bytes) }
			room.release()
			err := e.Upstreams.Stream(ctx, attempt, req, func(head *platform.Answer) error {
				runs.ended(nil)
				return answer.receiveHead(a.VM, head)
			}, func(event platform.Event) error {
				if err := answer.receiveEvent(a.VM, event); err != nil {
					return err
				}
				if a.Units++; a.Units == 1 {
					e.continueAt(job, a.VM)
					made = append(made, origin.Origin{Pool: a.VM.Pool, Software: a.VM.Software, Upstream: a.VM.ID})
					e.recordOrigin(ctx, began.streams(r), made)
					firstToken.Do(func() {
						e.Meter.FirstToken.WithLabelValues(job.Pool, class).Observe(meter.SecondsBetween(r.start, time.Now()))
					})
				}
				req.Header.Set(platform.HeaderLastEventID, strconv.Itoa(event.ID))
				n, err := io.WriteString(writer, event.Raw)
				if err != nil {
					// The client reads no more: no other upstream is tried.
					cancel()
				}
				sent += n
				return err
			})
			runs.ended(err)
			return err
		})
		// fasthttp may read the connection again only after the stream's end.
		stop()
		if err != nil {
			room.release()
		}
		answer.end(err)
		_ = writer.CloseWithError(err)
		switch {
		case hasStalled(conn):
			e.Meter.StalledReaders.Inc()
			e.Log.Warn().Str("request", r.id).Str("route", r.route).Int("bytes", sent).Dur("timeout_ms", e.ReaderTimeout).Msg("stream dropped, its client does not read")
		case err != nil:
			e.Log.Warn().Str("request", r.id).Err(err).Msg("stream interrupted")
		default:
			e.durations.observe(route.Name, time.Since(r.start), time.Now())
		}
	})
	// A stream whose answer has begun goes on for as long as the node runs.
	defer context.AfterFunc(e.serving, cancel)()
	select {
	case head := <-answer.first:
		c.SetStatusCode(head.Status)
		head.CopyHeader(&c.Response.Header)
		if head.Body != nil {
			room.respond(c, head.Body)
			return
		}
		c.SetBodyStream(reader, -1)
	case err := <-answer.failed:
		e.refuse(c, r, err)
	}
}

// streamOrigin is the pool of a stream and, if a client takes it up, the software version
// that began it. request is a hash of the client's request, and resumes the attempt that the
// client names, if it does.
type streamOrigin struct {
	origin.Origin
	request uint64
	resumes string
}

// streams identifies the stream for the attempts of the client that take it up, which may name
// the attempt that began it or a later one.
func (o streamOrigin) streams(r *request) []origin.Stream {
	own := origin.Stream{Attempt: r.id, Request: o.request}
	if o.resumes != "" && o.resumes != r.id {
		return []origin.Stream{{Attempt: o.resumes, Request: o.request}, own}
	}
	return []origin.Stream{own}
}

// findOrigin returns the pool of a new stream, or the origin of one that the client takes
// up. It returns a refusal if that is unknown, or the route no longer leads there: what
// another software version generates doesn't fit.
func (e *Entry) findOrigin(ctx context.Context, c *fasthttp.RequestCtx, r *request, route *quetzalpier.Route, now time.Time) (streamOrigin, error) {
	stream := origin.Stream{Request: r.hash(r.method + " " + r.host + r.uri + "\n")}
	if last := string(c.Request.Header.Peek(platform.HeaderLastEventID)); last == "" || last == "0" {
		return streamOrigin{Origin: origin.Origin{Pool: route.PickPool(rand.Float64())}, request: stream.Request}, nil
	}
	stream.Attempt = string(c.Request.Header.Peek(platform.HeaderResumes))
	// The other half of the time is for the stream, or for another front.
	ctx, cancel := context.WithDeadline(ctx, now.Add(r.deadline.Sub(now)/2))
	defer cancel()
	began, known := e.Origins.Find(ctx, stream, route.Targets, now)
	switch {
	case !known:
		return streamOrigin{}, quetzalpier.Unavailable("origin", "the software version that began the stream is not known", quetzalpier.RanNo, e.Sender.Jitter(originRetryAfter))
	case !slices.ContainsFunc(route.Targets, func(target quetzalpier.Target) bool { return target.Pool == began.Pool }):
		return streamOrigin{}, quetzalpier.Unavailable("origin", "the route no longer leads to the pool that began the stream", quetzalpier.RanNo, 0)
	}
	return streamOrigin{Origin: began, request: stream.Request, resumes: stream.Attempt}, nil
}

// recordOrigin records what began a stream before its first event is sent, and waits until
// another node knows it, for maxTellWait at most.
//
// Load pattern: all fronts are killed, and clients come back within 100 ms.
func (e *Entry) recordOrigin(ctx context.Context, streams []origin.Stream, made []origin.Origin) {
	began := made[0]
	if began.Software == "" || began.Upstream == "" {
		began = made[1]
	}
	timer := time.NewTimer(maxTellWait)
	defer timer.Stop()
	told := make([]<-chan struct{}, 0, len(streams))
	for _, stream := range streams {
		told = append(told, e.Origins.Record(stream, began, time.Now()))
	}
	for _, done := range told {
		select {
		case <-done:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// continueAt restricts the further attempts of a stream to the software version of the
// upstream that sends its events.
func (e *Entry) continueAt(job *send.Job, vm quetzalpier.VM) {
	job.Software = vm.Software
	if vm.Software == "" {
		job.Idempotent = false
	}
}
