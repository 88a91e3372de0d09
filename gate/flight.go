package gate

import (
	"context"
	"crypto/subtle"
	"sync"
)

// flightCounter counts the requests in flight: those without a complete response.
type flightCounter struct {
	mu   sync.Mutex
	n    int
	idle chan struct{}
}

func newFlightCounter() *flightCounter { return &flightCounter{idle: make(chan struct{})} }

// begin adds a request. The returned function removes it and may be called more
// than once.
func (f *flightCounter) begin() func() {
	f.mu.Lock()
	f.n++
	f.mu.Unlock()
	return sync.OnceFunc(f.end)
}

func (f *flightCounter) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 {
		close(f.idle)
		f.idle = make(chan struct{})
	}
}

func (f *flightCounter) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// wait blocks until no request is in flight or ctx ends.
func (f *flightCounter) wait(ctx context.Context) {
	for {
		f.mu.Lock()
		n, idle := f.n, f.idle
		f.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return
		}
	}
}

func secretsEqual(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }
