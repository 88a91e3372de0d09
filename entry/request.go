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
	"quetzalpier/access"
	"quetzalpier/intake"
	"quetzalpier/platform"
	"quetzalpier/send"
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
	// index holds the customers of that configuration, and freshness its age. customer is
	// that of the request; nil for none.
	index     *access.Index
	freshness access.Freshness
	customer  *quetzalpier.Customer
	// body is held for the request; nil if there is none. received is set once it was read.
	body     *intake.HeldBody
	received bool
	// keyRefused is set if the request is refused because of its key.
	keyRefused bool
}

// customerName returns the name of the request's customer; empty for none.
func (r *request) customerName() string {
	if r.customer == nil {
		return ""
	}
	return r.customer.Name
}

// hasCustomers reports whether jobs have customers, as far as the request shows: another node
// that checked its key may know a newer configuration.
func (r *request) hasCustomers() bool { return r.index.Enabled() || r.customer != nil }

// sendJob returns a job for the sender with what it needs of the request and its route.
func (r *request) sendJob(route *quetzalpier.Route) *send.Job {
	job := &send.Job{
		Class: quetzalpier.ClassInteractive, Tenant: route.Name, Priority: route.Priority, Deadline: r.deadline, MaxAttempts: route.MaxAttempts,
	}
	if r.customer != nil {
		job.Tenant, job.Priority = r.customer.Name, r.customer.Priority
	}
	return job
}

// credentials returns the API key that a request carries.
func credentials(c *fasthttp.RequestCtx) access.Credentials {
	return access.ParseCredentials(c.Request.Header.PeekAll(platform.HeaderAuthorization))
}

// defaultTimeout is used for requests without a deadline.
const defaultTimeout = 30 * time.Second

func newRequest(c *fasthttp.RequestCtx, now time.Time) *request {
	r := &request{
		id:     string(c.Request.Header.Peek(platform.HeaderAttempt)),
		method: string(c.Method()), host: string(c.Request.Header.Host()),
		uri: string(c.Request.Header.RequestURI()),
	}
	r.path, _, _ = strings.Cut(r.uri, "?")
	r.begin(c, now)
	return r
}

// begin sets the start of the request and its deadline.
func (r *request) begin(c *fasthttp.RequestCtx, now time.Time) {
	r.start, r.deadline = now, now.Add(defaultTimeout)
	if ms, err := strconv.ParseInt(string(c.Request.Header.Peek(platform.HeaderDeadline)), 10, 64); err == nil && ms >= 0 {
		r.deadline = now.Add(time.Duration(min(ms, quetzalpier.MaxDuration.Milliseconds())) * time.Millisecond)
	}
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
	message, line := "request refused", e.Log.Warn()
	if r.keyRefused {
		line.Dur("config_age_ms", r.freshness.Age)
		// Log lines are limited by their message: a flood of wrong keys must not suppress
		// the lines of other refusals.
		message = "request refused because of its API key"
	}
	line.Str("request", r.id).Str("customer", r.customerName()).Str("route", r.route).Str("path", r.path).Int("status", status).Dur("after_ms", after).
		Uint64("config", r.configNumber).Dur("took_ms", time.Since(r.start)).Err(err).Msg(message)
}

// refuseKey refuses a request because of its API key. Its retry delay is spread, so that the
// clients of a node that can't verify keys don't return at the same time.
func (e *Entry) refuseKey(c *fasthttp.RequestCtx, r *request, err error) {
	r.keyRefused = true
	var refusal *quetzalpier.Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		refusal.RetryAfter = e.Sender.Jitter(refusal.RetryAfter)
	}
	e.refuse(c, r, err)
	if refusal != nil && refusal.Status == http.StatusUnauthorized {
		c.Response.Header.Set("WWW-Authenticate", "Bearer")
	}
}
