package entry

import (
	"fmt"
	"net/http"
	"strconv"

	"quetzalpier"
	"quetzalpier/engine"
	"quetzalpier/platform"
)

// progress is how much of the answer to a stream's request the client has got over its
// attempts. An upstream's answer becomes the client's with its first event or its end. From
// then on other attempts can only continue it: their heads and errors never reach the client.
type progress struct {
	// first receives the answer that becomes the client's, or failed why there is none.
	first  chan *platform.Answer
	failed chan error
	// begun is set once an answer has become the client's, and head that of the current
	// attempt until then.
	head  *platform.Answer
	begun bool
	// numbered reports whether the events are numbered without gaps, which a stream that may
	// be resumed needs, and last is the ID of the last one that the client has.
	numbered bool
	last     int
}

// newProgress returns the progress of a stream that goes on after the event with the ID last,
// as the client sent it; empty for a new stream.
func newProgress(resumable bool, last string) (*progress, error) {
	p := &progress{first: make(chan *platform.Answer, 1), failed: make(chan error, 1), numbered: resumable}
	if !resumable || last == "" {
		return p, nil
	}
	id, err := strconv.Atoi(last)
	if err != nil || id < 0 {
		return nil, quetzalpier.Invalid(platform.HeaderLastEventID, "must be the number of an event")
	}
	p.last = id
	return p, nil
}

// receiveHead handles the head of an attempt's answer, or its complete answer if that is not
// a success. It returns an error if a stream that has begun doesn't continue with it; see
// engine.ToResume for the statuses that permit another attempt.
func (p *progress) receiveHead(vm quetzalpier.VM, head *platform.Answer) error {
	switch {
	case !p.begun:
		p.head = head
		if head.Body != nil {
			p.begin()
		}
		return nil
	case head.Status == http.StatusOK:
		return nil
	}
	return engine.ToResume(&engine.StatusError{Addr: vm.Addr, Status: head.Status, Body: head.Body})
}

// receiveEvent handles an event before it is passed on to the client. It returns an error if
// the event doesn't follow the last one.
func (p *progress) receiveEvent(vm quetzalpier.VM, event platform.Event) error {
	if p.numbered && event.ID != p.last+1 {
		return &platform.InvalidAnswerError{Upstream: vm.ID, Reason: fmt.Sprintf("it has event %d after event %d", event.ID, p.last)}
	}
	p.last = event.ID
	p.begin()
	return nil
}

// begin makes the answer of the current attempt the client's, unless one is.
func (p *progress) begin() {
	if !p.begun {
		p.begun = true
		p.first <- p.head
	}
}

// end records the end of all attempts.
func (p *progress) end(err error) {
	switch {
	case err == nil:
		p.begin()
	case !p.begun:
		p.failed <- err
	}
}
