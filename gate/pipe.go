package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"quetzalpier"
)

// pipeDepth is how many events may wait for a slow caller.
const pipeDepth = 64

var (
	eventStart = []byte("data: ")
	eventEnd   = []byte("\n\n")
	streamEnd  = []byte("data: [DONE]\n\n")
)

// pipe carries events from an attempt to the caller's connection. A stream
// that was cut ends with a read error, so that the connection is closed
// without the body's own end mark.
type pipe struct {
	ctx    context.Context
	cancel context.CancelFunc
	events chan []byte
	first  chan error
	done   chan struct{}
	err    error
	rest   []byte
	ended  bool
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

// put passes an event on; it blocks while the caller is slow.
func (p *pipe) put(data []byte) error {
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

// end ends the stream; a nil error means that it is whole.
func (p *pipe) end(err error) {
	p.err = err
	close(p.done)
	select {
	case p.first <- err:
	default:
	}
}

// started waits for the first event, or for the error that came instead.
func (p *pipe) started() error { return <-p.first }

// Read implements io.Reader for the caller's connection.
func (p *pipe) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		if err := p.next(); err != nil {
			return 0, err
		}
	}
	n := copy(b, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

func (p *pipe) next() error {
	select {
	case event := <-p.events:
		p.rest = event
		return nil
	default:
	}
	select {
	case event := <-p.events:
		p.rest = event
		return nil
	case <-p.done:
		return p.last()
	}
}

// last passes on what is still there, then the end mark or the cut.
func (p *pipe) last() error {
	select {
	case event := <-p.events:
		p.rest = event
		return nil
	default:
	}
	switch {
	case p.ended && p.err != nil:
		return errors.Wrap(p.err, "stream cut")
	case p.ended:
		return io.EOF
	case p.err != nil:
		p.rest = cutEvent(p.err)
	default:
		p.rest = streamEnd
	}
	p.ended = true
	return nil
}

// Close is called when the caller's connection is done; it cancels the attempt.
func (p *pipe) Close() error {
	p.cancel()
	return nil
}

// cutEvent tells the caller of a cut in the form that OpenAI clients read.
func cutEvent(err error) []byte {
	body, _ := json.Marshal(map[string]any{"error": map[string]string{
		"type": "cut", "message": err.Error(), "ran": string(quetzalpier.RanYes),
	}})
	return bytes.Join([][]byte{eventStart, body, eventEnd}, nil)
}
