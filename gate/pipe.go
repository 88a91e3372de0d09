package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"quetzalpier"
)

// pipeDepth is how many events are buffered for a slow caller.
const pipeDepth = 64

var (
	eventStart = []byte("data: ")
	eventEnd   = []byte("\n\n")
	streamEnd  = []byte("data: [DONE]\n\n")
)

// pipe carries events from an attempt to the caller's connection. If the stream
// fails, Read returns an error after the last event, so that the connection is
// closed without the final chunk of the body.
type pipe struct {
	ctx    context.Context
	cancel context.CancelFunc
	events chan []byte
	// first receives nil at the first event, or the error that ended the stream
	// before it.
	first  chan error
	done   chan struct{}
	err    error
	unread []byte
	// terminated is set once the [DONE] event or the error event has been passed
	// to Read.
	terminated bool
}

func newPipe() *pipe {
	ctx, cancel := context.WithCancel(context.Background())
	return &pipe{
		ctx: ctx, cancel: cancel,
		events: make(chan []byte, pipeDepth),
		first:  make(chan error, 1),
		done:   make(chan struct{}),
	}
}

// sendEvent queues an event for the caller and blocks while the buffer is full.
func (p *pipe) sendEvent(data []byte) error {
	select {
	case p.first <- nil:
	default:
	}
	event := bytes.Join([][]byte{eventStart, data, eventEnd}, nil)
	select {
	case p.events <- event:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

// finish ends the stream; a nil error means that it is complete.
func (p *pipe) finish(err error) {
	p.err = err
	close(p.done)
	select {
	case p.first <- err:
	default:
	}
}

// waitFirst blocks until the first event and returns nil, or the error that ended
// the stream before it.
func (p *pipe) waitFirst() error { return <-p.first }

// Read implements io.Reader for the caller's connection.
func (p *pipe) Read(b []byte) (int, error) {
	if len(p.unread) == 0 {
		if err := p.nextEvent(); err != nil {
			return 0, err
		}
	}
	n := copy(b, p.unread)
	p.unread = p.unread[n:]
	return n, nil
}

func (p *pipe) nextEvent() error {
	select {
	case event := <-p.events:
		p.unread = event
		return nil
	default:
	}
	select {
	case event := <-p.events:
		p.unread = event
		return nil
	case <-p.done:
		return p.remaining()
	}
}

// remaining returns the buffered events, then the end of the stream: the [DONE]
// event and io.EOF, or an error event and an error.
func (p *pipe) remaining() error {
	select {
	case event := <-p.events:
		p.unread = event
		return nil
	default:
	}
	switch {
	case p.terminated && p.err != nil:
		return errors.Wrap(p.err, "stream interrupted")
	case p.terminated:
		return io.EOF
	case p.err != nil:
		p.unread = cutEvent(p.err)
	default:
		p.unread = streamEnd
	}
	p.terminated = true
	return nil
}

// Close cancels the attempt. The server calls it when the response has ended.
func (p *pipe) Close() error {
	p.cancel()
	return nil
}

// cutEvent returns an error event in the format of the OpenAI API, which reports
// that the stream was interrupted.
func cutEvent(err error) []byte {
	body, _ := json.Marshal(map[string]any{"error": map[string]string{
		"type": "cut", "message": err.Error(), "ran": string(quetzalpier.RanYes),
	}})
	return bytes.Join([][]byte{eventStart, body, eventEnd}, nil)
}
