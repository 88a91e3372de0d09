package stand

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Plain is the stand-in for a plain service. It counts the runs of each request
// by idempotency key, or by method, path and body if there is no key.
type Plain struct {
	*Server

	mu   sync.Mutex
	runs map[string]int
	// AnswerDelay is the delay of each answer after the run is counted.
	AnswerDelay time.Duration
	// DropAnswers is the number of further requests whose connection is closed
	// without an answer after the run is counted.
	DropAnswers int
}

// NewPlain starts the service on addr.
func NewPlain(addr string) (*Plain, error) {
	p := &Plain{runs: map[string]int{}}
	server, err := Serve(addr, 0, p.handle)
	if err != nil {
		return nil, err
	}
	p.Server = server
	return p, nil
}

// Runs returns the number of runs of the request with this key.
func (p *Plain) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[key]
}

// SetFaults sets the delay of answers and the number of answers to drop.
func (p *Plain) SetFaults(delay time.Duration, drop int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.AnswerDelay = delay
	p.DropAnswers = drop
}

func (p *Plain) handle(c *fasthttp.RequestCtx) {
	if string(c.Path()) == "/runs" {
		p.mu.Lock()
		body, _ := json.Marshal(p.runs)
		p.mu.Unlock()
		c.SetBody(body)
		return
	}
	key := string(c.Request.Header.Peek("Idempotency-Key"))
	if key == "" {
		key = string(c.Method()) + " " + string(c.Path()) + " " + string(c.PostBody())
	}
	p.mu.Lock()
	p.runs[key]++
	delay, drop := p.AnswerDelay, p.DropAnswers > 0
	if drop {
		p.DropAnswers--
	}
	p.mu.Unlock()
	time.Sleep(delay)
	if drop {
		_ = c.Conn().Close()
		return
	}
	c.SetContentType("application/json")
	c.SetBodyString(fmt.Sprintf(`{"path":%q,"key":%q}`, c.Path(), key))
}
