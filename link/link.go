package link

import (
	"context"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/client"
)

// headerSlack is added to the timeout of a header as a whole, so that a silent connection
// is still found by the timeout of a read.
const headerSlack = 100 * time.Millisecond

const (
	// maxForeign is how many responses to earlier requests are skipped, of at most
	// maxForeignBytes each. The own one has to follow within foreignWait: if it does not,
	// the request is better sent elsewhere.
	maxForeign      = 4
	maxForeignBytes = 1 << 20
	foreignWait     = 300 * time.Millisecond
)

// HopHeaders are the hop-by-hop headers, which are not forwarded.
var HopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Call is one attempt of a request.
type Call struct {
	Addr string
	// Upstream is the ID of the upstream; empty if it has none.
	Upstream string
	// ID tells the request's answer from those to other requests, and names it in reports of
	// anomalies. A request with the ID of an earlier one, such as the next attempt of it, gets a
	// connection that has not carried that one. It may be empty.
	ID      string
	Request *fasthttp.Request
	// Body replaces that of the request; nil does not.
	Body quetzalpier.Body
	// Foreign reports, by the header of a response, that it belongs to an earlier request.
	// Such a response is skipped; nil means that none does.
	Foreign func(*fasthttp.ResponseHeader) bool
	// Fresh requires a new connection instead of an idle one.
	Fresh bool
	// Direct requires a connection of the node's own, not one through another node.
	Direct bool
	// Repeatable is set if the call may be made once more after it failed. It is then broken
	// off if the path of its connection is lost.
	Repeatable bool
	// OnConnected is called before the request is sent, which opening a connection may have
	// delayed. It is not sent if OnConnected cancels the context. Nil does nothing.
	OnConnected func()
	// OnSent is called once the request was written completely; nil does nothing.
	OnSent func()
	// Purpose names the kind of call in the counts of opened connections.
	Purpose Purpose
	// HeaderTimeout bounds the wait for the response header.
	HeaderTimeout time.Duration
	// ReadTimeout bounds the wait for each read of the response body.
	ReadTimeout time.Duration
}

// Links sends requests to upstreams and keeps idle connections for reuse.
type Links struct {
	// OnDial is called before a connection is opened; nil does nothing.
	OnDial func(Purpose, Cause)
	// OnAnomaly is called with each anomaly of a connection, and must not call Links; nil
	// does nothing.
	OnAnomaly func(Sighting)
	// Dialer opens the connections to upstreams that have an ID; nil opens the node's own.
	Dialer quetzalpier.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
	// known are the upstreams to which a connection was opened before.
	known map[string]bool
	// heard is when bytes of each upstream last came over a connection of the node's own, in
	// Unix nanoseconds.
	heard map[string]*atomic.Int64
}

// New returns Links without idle connections.
func New() *Links {
	return &Links{idle: map[string][]*conn{}, known: map[string]bool{}, heard: map[string]*atomic.Int64{}}
}

// Response is an upstream's response, whose body is read as a stream.
type Response struct {
	Status int
	Header *fasthttp.ResponseHeader

	links      *Links
	addr       string
	conn       *conn
	body       io.Reader
	ctx        context.Context
	stopCancel func() bool
	complete   bool
}

// Do sends the request and reads the response header. Canceling ctx resets the
// connection, also while the body is being read.
func (l *Links) Do(ctx context.Context, call Call) (*Response, error) {
	if ctx.Err() != nil {
		return nil, &Error{Addr: call.Addr, Stage: StageConnect, Canceled: true, Err: ctx.Err()}
	}
	c, err := l.acquire(ctx, call)
	if err != nil {
		return nil, &Error{Addr: call.Addr, Stage: StageConnect, Canceled: ctx.Err() != nil, Err: err}
	}
	if ctx.Err() != nil {
		c.abort()
		return nil, &Error{Addr: call.Addr, Stage: StageConnect, Canceled: true, Err: ctx.Err()}
	}
	c.carry(call.ID)
	c.sent, c.early, c.last = 0, false, Sighting{Request: call.ID, Upstream: call.Upstream, Addr: call.Addr, Purpose: call.Purpose}
	stopCancel := context.AfterFunc(ctx, c.abort)
	if call.OnConnected != nil {
		call.OnConnected()
	}
	if ctx.Err() != nil {
		return nil, l.closeFailed(ctx, call.Addr, c, stopCancel, StageConnect, ctx.Err())
	}
	c.readTimeout = call.HeaderTimeout
	l.watchPath(ctx, call, c)
	if call.Body != nil {
		call.Request.SetBodyStream(call.Body.Reader(), call.Body.Len())
	}
	err = call.Request.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		if c.sent > 0 {
			l.report(AnomalyCut, c)
		}
		return nil, l.closeFailed(ctx, call.Addr, c, stopCancel, StageSend, err)
	}
	if c.answeredEarly() {
		l.report(AnomalyEarly, c)
	}
	if call.OnSent != nil {
		call.OnSent()
	}
	// Each read has its own deadline, so that a header that comes in small pieces could
	// take any time.
	overdue := time.AfterFunc(call.HeaderTimeout+headerSlack, c.abort)
	header, body, err := c.readHeader(call, overdue, func() { l.report(AnomalyForeign, c) })
	if !overdue.Stop() && err == nil {
		err = errors.Errorf("response header took longer than %s", call.HeaderTimeout)
	}
	if err != nil {
		return nil, l.closeFailed(ctx, call.Addr, c, stopCancel, StageHeader, err)
	}
	c.readTimeout = call.ReadTimeout
	return &Response{
		Status: header.StatusCode(), Header: header,
		links: l, addr: call.Addr, conn: c, body: body, ctx: ctx, stopCancel: stopCancel, complete: body == nil,
	}, nil
}

// readHeader reads the header of the response to a call, and skips responses that belong
// to earlier requests on the connection, for each of which it calls onForeign. overdue breaks
// it off. The body is nil if the response has none.
func (c *conn) readHeader(call Call, overdue *time.Timer, onForeign func()) (*fasthttp.ResponseHeader, io.Reader, error) {
	for skipped := range maxForeign {
		header := &fasthttp.ResponseHeader{}
		err := client.ReadHeader(c.reader, header)
		if err != nil && c.failed != nil {
			err = errors.Wrap(c.failed, "incomplete response header")
		}
		switch {
		case err != nil && skipped > 0:
			return nil, nil, &ForeignError{err}
		case err != nil:
			return nil, nil, err
		}
		body := client.NewBody(c.reader, header, call.Request.Header.IsHead())
		if call.Foreign == nil || !call.Foreign(header) {
			return header, body, nil
		}
		onForeign()
		if skipped == 0 {
			overdue.Reset(min(call.HeaderTimeout, foreignWait))
		}
		if body != nil {
			if n, err := io.Copy(io.Discard, io.LimitReader(body, maxForeignBytes+1)); err != nil || n > maxForeignBytes {
				return nil, nil, &ForeignError{errors.Errorf("it did not end within %d bytes (cause: %v)", maxForeignBytes, err)}
			}
		}
	}
	return nil, nil, &ForeignError{errors.Errorf("%d of them", maxForeign)}
}

// Read reads the response body. It returns io.EOF only after the complete body.
func (r *Response) Read(b []byte) (int, error) {
	if r.complete {
		return 0, io.EOF
	}
	n, err := r.body.Read(b)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		r.complete = true
		return n, io.EOF
	}
	return n, r.links.newError(r.ctx, r.addr, StageBody, r.conn, err)
}

// ReadAll reads the complete body. It returns an OversizedError if that has more than limit
// bytes.
func (r *Response) ReadAll(limit int) ([]byte, error) { return r.ReadGranted(limit, nil) }

// Skip reads the body to its end and holds nothing of it. It returns an OversizedError if that has
// more than limit bytes.
func (r *Response) Skip(limit int) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, int64(limit)+1))
	if err == nil && n > int64(limit) {
		return &OversizedError{limit}
	}
	return err
}

// firstBytes is how much of a body is read without asking.
const firstBytes = 64 << 10

// ReadGranted is ReadAll, and calls grant before it holds more than the first 64 KiB of the body,
// with the number of bytes that it is about to add. A nil grant allows all. If grant fails, so does
// the read.
func (r *Response) ReadGranted(limit int, grant func(bytes int) error) ([]byte, error) {
	length := r.Header.ContentLength()
	// One more byte, so that the end is read without more room.
	body := make([]byte, 0, min(firstBytes, limit)+1)
	if length >= 0 {
		body = make([]byte, 0, min(firstBytes, limit, length)+1)
	}
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, &OversizedError{limit}
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
		if len(body) < cap(body) {
			continue
		}
		if length > limit {
			return nil, &OversizedError{limit}
		}
		size := min(2*cap(body), limit+1)
		if length >= 0 {
			size = max(length, cap(body)) + 1
		}
		if grant != nil {
			if err := grant(size - cap(body)); err != nil {
				return nil, r.links.newError(r.ctx, r.addr, StageBody, r.conn, err)
			}
		}
		body = append(make([]byte, 0, size), body...)
	}
}

// Close keeps the connection for reuse if the complete body was read, and resets
// it otherwise.
func (r *Response) Close() error {
	if r.conn == nil {
		return nil
	}
	c := r.conn
	r.conn = nil
	c.watch.stop()
	notCanceled := r.stopCancel()
	if r.complete && notCanceled && !r.Header.ConnectionClose() {
		c.idleTimeout = IdleTime(string(r.Header.Peek("Keep-Alive")))
		r.links.release(r.addr, c)
		return nil
	}
	if r.complete {
		if c.reader.Buffered() > 0 {
			r.links.report(AnomalyUnread, c)
		}
		return c.Close()
	}
	c.abort()
	return nil
}

// Discard resets the connection, so that it is not reused after an invalid response.
func (r *Response) Discard() {
	r.complete = false
	_ = r.Close()
}

// IdleTime returns how long a connection may be idle and still be reused: the
// timeout in the upstream's Keep-Alive header, less a margin for the time that a
// request takes to reach it.
//
// Load pattern: trainers submit a step every few seconds. A connection that is given
// up in between is opened again for each run.
func IdleTime(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return min(maxIdleTime, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return defaultIdleTime
}

func (l *Links) closeFailed(ctx context.Context, addr string, c *conn, stopCancel func() bool, stage Stage, err error) *Error {
	stopCancel()
	c.abort()
	return l.newError(ctx, addr, stage, c, err)
}

// newError returns the error of a failed attempt. If the connection was silent,
// it also closes the idle connections to the same upstream, so that the next
// requests open new ones.
func (l *Links) newError(ctx context.Context, addr string, stage Stage, c *conn, err error) *Error {
	linkErr := &Error{Addr: addr, Stage: stage, Sent: c.sent, Silent: c.silent, Canceled: ctx.Err() != nil, PathLost: c.watch.stop() || c.tunnelBroke, Err: err}
	if linkErr.Silent && !linkErr.Canceled {
		l.CloseIdle(addr)
	}
	return linkErr
}

// CloseIdle closes the idle connections to an upstream.
func (l *Links) CloseIdle(addr string) {
	l.mu.Lock()
	conns := l.idle[addr]
	delete(l.idle, addr)
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Close closes all idle connections.
func (l *Links) Close() {
	l.mu.Lock()
	addrs := make([]string, 0, len(l.idle))
	for addr := range l.idle {
		addrs = append(addrs, addr)
	}
	l.mu.Unlock()
	for _, addr := range addrs {
		l.CloseIdle(addr)
	}
}

// RefusesConnection waits for a short delay and reports whether a new connection
// to the upstream cannot be opened. id is empty if the upstream has none.
func (l *Links) RefusesConnection(ctx context.Context, id, addr string) bool {
	time.Sleep(probeDelay)
	if l.OnDial != nil {
		l.OnDial(PurposeProbe, CauseFresh)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if l.Dialer != nil && id != "" {
		return l.Dialer.Refuses(ctx, id, addr)
	}
	c, err := client.DialContext(ctx, addr)
	if err != nil {
		return true
	}
	_ = c.Close()
	return false
}

func (l *Links) acquire(ctx context.Context, call Call) (*conn, error) {
	cause := CauseFresh
	if !call.Fresh {
		var c *conn
		if c, cause = l.takeIdle(call, time.Now()); c != nil {
			return c, nil
		}
	}
	if l.OnDial != nil {
		l.OnDial(call.Purpose, cause)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	inner, err := l.dial(ctx, call)
	if err != nil {
		return nil, err
	}
	c := newConn(inner)
	if !c.tunneled() {
		c.heard = l.heardAt(call.Addr)
	}
	return c, nil
}

func (l *Links) dial(ctx context.Context, call Call) (net.Conn, error) {
	if l.Dialer == nil || call.Upstream == "" {
		return client.DialContext(ctx, call.Addr)
	}
	return l.Dialer.Dial(ctx, call.Upstream, call.Addr, call.Direct)
}

func (l *Links) heardAt(addr string) *atomic.Int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heard[addr] == nil {
		l.heard[addr] = &atomic.Int64{}
	}
	return l.heard[addr]
}

// watchPath breaks a repeatable call off if the path of its connection is lost.
func (l *Links) watchPath(ctx context.Context, call Call, c *conn) {
	if l.Dialer == nil || call.Upstream == "" || !call.Repeatable {
		return
	}
	sound := func(silentSince time.Time) bool {
		if l.Dialer.Sound(ctx, call.Upstream, call.Addr, c.Conn) {
			return true
		}
		// An upstream with a full queue of new connections goes on answering.
		return c.heard != nil && c.heard.Load() > silentSince.UnixNano()
	}
	c.watch.start(sound, func() {
		l.CloseIdle(call.Addr)
		c.abort()
	})
}

// takeIdle returns an idle connection to the upstream, or the cause for which a new
// one is needed.
func (l *Links) takeIdle(call Call, now time.Time) (*conn, Cause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cause := CauseMore
	if !l.known[call.Addr] {
		l.known[call.Addr] = true
		cause = CauseFirst
	}
	for i := len(l.idle[call.Addr]) - 1; i >= 0; i-- {
		c := l.idle[call.Addr][i]
		usable := false
		switch {
		case now.Sub(c.releasedAt) >= c.idleTimeout:
			cause = CauseIdle
		case !c.reusable():
			cause = CauseClosed
		case call.Direct && c.tunneled():
			cause = CauseFresh
		case c.hasCarried(call.ID):
			// Calls with other IDs can use it.
			cause = CauseRepeat
			continue
		default:
			usable = true
		}
		l.idle[call.Addr] = slices.Delete(l.idle[call.Addr], i, i+1)
		if usable {
			return c, ""
		}
		if c.hasUnread() {
			l.report(AnomalyIdle, c)
		}
		_ = c.Close()
	}
	return nil, cause
}

func (l *Links) release(addr string, c *conn) {
	c.releasedAt = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.reader.Buffered() > 0 {
		l.report(AnomalyUnread, c)
	}
	if len(l.idle[addr]) >= maxIdleConns || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	l.idle[addr] = append(l.idle[addr], c)
}
