package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/hash"
	"quetzalpier/intake"
	"quetzalpier/sleep"
)

const (
	// maxDiscarded is the size up to which a body that was not read is read after the answer, so
	// that the connection can be used again.
	maxDiscarded = 8 << 10
	// roomRetryAfter is the retry delay for a body without room: until then, those that make no
	// progress can yield.
	roomRetryAfter = time.Second
)

// checkSize returns the refusal of a request that announces more than the configuration allows.
func checkSize(c *fasthttp.RequestCtx, limits quetzalpier.Input) error {
	header := &c.Request.Header
	if limit := limits.MaxHeaderBytes; limit > 0 && len(header.RawHeaders()) > limit {
		return &quetzalpier.Refusal{
			Type: "size", Title: "header too large", Status: http.StatusRequestHeaderFieldsTooLarge,
			Detail: "at most " + strconv.Itoa(limit) + " bytes", Ran: quetzalpier.RanNo,
		}
	}
	if limit := limits.MaxBodyBytes; limit > 0 && header.ContentLength() > limit {
		return bodyTooLarge(limit)
	}
	return nil
}

func bodyTooLarge(limit int) error {
	return &quetzalpier.Refusal{
		Type: "size", Title: "body too large", Status: http.StatusRequestEntityTooLarge,
		Detail: "at most " + strconv.Itoa(limit) + " bytes", Ran: quetzalpier.RanNo,
	}
}

// receive reads the body of a request into memory, if there is room for it. It returns the refusal
// of a request whose body can't be held or does not come.
func (e *Entry) receive(c *fasthttp.RequestCtx, r *request, limit int) error {
	stream, length := c.RequestBodyStream(), c.Request.Header.ContentLength()
	if stream == nil || length == 0 {
		return nil
	}
	if limit <= 0 || limit > maxBody {
		limit = maxBody
	}
	breakOff := func() {}
	if w, ok := c.Conn().(*watchConn); ok {
		breakOff, stream = w.breakOff, &progressReader{Reader: stream, conn: w}
	}
	setPhase(c, intake.Receiving)
	defer setPhase(c, intake.Serving)
	body, err := e.bodies.Read(stream, length, limit, breakOff)
	if err != nil {
		return e.unreadRefusal(err)
	}
	r.body, r.received = body, true
	r.begin(c, time.Now())
	return nil
}

// setPhase records what the connection of a request waits for.
func setPhase(c *fasthttp.RequestCtx, phase intake.Phase) {
	if w, ok := c.Conn().(*watchConn); ok {
		w.setPhase(phase)
	}
}

// unreadRefusal returns the refusal of a request whose body was not read to its end. Nothing of it
// has run.
func (e *Entry) unreadRefusal(err error) error {
	var tooLarge *intake.TooLargeError
	var noRoom *intake.NoRoomError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge(tooLarge.Limit)
	case errors.As(err, &noRoom):
		return quetzalpier.Unavailable("memory", noRoom.Error(), quetzalpier.RanNo, e.Sender.Jitter(roomRetryAfter))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &quetzalpier.Refusal{Type: "timeout", Title: "request timeout", Status: http.StatusRequestTimeout, Detail: "the body did not come in time", Ran: quetzalpier.RanNo}
	}
	return quetzalpier.Malformed(errors.Wrap(err, "body"))
}

// progressBytes is how much of a body counts as progress.
const progressBytes = 4 << 10

// progressReader records when further bytes of a body have arrived.
type progressReader struct {
	io.Reader
	conn  *watchConn
	since int
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if r.since += n; r.since >= progressBytes {
		r.since = 0
		r.conn.setPhase(intake.Receiving)
	}
	return n, err
}

const (
	// maxTasks limits the tasks of a job.
	maxTasks = 16 << 10
	// objectBytes is what an object of a job's JSON takes in memory besides its texts, and
	// taskObjects how many a task has at most.
	objectBytes = 768
	taskObjects = 3
)

// joinJob returns the submission of a job in one piece, if there is room for what is decoded from
// it: most of its text is base64, unless it has many tiny tasks.
func (e *Entry) joinJob(r *request) ([]byte, error) {
	if r.body == nil {
		return nil, nil
	}
	data := r.body.Join()
	objects := bytes.Count(data, []byte("{"))
	if objects > taskObjects*maxTasks+1 {
		return nil, tooManyTasks()
	}
	if err := r.body.Charge(len(data)/4*3 + objects*objectBytes); err != nil {
		return nil, e.unreadRefusal(err)
	}
	return data, nil
}

func tooManyTasks() error {
	return &quetzalpier.Refusal{
		Type: "size", Title: "too many tasks", Status: http.StatusRequestEntityTooLarge,
		Detail: "at most " + strconv.Itoa(maxTasks) + " tasks in a job", Ran: quetzalpier.RanNo,
	}
}

// hash hashes a prefix and the body of the request.
func (r *request) hash(prefix string) uint64 {
	if r.body == nil {
		return hash.Text(prefix)
	}
	return r.body.Sum64(prefix)
}

// streamed returns the body if it is held in several pieces; nil if not.
func (r *request) streamed() quetzalpier.Body {
	if r.body == nil {
		return nil
	}
	if _, ok := r.body.Piece(); ok {
		return nil
	}
	return r.body
}

// takeBody returns a function that gives the body back, which the request no longer does.
func (r *request) takeBody() (giveBack func()) {
	body := r.body
	r.body = nil
	if body == nil {
		return func() {}
	}
	return body.Close
}

// closeUnread closes the connection after the answer to a request of which more than little may
// come.
func closeUnread(c *fasthttp.RequestCtx) {
	length := c.Request.Header.ContentLength()
	if c.RequestBodyStream() == nil || length == 0 {
		return
	}
	if length > 0 && length <= maxDiscarded {
		setPhase(c, intake.Receiving)
		return
	}
	c.SetConnectionClose()
	if w, ok := c.Conn().(*watchConn); ok {
		w.unread.Store(true)
	}
}

// withoutBody serves requests whose bodies are not read.
func withoutBody(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		setPhase(c, intake.Serving)
		defer closeUnread(c)
		handler(c)
	}
}

// answer responds with a body that can be read again. A large one is held in the account of
// bodies until its client has read it, for which it has as long as the reader of a stream.
//
// Load pattern: clients request all that they can and read none of it.
func (e *Entry) answer(c *fasthttp.RequestCtx, r *request, body []byte) {
	if len(body) <= intake.SmallBody {
		c.SetBody(body)
		return
	}
	held := e.openAnswer(c.Conn())
	if err := held.Charge(len(body)); err != nil {
		held.Close()
		e.refuse(c, r, e.unreadRefusal(err))
		return
	}
	e.deliver(c, held, body)
}

// openAnswer returns the room for an answer to a client, which loses its connection if it reads
// nothing of the answer and others need the room.
func (e *Entry) openAnswer(conn net.Conn) *intake.HeldAnswer {
	if w, ok := conn.(*watchConn); ok {
		return e.bodies.OpenAnswer(w.yieldPlace)
	}
	return e.bodies.OpenAnswer(func() {})
}

// deliver responds with a body that is held.
func (e *Entry) deliver(c *fasthttp.RequestCtx, held *intake.HeldAnswer, body []byte) {
	limitWrites(c, e.ReaderTimeout)
	if w, ok := c.Conn().(*watchConn); ok {
		w.answering.Store(true)
	}
	held.Progress()
	c.SetBodyStream(&answerReader{bytes.NewReader(body), held}, len(body))
}

// answerReader gives the room of an answer back when that was written.
type answerReader struct {
	body *bytes.Reader
	held *intake.HeldAnswer
}

// Read implements io.Reader. What was read before has been written.
func (a *answerReader) Read(b []byte) (int, error) {
	a.held.Progress()
	return a.body.Read(b)
}

// Close implements io.Closer.
func (a *answerReader) Close() error {
	a.held.Close()
	return nil
}

// answerPause is the pause before an answer asks again for room.
const answerPause = 100 * time.Millisecond

// upstreamAnswer is the room of an upstream's answer, of which no more is read until there is some.
//
// Load pattern: clients make upstreams answer with much, and read none of it.
type upstreamAnswer struct {
	entry *Entry
	// conn is the connection of the client, and held the room; nil for a small answer.
	conn net.Conn
	held *intake.HeldAnswer
}

// grant waits until there is room for n bytes more.
func (a *upstreamAnswer) grant(ctx context.Context, n int) error {
	if !a.entry.bodies.Fits(n) {
		return &intake.TooLargeError{Limit: a.entry.Budget.Bodies.Bytes}
	}
	if a.held == nil {
		a.held = a.entry.openAnswer(a.conn)
	}
	for {
		err := a.held.Charge(n)
		if err == nil || !sleep.For(ctx, answerPause) {
			return err
		}
	}
}

// release gives the room back, if the answer is not delivered.
func (a *upstreamAnswer) release() {
	if a.held != nil {
		a.held.Close()
		a.held = nil
	}
}

// respond responds with the answer's body.
func (a *upstreamAnswer) respond(c *fasthttp.RequestCtx, body []byte) {
	if a.held == nil {
		c.SetBody(body)
		return
	}
	a.entry.deliver(c, a.held, body)
	a.held = nil
}
