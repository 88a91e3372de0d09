package client

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// firstBytes is how much room is made for a body before any of it is received.
const firstBytes = 64 << 10

// Configure makes the connections of an HTTP client read responses by ReadHeader and NewBody, and
// leaves what was received out of the texts of its errors: they reach clients and logs, and it may
// belong to another call.
func Configure(host *fasthttp.HostClient) error {
	host.SecureErrorLogMessage = true
	host.Transport = transport{}
	return nil
}

// transport makes the calls of an HTTP client. Of the client's settings for calls it knows the
// timeout, StreamResponseBody and MaxResponseBodySize.
type transport struct{}

// RoundTrip implements fasthttp.RoundTripper.
func (transport) RoundTrip(host *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	timeout := req.GetTimeOut()
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	held, err := host.AcquireConn(timeout, req.ConnectionClose())
	if err != nil {
		return false, err
	}
	conn := held.Conn()
	resp.ParseNetConn(conn)
	if err := send(host, conn, req, deadline); err != nil {
		host.CloseConn(held)
		return true, asTimeout(err)
	}
	reader := host.AcquireReader(conn)
	// done gives the connection back once the response was read, and closes it if it was not or
	// may not carry another one.
	done := func(complete bool) {
		if complete && reader.Buffered() == 0 && !req.ConnectionClose() && !resp.ConnectionClose() {
			host.ReleaseConn(held)
		} else {
			host.CloseConn(held)
		}
		host.ReleaseReader(reader)
	}
	if err := ReadHeader(reader, &resp.Header); err != nil {
		done(false)
		return true, asTimeout(err)
	}
	body := NewBody(reader, &resp.Header, req.Header.IsHead())
	if body == nil {
		done(true)
		return false, nil
	}
	if resp.StreamBody {
		resp.SetBodyStream(&streamedBody{Reader: body, done: done}, -1)
		return false, nil
	}
	err = readBody(resp, body, host.MaxResponseBodySize)
	done(err == nil)
	return err != nil && err != fasthttp.ErrBodyTooLarge, asTimeout(err)
}

// send writes a request, and sets the deadline for its response.
func send(host *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	writer := host.AcquireWriter(conn)
	defer host.ReleaseWriter(writer)
	if err := req.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// asTimeout returns fasthttp.ErrTimeout for any timeout, as the client without a transport does.
func asTimeout(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fasthttp.ErrTimeout
	}
	return err
}

// readBody reads the body of a response, of at most limit bytes, or of any size if that is zero.
func readBody(resp *fasthttp.Response, body io.Reader, limit int) error {
	length := resp.Header.ContentLength()
	if limit > 0 {
		if length > limit {
			return fasthttp.ErrBodyTooLarge
		}
		body = io.LimitReader(body, int64(limit)+1)
	}
	text := bytes.NewBuffer(resp.SwapBody(nil)[:0])
	// The read that meets the end needs room as well.
	text.Grow(min(max(length, 0), firstBytes) + bytes.MinRead)
	_, err := text.ReadFrom(body)
	resp.SwapBody(text.Bytes())
	if err == nil && limit > 0 && text.Len() > limit {
		err = fasthttp.ErrBodyTooLarge
	}
	return err
}

// streamedBody is a body that is read after the call. Its Close gives the connection back.
type streamedBody struct {
	io.Reader
	done  func(complete bool)
	ended bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (b *streamedBody) Close() error {
	if b.done != nil {
		b.done(b.ended)
		b.done = nil
	}
	return nil
}
