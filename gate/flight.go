package gate

import (
	"context"
	"crypto/subtle"
	"sync"
)

// flight counts requests whose answers are not whole yet.
type flight struct {
	mu    sync.Mutex
	n     int
	empty chan struct{}
}

func newFlight() *flight { return &flight{empty: make(chan struct{})} }

// begin counts a request; the result ends it, once.
func (f *flight) begin() func() {
	f.mu.Lock()
	f.n++
	f.mu.Unlock()
	return sync.OnceFunc(f.end)
}

func (f *flight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 {
		close(f.empty)
		f.empty = make(chan struct{})
	}
}

func (f *flight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// wait returns when no request is in flight, or when ctx ends.
func (f *flight) wait(ctx context.Context) {
	for {
		f.mu.Lock()
		n, empty := f.n, f.empty
		f.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-empty:
		case <-ctx.Done():
			return
		}
	}
}

func equal(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }
