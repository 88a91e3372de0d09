package entry

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// watchAfter is how long a request lasts before its connection is watched;
// most are answered sooner.
const watchAfter = 100 * time.Millisecond

// readAhead bounds what is read of the client's next request meanwhile.
const readAhead = 4 << 10

type watchListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *watchListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchConn{Conn: conn}, nil
}

// watchConn reads ahead while a request is served, so that the client's close
// is noticed. The HTTP library does not tell its handlers.
type watchConn struct {
	net.Conn

	mu      sync.Mutex
	ahead   []byte
	err     error
	stopped bool
}

// Read implements net.Conn.
func (w *watchConn) Read(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.ahead) > 0 {
		n := copy(b, w.ahead)
		w.ahead = w.ahead[n:]
		return n, nil
	}
	if w.err != nil {
		return 0, w.err
	}
	return w.Conn.Read(b)
}

// watch calls gone when the client closes the connection before stop is
// called.
func (w *watchConn) watch(gone func()) (stop func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(watchAfter, func() {
		defer close(done)
		buffer := make([]byte, readAhead)
		n, err := w.Conn.Read(buffer)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ahead = append(w.ahead, buffer[:n]...)
		if err == nil || w.stopped {
			return
		}
		w.err = err
		gone()
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

// watchGone watches the connection of a request.
func watchGone(c *fasthttp.RequestCtx, gone func()) (stop func()) {
	if w, ok := c.Conn().(*watchConn); ok {
		return w.watch(gone)
	}
	return func() {}
}
