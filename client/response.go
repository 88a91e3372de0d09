package client

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxInterim is how many interim responses may precede a final one.
	maxInterim = 100

	// statusDigits is the length of a status code.
	statusDigits = 3
	// maxStatus is the largest status code that HTTP defines a class for.
	maxStatus = 599
)

// Part is a part of a response.
type Part string

// The parts of a response that are validated.
const (
	PartHeader  Part = "header"
	PartTrailer Part = "trailer"
)

// MalformedError reports bytes that are not a valid HTTP/1.x response. Its text leaves out the
// received bytes: it is sent to clients, and the bytes may belong to another request.
type MalformedError struct {
	Part   Part
	Reason string
	// Cause is the error of the HTTP library, whose text may quote received bytes; nil if the
	// response did not get that far.
	Cause error
}

// Error implements error.
func (e *MalformedError) Error() string {
	return "malformed response " + string(e.Part) + ": " + e.Reason
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// ReadHeader reads the header of the final response and skips interim ones. It returns a
// MalformedError for anything that HTTP/1.x does not allow: the HTTP library repairs some of that,
// so that a check of the values that it returns can't find it. Other errors are those of r, and
// io.EOF if nothing was received.
func ReadHeader(r *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for range maxInterim + 1 {
		status, err := checkHeader(r)
		if err != nil {
			return err
		}
		if err := header.Read(r); err != nil {
			return &MalformedError{Part: PartHeader, Reason: "it can't be parsed", Cause: err}
		}
		switch {
		case status == http.StatusSwitchingProtocols:
			return &MalformedError{Part: PartHeader, Reason: "it switches protocols, which no call asks for"}
		case status >= http.StatusOK:
			return nil
		}
	}
	return &MalformedError{Part: PartHeader, Reason: "more than " + strconv.Itoa(maxInterim) + " interim ones"}
}

// NewBody returns the body of a response whose header was read from r, or nil if it has none.
// isHead is set for the response to a HEAD request. Its Read returns io.EOF only at the end of the
// complete response, and adds the fields of a trailer to the header.
func NewBody(r *bufio.Reader, header *fasthttp.ResponseHeader, isHead bool) io.Reader {
	status, length := header.StatusCode(), header.ContentLength()
	switch {
	case isHead || status == http.StatusNoContent || status == http.StatusNotModified:
		return nil
	case length == -1:
		return &chunkedBody{reader: r, header: header, chunks: httputil.NewChunkedReader(r)}
	case length >= 0:
		return &fixedBody{reader: r, left: length}
	}
	// The end of the connection is that of the body.
	return r
}

// fixedBody is a body with a length.
type fixedBody struct {
	reader io.Reader
	left   int
}

// Read implements io.Reader.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	switch {
	case b.left == 0:
		err = io.EOF
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks, with a trailer.
type chunkedBody struct {
	reader *bufio.Reader
	header *fasthttp.ResponseHeader
	chunks io.Reader
	// end is set once the trailer was read, to io.EOF if it is valid.
	end error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if n > 0 {
		// The trailer may take its time: the data is not held back for it.
		return n, nil
	}
	b.end = b.readTrailer()
	return 0, b.end
}

// readTrailer reads the trailer. It returns io.EOF if it is valid.
func (b *chunkedBody) readTrailer() error {
	lines := lineReader{reader: b.reader, part: PartTrailer}
	if _, err := lines.checkFields(); err == io.EOF {
		return io.ErrUnexpectedEOF
	} else if err != nil {
		return err
	}
	if err := b.header.ReadTrailer(b.reader); err != nil {
		return &MalformedError{Part: PartTrailer, Reason: "it can't be parsed", Cause: err}
	}
	return io.EOF
}

// checkHeader validates the header that r is at, without consuming it, and returns its status.
func checkHeader(r *bufio.Reader) (int, error) {
	lines := lineReader{reader: r, part: PartHeader}
	line, err := lines.next()
	if err != nil {
		return 0, err
	}
	version, status, ok := parseStatusLine(line)
	if !ok {
		return 0, lines.malformed("invalid status line")
	}
	framing, err := lines.checkFields()
	switch {
	case err != nil:
		return 0, err
	case framing.coded && framing.sized:
		return 0, lines.malformed("both a length and a transfer coding")
	// The HTTP library ignores the transfer coding, and returns the chunks as the body.
	case framing.coded && version != "HTTP/1.1":
		return 0, lines.malformed("a transfer coding in a version without them")
	// The HTTP library keeps the last one only.
	case framing.kinds > 1:
		return 0, lines.malformed("several content types")
	}
	return status, nil
}

// parseStatusLine parses a status line. The blank before a reason that is left out may be missing.
func parseStatusLine(line []byte) (version string, status int, ok bool) {
	before, rest, ok := bytes.Cut(line, []byte(" "))
	minor, known := bytes.CutPrefix(before, []byte("HTTP/1."))
	if !ok || !known || len(minor) != 1 || !isDigit(minor[0]) || len(rest) < statusDigits {
		return "", 0, false
	}
	for _, c := range rest[:statusDigits] {
		if !isDigit(c) {
			return "", 0, false
		}
		status = 10*status + int(c-'0')
	}
	reason := rest[statusDigits:]
	if len(reason) > 0 && reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return "", 0, false
	}
	return string(before), status, status >= http.StatusContinue && status <= maxStatus
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// framing is what the fields of a header say of the body.
type framing struct {
	// sized is set by a length, and coded by a transfer coding.
	sized, coded bool
	// kinds is the number of content types.
	kinds int
}

// lineReader reads the lines of a header or trailer without consuming them.
type lineReader struct {
	reader *bufio.Reader
	part   Part
	// end is how many bytes were returned so far.
	end int
}

// next returns the next line without its end.
func (l *lineReader) next() ([]byte, error) {
	for searched := l.end; ; {
		received, _ := l.reader.Peek(l.reader.Buffered())
		if i := bytes.IndexByte(received[searched:], '\n'); i >= 0 {
			line, ok := bytes.CutSuffix(received[l.end:searched+i], []byte("\r"))
			if !ok {
				return nil, l.malformed("a line without a carriage return at its end")
			}
			l.end = searched + i + 1
			return line, nil
		}
		searched = len(received)
		_, err := l.reader.Peek(searched + 1)
		switch {
		case err == bufio.ErrBufferFull:
			return nil, l.malformed("more than " + strconv.Itoa(searched) + " bytes")
		case err == io.EOF && searched > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// checkFields validates the fields up to the empty line behind them.
func (l *lineReader) checkFields() (framing, error) {
	var f framing
	for {
		line, err := l.next()
		if err != nil || len(line) == 0 {
			return f, err
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case !ok:
			return f, l.malformed("a line without a colon")
		// A line that continues the one before is refused too: it begins with a blank.
		case !httpguts.ValidHeaderFieldName(string(name)):
			return f, l.malformed("invalid field name")
		case !httpguts.ValidHeaderFieldValue(string(value)):
			return f, l.malformed("invalid field value")
		}
		switch {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			f.sized = true
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			f.coded = true
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentType)):
			f.kinds++
		}
	}
}

func (l *lineReader) malformed(reason string) error {
	return &MalformedError{Part: l.part, Reason: reason}
}
