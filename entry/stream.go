package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"strconv"

	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/send"
)

// handleStream forwards the events of a stream as they arrive. If the stream is
// interrupted, a resumable one continues on another upstream after the last
// complete event. For any other the connection is closed, so that the client
// does not take it for complete.
func (e *Entry) handleStream(c *fasthttp.RequestCtx, r *request, route *quetzalpier.Route) {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	stop := watchClient(c, cancel)
	reader, writer := io.Pipe()
	firstHead := make(chan *platform.Answer, 1)
	failed := make(chan error, 1)
	job := &send.Job{
		Pool: route.PickPool(rand.Float64()), Class: quetzalpier.ClassInteractive, Tenant: route.Name,
		Deadline: r.deadline, Idempotent: route.CanResume, MaxAttempts: route.MaxAttempts,
	}
	req := e.outgoing(c, r)
	req.SetBody(c.Request.Body())
	e.inFlight.Add(1)
	e.workers.Go(func() {
		defer e.inFlight.Add(-1)
		defer cancel()
		err := e.Sender.Do(ctx, job, func(ctx context.Context, a *send.Attempt) error {
			e.Log.Debug().Str("request", r.id).Str("upstream", a.VM.ID).Str("software", a.VM.Software).
				Bytes("after", req.Header.Peek(platform.HeaderLastEventID)).Msg("stream attempt")
			return e.Upstreams.Stream(ctx, a.VM, req, r.deadline, func(head *platform.Answer) {
				select {
				case firstHead <- head:
				default:
				}
			}, func(event platform.Event) error {
				a.Units++
				req.Header.Set(platform.HeaderLastEventID, strconv.Itoa(event.ID))
				_, err := io.WriteString(writer, event.Raw)
				return err
			})
		})
		// fasthttp may read the connection again only after the stream's end.
		stop()
		failed <- err
		_ = writer.CloseWithError(err)
		if err != nil {
			e.Log.Warn().Str("request", r.id).Err(err).Msg("stream interrupted")
		}
	})
	select {
	case head := <-firstHead:
		c.SetStatusCode(head.Status)
		head.CopyHeader(&c.Response.Header)
		if head.Body != nil {
			c.SetBody(head.Body)
			return
		}
		c.SetBodyStream(reader, -1)
	case err := <-failed:
		e.refuse(c, r, err)
	}
}
