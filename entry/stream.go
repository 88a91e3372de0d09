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

// stream passes the events of a stream on as they come. One that may be resumed
// goes on at another upstream, behind the last whole event; any other that
// breaks off ends with its connection, so that it never looks whole.
func (e *Entry) stream(c *fasthttp.RequestCtx, r *request, route *quetzalpier.Route) {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	stop := watchGone(c, cancel)
	reader, writer := io.Pipe()
	began := make(chan *platform.Answer, 1)
	failed := make(chan error, 1)
	job := &send.Job{
		Pool: route.Choose(rand.Float64()), Class: quetzalpier.ClassInteractive, Tenant: route.Name,
		Deadline: r.deadline, Idempotent: route.Resume, Attempts: route.Attempts,
	}
	req := e.outgoing(c, r)
	req.SetBody(c.Request.Body())
	e.flight.Add(1)
	e.workers.Go(func() {
		defer e.flight.Add(-1)
		defer cancel()
		err := e.Sender.Do(ctx, job, func(ctx context.Context, a *send.Attempt) error {
			return platform.Stream(ctx, e.Links, a.VM, req, r.deadline, func(head *platform.Answer) {
				select {
				case began <- head:
				default:
				}
			}, func(event platform.Event) error {
				a.Units++
				req.Header.Set(platform.HeaderLast, strconv.Itoa(event.ID))
				_, err := io.WriteString(writer, event.Raw)
				return err
			})
		})
		// The connection is read on only after the stream's end.
		stop()
		failed <- err
		_ = writer.CloseWithError(err)
		if err != nil {
			e.Log.Warn().Str("request", r.id).Err(err).Msg("stream cut")
		}
	})
	select {
	case head := <-began:
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
