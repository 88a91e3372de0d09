// Package stand contains stand-ins for the systems that the service works with:
// the platform's key-value service, VM list and weight store, model engines,
// plain services and trainers. Tests, demonstrations and load runs use them.
package stand

import (
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Listener keeps track of its open connections, to inject faults into all of them
// at once.
type Listener struct {
	net.Listener
	// latency is added to each read.
	latency time.Duration

	mu    sync.Mutex
	conns map[*faultyConn]struct{}
}

type faultyConn struct {
	net.Conn
	listener  *Listener
	silent    atomic.Bool
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen listens on a TCP address and adds latency to each read of a connection.
func Listen(addr string, latency time.Duration) (*Listener, error) {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: inner, latency: latency, conns: map[*faultyConn]struct{}{}}, nil
}

// Accept waits for a connection and adds it to the tracked ones.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &faultyConn{Conn: conn, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[wrapped] = struct{}{}
	l.mu.Unlock()
	return wrapped, nil
}

// CloseConns resets all open connections.
func (l *Listener) CloseConns() {
	for _, conn := range l.openConns() {
		_ = conn.Close()
	}
}

// Silence makes all open connections silent until they close: they discard input
// and output. New connections work.
func (l *Listener) Silence() {
	for _, conn := range l.openConns() {
		conn.silent.Store(true)
	}
}

// SilenceConn makes the open connection with a remote address silent until it closes.
func (l *Listener) SilenceConn(remote net.Addr) {
	for _, conn := range l.openConns() {
		if conn.RemoteAddr().String() == remote.String() {
			conn.silent.Store(true)
		}
	}
}

func (l *Listener) openConns() []*faultyConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*faultyConn, 0, len(l.conns))
	for conn := range l.conns {
		conns = append(conns, conn)
	}
	return conns
}

// Read discards what a silent connection receives.
func (c *faultyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return n, err
		}
		if !c.silent.Load() {
			time.Sleep(c.listener.latency)
			return n, nil
		}
	}
}

// Write discards what is written to a silent connection.
func (c *faultyConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close resets the connection. A silent one stays open until the peer closes it or
// the server stops, because Read does not return earlier.
func (c *faultyConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// Server runs a fasthttp handler on a Listener.
type Server struct {
	Addr          string
	FaultListener *Listener

	server  *fasthttp.Server
	workers conc.WaitGroup
}

// Serve starts a server for handler on addr and adds latency to each read of a
// connection.
func Serve(addr string, latency time.Duration, handler fasthttp.RequestHandler, options ...func(*fasthttp.Server)) (*Server, error) {
	listener, err := Listen(addr, latency)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Addr:          listener.Addr().String(),
		FaultListener: listener,
		server: &fasthttp.Server{
			Handler:               handler,
			NoDefaultServerHeader: true,
			CloseOnShutdown:       true,
			MaxRequestBodySize:    8 << 20,
			// Injected faults make the server fail to write its answers.
			Logger: log.New(io.Discard, "", 0),
		},
	}
	for _, option := range options {
		option(s.server)
	}
	s.workers.Go(func() { _ = s.server.Serve(listener) })
	return s, nil
}

// maxRefusalWait is how long a closed port may still accept connections.
const maxRefusalWait = time.Second

// Close stops the server and resets its connections, once new ones are refused.
func (s *Server) Close() {
	_ = s.FaultListener.Listener.Close()
	awaitRefusal(s.Addr)
	s.FaultListener.CloseConns()
	s.workers.Wait()
}

// awaitRefusal waits until the port of a closed listener refuses connections. A process that
// another goroutine starts holds a copy of the listener until it executes its program.
func awaitRefusal(addr string) {
	for end := time.Now().Add(maxRefusalWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}
