// Package engine asks model engines for tokens over the OpenAI-compatible
// calls, always as a stream, so that a silent connection shows.
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

// Progress limits. Engines send a comment line twice a second while a stream
// waits, so that seconds without a byte mean a silent connection.
const (
	FirstLimit    = 5 * time.Second
	ProgressLimit = 4 * time.Second
	maxLine       = 1 << 20
)

// StatusError reports an answer whose status is not a success.
type StatusError struct {
	Addr   string
	Status int
	Body   []byte
	// NotRun tells that the upstream stated that it did not run the request.
	NotRun bool
	// After is when the upstream asked to be tried again.
	After time.Duration
}

// Error implements error.
func (e *StatusError) Error() string { return e.Addr + ": status " + strconv.Itoa(e.Status) }

// CutError reports a stream that ended without its end mark.
type CutError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *CutError) Error() string { return e.Addr + ": stream cut: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Err }

// Event is one event of a stream.
type Event struct {
	// Data is the event's JSON as the engine sent it.
	Data    []byte
	Text    string
	Finish  string
	Version quetzalpier.Version
	Tokens  int
	// Usage is the token count that the last event may carry.
	Usage json.RawMessage
}

type eventBody struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Version quetzalpier.Version `json:"version"`
	Tokens  int                 `json:"tokens"`
	Usage   json.RawMessage     `json:"usage"`
}

// Client asks engines.
type Client struct {
	Links *link.Links
}

// Stream is an open stream of events.
type Stream struct {
	addr    string
	answer  *link.Answer
	scanner *bufio.Scanner
	done    bool
}

// Open posts body, a JSON object that asks for a stream, to an engine.
func (c *Client) Open(ctx context.Context, addr, path string, body []byte) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	answer, err := c.Links.Do(ctx, link.Call{Addr: addr, Request: req, First: FirstLimit, Progress: ProgressLimit})
	if err != nil {
		return nil, err
	}
	if answer.Status != fasthttp.StatusOK {
		return nil, statusError(addr, answer)
	}
	scanner := bufio.NewScanner(answer)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLine)
	return &Stream{addr: addr, answer: answer, scanner: scanner}, nil
}

func statusError(addr string, answer *link.Answer) error {
	defer func() { _ = answer.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer, maxLine))
	if err != nil {
		return err
	}
	seconds, _ := strconv.Atoi(string(answer.Header.Peek("Retry-After")))
	return &StatusError{Addr: addr, Status: answer.Status, Body: body, After: time.Duration(seconds) * time.Second}
}

// Next returns the next event, or io.EOF after the stream's end mark. A
// stream that stops without the mark gives a CutError.
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
			s.drain()
			return Event{}, io.EOF
		}
		return decode(s.addr, data)
	}
	err := s.scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Event{}, &CutError{Addr: s.addr, Err: err}
}

// drain reads the body's end, so that the connection can be used again.
func (s *Stream) drain() {
	for s.scanner.Scan() {
		continue
	}
}

// Close ends the stream; an unfinished one is canceled at the engine.
func (s *Stream) Close() { _ = s.answer.Close() }

func decode(addr string, data []byte) (Event, error) {
	var body eventBody
	if err := json.Unmarshal(data, &body); err != nil {
		return Event{}, &CutError{Addr: addr, Err: errors.Wrap(err, "decode event")}
	}
	event := Event{Data: append([]byte(nil), data...), Version: body.Version, Tokens: body.Tokens, Usage: body.Usage}
	if len(body.Choices) > 0 {
		event.Text = body.Choices[0].Text + body.Choices[0].Delta.Content
		event.Finish = body.Choices[0].Finish
	}
	return event, nil
}
