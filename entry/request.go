package entry

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/platform"
)

// request holds the parsed parts of a client's request.
type request struct {
	id     string
	method string
	host   string
	// uri is the path and query as the client sent them.
	uri      string
	path     string
	start    time.Time
	deadline time.Time
	// route is the name of the request's route; empty if there is none. objective
	// is the time within which it should be answered; zero for none.
	route     string
	objective time.Duration
	// configNumber is the number of the configuration that the request was routed
	// by.
	configNumber uint64
}

// defaultTimeout is used for requests without a deadline.
const defaultTimeout = 30 * time.Second

func newRequest(c *fasthttp.RequestCtx, now time.Time) *request {
	r := &request{
		id:     string(c.Request.Header.Peek(platform.HeaderAttempt)),
		method: string(c.Method()), host: string(c.Request.Header.Host()),
		uri: string(c.Request.Header.RequestURI()), start: now, deadline: now.Add(defaultTimeout),
	}
	r.path, _, _ = strings.Cut(r.uri, "?")
	if ms, err := strconv.ParseInt(string(c.Request.Header.Peek(platform.HeaderDeadline)), 10, 64); err == nil && ms >= 0 {
		r.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return r
}

// hasAmbiguousLength reports whether a request has both Transfer-Encoding and
// Content-Length. An upstream that uses the other one than this node would read
// a second request from the body (request smuggling).
func hasAmbiguousLength(header *fasthttp.RequestHeader) bool {
	raw := bytes.ToLower(header.RawHeaders())
	return bytes.Contains(raw, []byte("transfer-encoding:")) && bytes.Contains(raw, []byte("content-length:"))
}

// refuse responds with an error. It uses a status that states that the request
// did not run only if that is certain.
func (e *Entry) refuse(c *fasthttp.RequestCtx, r *request, err error) {
	status, after, reason := http.StatusBadGateway, time.Duration(0), err.Error()
	var refusal *quetzalpier.Refusal
	switch {
	case errors.As(err, &refusal) && refusal.Status != http.StatusServiceUnavailable:
		status = refusal.Status
	case refusal != nil && refusal.Ran == quetzalpier.RanNo:
		status, after = refusal.Status, refusal.RetryAfter
	case !time.Now().Before(r.deadline):
		status = http.StatusGatewayTimeout
	}
	c.Response.Reset()
	if e.draining.Load() {
		c.SetConnectionClose()
	}
	c.SetStatusCode(status)
	if after > 0 {
		c.Response.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	if r.id != "" {
		c.Response.Header.Set(platform.HeaderAttempt, r.id)
	}
	c.SetBodyString(reason)
	e.Meter.Refusals.WithLabelValues(strconv.Itoa(status), strconv.FormatBool(status == http.StatusServiceUnavailable)).Inc()
	e.Log.Warn().Str("request", r.id).Str("route", r.route).Str("path", r.path).Int("status", status).Dur("after_ms", after).
		Uint64("config", r.configNumber).Dur("took_ms", time.Since(r.start)).Err(err).Msg("request refused")
}
