package link

import (
	"context"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// HopHeaders concern one connection only.
var HopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Call is one attempt of a request.
type Call struct {
	Addr    string
	Request *fasthttp.Request
	// Fresh asks for a newly opened connection.
	Fresh bool
	// First bounds the time to the answer's header.
	First time.Duration
	// Progress bounds the time between two reads of the body.
	Progress time.Duration
}

// Links keeps idle connections to upstreams.
type Links struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns an empty set of connections.
func New() *Links { return &Links{idle: map[string][]*conn{}} }

// Answer is an upstream's answer, whose body is still to be read.
type Answer struct {
	Status int
	Header *fasthttp.ResponseHeader

	links *Links
	addr  string
	conn  *conn
	resp  *fasthttp.Response
	body  io.Reader
	ctx   context.Context
	stop  func() bool
	whole bool
}

// Do sends the call and reads the answer's header. Canceling ctx closes the
// connection, also while the body is read.
func (l *Links) Do(ctx context.Context, call Call) (*Answer, error) {
	if ctx.Err() != nil {
		return nil, &Error{Addr: call.Addr, Stage: StageConnect, Canceled: true, Err: ctx.Err()}
	}
	c, err := l.take(call)
	if err != nil {
		return nil, &Error{Addr: call.Addr, Stage: StageConnect, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	c.sent = 0
	c.limit = call.First
	err = call.Request.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		return nil, l.abandon(ctx, call.Addr, c, stop, StageSend, err)
	}
	resp := &fasthttp.Response{StreamBody: true}
	resp.SkipBody = call.Request.Header.IsHead()
	if err := resp.ReadLimitBody(c.reader, 0); err != nil {
		return nil, l.abandon(ctx, call.Addr, c, stop, StageHeader, err)
	}
	c.limit = call.Progress
	a := &Answer{
		Status: resp.StatusCode(), Header: &resp.Header,
		links: l, addr: call.Addr, conn: c, resp: resp, body: resp.BodyStream(), ctx: ctx, stop: stop,
	}
	a.whole = a.body == nil
	return a, nil
}

// Read reads the body. io.EOF means that the body is whole.
func (a *Answer) Read(b []byte) (int, error) {
	if a.whole {
		return 0, io.EOF
	}
	n, err := a.body.Read(b)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		a.whole = true
		return n, io.EOF
	}
	return n, a.links.failed(a.ctx, a.addr, StageBody, a.conn, err)
}

// Close gives the connection back if the body was read whole, and closes it
// otherwise.
func (a *Answer) Close() error {
	if a.conn == nil {
		return nil
	}
	c := a.conn
	a.conn = nil
	alive := a.stop()
	if a.whole && alive && !a.resp.ConnectionClose() {
		_ = a.resp.CloseBodyStream()
		c.keep = keepAlive(string(a.Header.Peek("Keep-Alive")))
		a.links.give(a.addr, c)
		return nil
	}
	return c.Close()
}

// keepAlive is how long a connection may be reused: within the time that the
// upstream states, less a margin for its way there.
func keepAlive(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return min(idleLimit, time.Duration(seconds)*time.Second-keepMargin)
		}
	}
	return idleLimit
}

func (l *Links) abandon(ctx context.Context, addr string, c *conn, stop func() bool, stage Stage, err error) *Error {
	stop()
	_ = c.Close()
	return l.failed(ctx, addr, stage, c, err)
}

// failed makes the attempt's error. A silent connection condemns the idle
// ones to the same upstream, so that new work opens new connections.
func (l *Links) failed(ctx context.Context, addr string, stage Stage, c *conn, err error) *Error {
	failure := &Error{Addr: addr, Stage: stage, Sent: c.sent, Silent: c.silent, Canceled: ctx.Err() != nil, Err: err}
	if failure.Silent && !failure.Canceled {
		l.Forget(addr)
	}
	return failure
}

// Forget closes the idle connections to an upstream.
func (l *Links) Forget(addr string) {
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
		l.Forget(addr)
	}
}

// Refuses tells whether the upstream refuses a new connection.
func (l *Links) Refuses(addr string) bool {
	time.Sleep(probeInterval)
	c, err := dial(addr)
	if err != nil {
		return true
	}
	_ = c.Close()
	return false
}

func (l *Links) take(call Call) (*conn, error) {
	if !call.Fresh {
		if c := l.reuse(call.Addr, time.Now()); c != nil {
			return c, nil
		}
	}
	return dial(call.Addr)
}

func (l *Links) reuse(addr string, now time.Time) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conns := l.idle[addr]; len(conns) > 0; conns = l.idle[addr] {
		c := conns[len(conns)-1]
		l.idle[addr] = conns[:len(conns)-1]
		if now.Sub(c.used) < c.keep && c.clean() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

func (l *Links) give(addr string, c *conn) {
	c.used = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle[addr]) >= maxIdle || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	l.idle[addr] = append(l.idle[addr], c)
}
