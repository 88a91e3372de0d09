// Package plat speaks to the platform: its key-value service, its list of VMs
// and the orders that engines take. Every call is one attempt.
package plat

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/client"
)

// callTimeout bounds a platform call whose context sets no deadline.
const callTimeout = 3 * time.Second

// caller makes single-attempt HTTP calls and tells apart what was never sent.
type caller struct {
	http *fasthttp.Client
}

func newCaller() caller {
	dialer := &fasthttp.TCPDialer{Concurrency: 256}
	http := client.Single()
	http.Dial = func(addr string) (net.Conn, error) {
		conn, err := dialer.DialTimeout(addr, time.Second)
		if err != nil {
			return nil, &dialError{err}
		}
		return conn, nil
	}
	http.MaxConnsPerHost = 256
	http.MaxIdleConnDuration = 10 * time.Second
	return caller{http}
}

type dialError struct{ err error }

// Error implements error.
func (e *dialError) Error() string { return "connect: " + e.err.Error() }

// Timeout lets the HTTP client pass the error on unchanged.
func (e *dialError) Timeout() bool { return false }

type reply struct {
	status int
	rev    string
	body   []byte
}

func (c caller) do(ctx context.Context, method, url string, body []byte) (reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	req.SetBody(body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(callTimeout)
	}
	if ctx.Err() != nil {
		return reply{}, &quetzalpier.RefusedError{Call: method, Reason: ctx.Err().Error()}
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return reply{}, outcome(method+" "+string(req.URI().Path()), err)
	}
	return reply{
		status: resp.StatusCode(),
		rev:    string(resp.Header.Peek("Rev")),
		body:   append([]byte(nil), resp.Body()...),
	}, nil
}

func outcome(call string, err error) error {
	if unsent(err) {
		return &quetzalpier.RefusedError{Call: call, Reason: err.Error()}
	}
	return &quetzalpier.UnsureError{Call: call, Reason: err.Error()}
}
