package entry

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"quetzalpier/client"
	"quetzalpier/intake"
)

// watchDelay is the age of a request at which the watch of its connection
// starts. Requests answered sooner, which are the majority, need none.
const watchDelay = 100 * time.Millisecond

// readAheadBytes is the maximum read from the connection while a request is
// served; these bytes belong to the client's next request.
const readAheadBytes = 4 << 10

const (
	// unusedGrace is the age from which a closing server closes a connection that has brought
	// no byte. fasthttp waits five seconds for its first request, which is longer than a
	// planned stop leaves.
	unusedGrace = time.Second
	// unusedInterval is the time between two rounds that close such connections.
	unusedInterval = 50 * time.Millisecond
	// readerTimeout is how long the reader of a stream may take nothing before it loses the
	// stream: as long as a client may take for its request.
	readerTimeout = readTimeout
	// streamBuffer is the size of the kernel's send buffer of a stream, which it doubles.
	// Without a bound, it grows to 4 MB for each reader that is slow.
	streamBuffer = 32 << 10
)

// watchListener wraps accepted connections in a watchConn, and bounds their number.
type watchListener struct {
	net.Listener
	// queueErr is why the queue of new connections has no bound; nil if it has one.
	queueErr error
	// open is the number of connections, yielded counts those that were closed for others, and
	// rejected those that were refused since there was none to close.
	open              prometheus.Gauge
	yielded, rejected prometheus.Counter

	mu     sync.Mutex
	lastID intake.ID
	places *intake.Places
	conns  map[intake.ID]*watchConn
	// unused are the connections that have brought no byte, with the time of their acceptance.
	unused map[*watchConn]time.Time
}

// listen listens on addr, for as many connections as bounds allows.
func listen(addr string, bounds intake.Port) (*watchListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		// The accepted connections inherit the size.
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, intake.ReceiveBuffer)
		})
		if err != nil {
			return err
		}
		return optErr
	}}
	inner, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &watchListener{
		Listener: inner, queueErr: boundQueue(inner, bounds.Queue), places: intake.NewPlaces(bounds.Places), conns: map[intake.ID]*watchConn{}, unused: map[*watchConn]time.Time{},
	}, nil
}

// boundQueue bounds the connections that the kernel accepts before the process does.
//
// Load pattern: clients connect to a node that is paused, and send as much as the kernel receives.
func boundQueue(listener net.Listener, queue int) error {
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return errors.Errorf("%T has no descriptor", listener)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), queue) }); err != nil {
		return err
	}
	return listenErr
}

// Accept implements net.Listener. A connection for which there is no place is refused.
func (l *watchListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		w, yield, opened := l.add(conn, time.Now())
		if yield != nil {
			l.yielded.Inc()
			yield.yieldPlace()
		}
		if opened {
			l.open.Inc()
			return w, nil
		}
		l.rejected.Inc()
		_, _ = conn.Write([]byte(rejection))
		_ = conn.Close()
	}
}

// rejection is the answer to a connection for which there is no place.
const rejection = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// add adds a connection, and returns the one that yields its place, if any.
func (l *watchListener) add(conn net.Conn, now time.Time) (w, yield *watchConn, opened bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	id, found, opened := l.places.Open(l.lastID, now)
	if found {
		yield = l.conns[id]
	}
	if !opened {
		return nil, yield, false
	}
	w = &watchConn{Conn: conn, listener: l, id: l.lastID}
	l.conns[w.id] = w
	l.unused[w] = now
	return w, yield, true
}

// setPhase records what a connection waits for from now on.
func (l *watchListener) setPhase(w *watchConn, phase intake.Phase, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.places.Set(w.id, phase, now)
}

// connState follows the states of the HTTP server's connections.
func connState(conn net.Conn, state fasthttp.ConnState) {
	w, ok := conn.(*watchConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		w.setPhase(intake.Receiving)
	case fasthttp.StateIdle:
		w.setPhase(intake.Idle)
	}
}

func (l *watchListener) forget(w *watchConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unused, w)
}

// remove gives back the place of a closed connection.
func (l *watchListener) remove(w *watchConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[w.id] == nil {
		return
	}
	l.places.Close(w.id)
	delete(l.conns, w.id)
	l.open.Dec()
}

// closeUnused closes the connections that have brought no byte for unusedGrace.
//
// Load pattern: clients open connections ahead of their requests, also to a node that is
// about to close its port.
func (l *watchListener) closeUnused(now time.Time) {
	l.mu.Lock()
	var due []*watchConn
	for w, acceptedAt := range l.unused {
		if now.Sub(acceptedAt) >= unusedGrace && client.Quiet(w.Conn) {
			due = append(due, w)
		}
	}
	l.mu.Unlock()
	for _, w := range due {
		_ = w.Close()
	}
}

// watchConn reads ahead while a request is served to detect that the client
// closes the connection, which fasthttp does not report to its handlers. The watch
// ends at the latest when fasthttp waits for the next request.
type watchConn struct {
	net.Conn
	listener *watchListener
	id       intake.ID
	// broken is set once reads are to fail, and yielded once another connection has the place.
	// unread is set if the client may still be sending a request that was answered.
	broken, yielded, unread atomic.Bool
	// answering is set while a large answer is written, whose client may not read it.
	answering atomic.Bool
	// used is set once a byte was read or the connection is closed.
	used atomic.Bool

	mu       sync.Mutex
	buffered []byte
	err      error
	// stopWatch ends the watch of the current request; nil if there was none.
	stopWatch func()
	// writeTimeout limits each write; zero for no limit. stalled is set once a write took
	// longer.
	writeTimeout time.Duration
	stalled      bool
}

// limitWrites bounds what is buffered for the reader of a stream, and how long it may take
// nothing. A zero timeout ends that for the connection's next request.
//
// Load pattern: 60 slow readers of long streams at a node with 144 MB.
func (w *watchConn) limitWrites(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if timeout == 0 && w.writeTimeout > 0 {
		_ = w.SetWriteDeadline(time.Time{})
	}
	w.writeTimeout = timeout
	w.answering.Store(false)
	if conn, ok := w.Conn.(*net.TCPConn); ok && timeout > 0 {
		_ = conn.SetWriteBuffer(streamBuffer)
	}
}

// Write implements net.Conn.
func (w *watchConn) Write(b []byte) (int, error) {
	w.mu.Lock()
	timeout := w.writeTimeout
	w.mu.Unlock()
	if timeout == 0 {
		return w.Conn.Write(b)
	}
	if w.answering.Load() {
		w.setPhase(intake.Answering)
	}
	if err := w.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	if w.yielded.Load() && w.answering.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := w.Conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		w.mu.Lock()
		w.stalled = true
		w.mu.Unlock()
	}
	return n, err
}

// hasStalled reports whether the reader of a stream took nothing for too long.
func (w *watchConn) hasStalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled
}

// Read implements net.Conn.
func (w *watchConn) Read(b []byte) (int, error) {
	w.endWatch()
	w.mu.Lock()
	n, err := copy(b, w.buffered), w.err
	w.buffered = w.buffered[n:]
	w.mu.Unlock()
	if n > 0 || err != nil {
		return n, err
	}
	n, err = w.Conn.Read(b)
	if n > 0 {
		w.markUsed()
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (w *watchConn) SetReadDeadline(t time.Time) error {
	// The end of the watch resets the deadline.
	w.endWatch()
	err := w.Conn.SetReadDeadline(t)
	if w.broken.Load() {
		return w.Conn.SetReadDeadline(pastTime)
	}
	return err
}

// pastTime is a deadline that makes pending reads fail.
var pastTime = time.Unix(1, 0)

// breakOff makes the reads of the connection fail.
func (w *watchConn) breakOff() {
	w.broken.Store(true)
	_ = w.Conn.SetReadDeadline(pastTime)
}

// yieldPlace makes the reads of the connection fail, and the writes of a large answer. What has
// been read of a request is answered.
func (w *watchConn) yieldPlace() {
	w.yielded.Store(true)
	w.breakOff()
	if w.answering.Load() {
		_ = w.Conn.SetWriteDeadline(pastTime)
	}
}

func (w *watchConn) setPhase(phase intake.Phase) { w.listener.setPhase(w, phase, time.Now()) }

// Close implements net.Conn.
func (w *watchConn) Close() error {
	w.markUsed()
	if w.unread.Load() && !w.yielded.Load() {
		w.discardUnread()
	}
	err := w.Conn.Close()
	w.listener.remove(w)
	return err
}

const (
	// maxUnreadBytes and maxUnreadTime limit what is read of a request after its answer.
	maxUnreadBytes = 32 << 20
	maxUnreadTime  = 2 * time.Second
)

// discardUnread ends the answer, and reads for a time what the client still sends. A connection
// that is closed with unread bytes is reset, and its client may lose the answer.
func (w *watchConn) discardUnread() {
	conn, ok := w.Conn.(*net.TCPConn)
	if !ok || conn.CloseWrite() != nil {
		return
	}
	w.setPhase(intake.Closing)
	// The reads of a body that yielded are to fail, but not these.
	if conn.SetReadDeadline(time.Now().Add(maxUnreadTime)) != nil || w.yielded.Load() {
		return
	}
	_, _ = io.CopyN(io.Discard, conn, maxUnreadBytes)
}

func (w *watchConn) markUsed() {
	if w.used.CompareAndSwap(false, true) {
		w.listener.forget(w)
	}
}

// watch calls onClose if the client closes the connection before stop is called.
func (w *watchConn) watch(onClose func()) (stop func()) {
	// A pipelined request comes without a read.
	w.endWatch()
	done := make(chan struct{})
	stopped := false
	timer := time.AfterFunc(watchDelay, func() {
		defer close(done)
		w.mu.Lock()
		if stopped {
			w.mu.Unlock()
			return
		}
		// The deadline was that of the request.
		_ = w.Conn.SetReadDeadline(time.Time{})
		w.mu.Unlock()
		buffer := make([]byte, readAheadBytes)
		n, err := w.Conn.Read(buffer)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.buffered = append(w.buffered, buffer[:n]...)
		if err == nil || stopped {
			return
		}
		w.err = err
		onClose()
	})
	stop = sync.OnceFunc(func() {
		if timer.Stop() {
			return
		}
		w.mu.Lock()
		stopped = true
		_ = w.Conn.SetReadDeadline(pastTime)
		w.mu.Unlock()
		<-done
		_ = w.Conn.SetReadDeadline(time.Time{})
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopWatch = stop
	return stop
}

// endWatch ends the watch of the request before.
func (w *watchConn) endWatch() {
	w.mu.Lock()
	stop := w.stopWatch
	w.mu.Unlock()
	if stop != nil {
		stop()
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

// clientGone reports whether the client of a request has closed its connection.
func clientGone(c *fasthttp.RequestCtx) bool {
	w, ok := c.Conn().(*watchConn)
	return ok && client.Closed(w.Conn)
}

// limitWrites sets the limit of the writes to the client of a request.
func limitWrites(c *fasthttp.RequestCtx, timeout time.Duration) {
	if w, ok := c.Conn().(*watchConn); ok {
		w.limitWrites(timeout)
	}
}

// hasStalled reports whether a connection was closed since its client did not read.
func hasStalled(conn net.Conn) bool {
	w, ok := conn.(*watchConn)
	return ok && w.hasStalled()
}
