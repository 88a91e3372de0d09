package entry

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// watchDelay is the age of a request at which the watch of its connection
// starts. Requests answered sooner, which are the majority, need none.
const watchDelay = 100 * time.Millisecond

// readAheadBytes is the maximum read from the connection while a request is
// served; these bytes belong to the client's next request.
const readAheadBytes = 4 << 10

// watchListener wraps accepted connections in a watchConn.
type watchListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *watchListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchConn{Conn: conn}, nil
}

// watchConn reads ahead while a request is served to detect that the client
// closes the connection, which fasthttp does not report to its handlers.
type watchConn struct {
	net.Conn

	mu       sync.Mutex
	buffered []byte
	err      error
	stopped  bool
}

// Read implements net.Conn.
func (w *watchConn) Read(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffered) > 0 {
		n := copy(b, w.buffered)
		w.buffered = w.buffered[n:]
		return n, nil
	}
	if w.err != nil {
		return 0, w.err
	}
	return w.Conn.Read(b)
}

// watch calls onClose if the client closes the connection before stop is called.
func (w *watchConn) watch(onClose func()) (stop func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(watchDelay, func() {
		defer close(done)
		buffer := make([]byte, readAheadBytes)
		n, err := w.Conn.Read(buffer)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.buffered = append(w.buffered, buffer[:n]...)
		if err == nil || w.stopped {
			return
		}
		w.err = err
		onClose()
	})
	return func() {
		if timer.Stop() {
			return
		}
		w.mu.Lock()
		w.stopped = true
		w.mu.Unlock()
		_ = w.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = w.SetReadDeadline(time.Time{})
		w.mu.Lock()
		w.stopped = false
		w.mu.Unlock()
	}
}

// watchClient calls onClose if the client of a request closes its connection
// before stop is called.
func watchClient(c *fasthttp.RequestCtx, onClose func()) (stop func()) {
	if w, ok := c.Conn().(*watchConn); ok {
		return w.watch(onClose)
	}
	return func() {}
}
