// Package engine is a client of model engines and their OpenAI-compatible API. It
// always requests a stream, so that a silent connection is detected by a timeout.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/link"
)

// Timeouts of a stream. Engines send a comment line twice a second while a stream
// has no events, so a connection without data for seconds is silent.
const (
	HeaderTimeout = 5 * time.Second
	ReadTimeout   = 4 * time.Second
	maxLineBytes  = 1 << 20
	// maxTrailingLines is how many lines may follow the last event.
	maxTrailingLines = 16
)

// StatusError describes a response with a status other than 200.
type StatusError struct {
	Addr   string
	Status int
	Body   []byte
	// NotRun reports whether the upstream stated that it did not run the request.
	NotRun bool
	// RetryAfter is the delay before a retry that the upstream requested, zero if
	// none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *StatusError) Error() string { return e.Addr + ": HTTP status " + strconv.Itoa(e.Status) }

// ResumeError describes an error response to a request whose output another engine began,
// after which a further engine may resume it.
type ResumeError struct {
	Addr   string
	Status int
}

// Error implements error.
func (e *ResumeError) Error() string {
	return e.Addr + ": HTTP status " + strconv.Itoa(e.Status) + " to a request that resumes an output"
}

// ToResume returns the error of a request whose output another engine began, and which was
// answered with a status. Statuses that say something of the engine give a ResumeError: 408
// and from 500 on, without those that decline the request. Any other is about the request,
// which engines of one software version treat alike: it is final.
func ToResume(err *StatusError) error {
	if err.Status == fasthttp.StatusRequestTimeout || err.Status >= fasthttp.StatusInternalServerError && err.Status != fasthttp.StatusServiceUnavailable {
		return &ResumeError{Addr: err.Addr, Status: err.Status}
	}
	return err
}

// CutError describes a stream that ended before its [DONE] event or that
// contains an invalid event or an error.
type CutError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *CutError) Error() string { return e.Addr + ": stream failed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Err }

// Event is one event of a stream.
type Event struct {
	// Data is the event's JSON as the engine sent it.
	Data         []byte
	Text         string
	FinishReason string
	Version      quetzalpier.Version
	Tokens       int
	// Usage is the token usage, which the last event may contain.
	Usage json.RawMessage
}

type eventBody struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Version quetzalpier.Version `json:"version"`
	Tokens  int                 `json:"tokens"`
	Usage   json.RawMessage     `json:"usage"`
	Error   any                 `json:"error"`
}

// Client sends requests to engines.
type Client struct {
	Links *link.Links
}

// Stream is an open stream of events.
type Stream struct {
	addr     string
	response *link.Response
	scanner  *bufio.Scanner
	done     bool
}

// Open posts body, the JSON object of a streaming request, to an engine.
func (c *Client) Open(ctx context.Context, addr, path string, body []byte) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	response, err := c.Links.Do(ctx, link.Call{Addr: addr, Request: req, HeaderTimeout: HeaderTimeout, ReadTimeout: ReadTimeout})
	if err != nil {
		return nil, err
	}
	if response.Status != fasthttp.StatusOK {
		return nil, statusError(addr, response)
	}
	scanner := bufio.NewScanner(response)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	return &Stream{addr: addr, response: response, scanner: scanner}, nil
}

func statusError(addr string, response *link.Response) error {
	defer func() { _ = response.Close() }()
	body, err := response.ReadAll(maxLineBytes)
	if err != nil {
		return err
	}
	seconds, _ := strconv.Atoi(string(response.Header.Peek("Retry-After")))
	return &StatusError{Addr: addr, Status: response.Status, Body: body, RetryAfter: time.Duration(seconds) * time.Second}
}

// Next returns the next event, or io.EOF after the [DONE] event. It returns a
// CutError if the stream ends before that event, or contains an invalid event or an error.
func (s *Stream) Next() (Event, error) {
	if s.done {
		return Event{}, io.EOF
	}
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			s.done = true
			s.readToEnd()
			return Event{}, io.EOF
		}
		return decodeEvent(s.addr, data)
	}
	err := s.scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Event{}, &CutError{Addr: s.addr, Err: err}
}

// readToEnd reads the rest of the body, if it is short, so that the connection can be
// reused.
func (s *Stream) readToEnd() {
	for range maxTrailingLines {
		if !s.scanner.Scan() {
			return
		}
	}
}

// Close closes the stream. If it is incomplete, its connection is closed as well,
// which cancels the request at the engine.
func (s *Stream) Close() { _ = s.response.Close() }

func decodeEvent(addr string, data []byte) (Event, error) {
	var body eventBody
	if err := json.Unmarshal(data, &body); err != nil {
		return Event{}, &CutError{Addr: addr, Err: errors.Wrap(err, "decode event")}
	}
	if body.Error != nil {
		return Event{}, &CutError{Addr: addr, Err: errors.Errorf("the engine reports an error: %v", body.Error)}
	}
	event := Event{Data: append([]byte(nil), data...), Version: body.Version, Tokens: body.Tokens, Usage: body.Usage}
	if len(body.Choices) > 0 {
		event.Text = body.Choices[0].Text + body.Choices[0].Delta.Content
		event.FinishReason = body.Choices[0].FinishReason
	}
	return event, nil
}
