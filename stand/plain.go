package stand

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Plain is the stand-in for a plain service that counts each run by key.
type Plain struct {
	*Server

	mu   sync.Mutex
	runs map[string]int
	// Hold delays each answer after the run was counted.
	Hold time.Duration
	// Drop closes this many connections after the run was counted, without an
	// answer.
	Drop int
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

// Runs tells how often the request with this key has run.
func (p *Plain) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[key]
}

// SetFaults sets how long answers are held and how many are dropped.
func (p *Plain) SetFaults(hold time.Duration, drop int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Hold = hold
	p.Drop = drop
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
	hold, drop := p.Hold, p.Drop > 0
	if drop {
		p.Drop--
	}
	p.mu.Unlock()
	time.Sleep(hold)
	if drop {
		_ = c.Conn().Close()
		return
	}
	c.SetContentType("application/json")
	c.SetBodyString(fmt.Sprintf(`{"path":%q,"key":%q}`, c.Path(), key))
}
