package stand

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Weights is the stand-in for the rate-limited weight store. It refuses loads
// above the rate.
type Weights struct {
	*Server
	// Rate is the maximum number of loads per second, and also the burst size.
	Rate float64

	mu      sync.Mutex
	tokens  float64
	last    time.Time
	refused int
}

// NewWeights starts the store on addr.
func NewWeights(addr string, rate float64) (*Weights, error) {
	w := &Weights{Rate: rate, tokens: rate, last: time.Now()}
	server, err := Serve(addr, 0, w.handle)
	if err != nil {
		return nil, err
	}
	w.Server = server
	return w, nil
}

// Refused returns the number of refused loads.
func (w *Weights) Refused() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused
}

func (w *Weights) handle(c *fasthttp.RequestCtx) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(w.Rate, w.tokens+now.Sub(w.last).Seconds()*w.Rate)
	w.last = now
	if w.tokens < 1 {
		w.refused++
		c.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	w.tokens--
	c.SetBodyString("weights")
}
