// Package stand holds the stand-ins for what the service meets: the
// platform's key-value service, VM list and weight store, model engines,
// plain services and trainers. They serve tests, demonstrations and load runs.
package stand

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Listener accepts connections that can be made to fail together.
type Listener struct {
	net.Listener
	// delay is added before each read of a request, as network latency.
	delay time.Duration

	mu    sync.Mutex
	conns map[*faultyConn]struct{}
}

type faultyConn struct {
	net.Conn
	owner  *Listener
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

// Listen opens a TCP address.
func Listen(addr string, delay time.Duration) (*Listener, error) {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: inner, delay: delay, conns: map[*faultyConn]struct{}{}}, nil
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &faultyConn{Conn: conn, owner: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[wrapped] = struct{}{}
	l.mu.Unlock()
	return wrapped, nil
}

// Cut closes every open connection at once.
func (l *Listener) Cut() {
	for _, conn := range l.open() {
		_ = conn.Close()
	}
}

// Silence makes every open connection go silent for good; new ones work.
func (l *Listener) Silence() {
	for _, conn := range l.open() {
		conn.silent.Store(true)
	}
}

func (l *Listener) open() []*faultyConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*faultyConn, 0, len(l.conns))
	for conn := range l.conns {
		conns = append(conns, conn)
	}
	return conns
}

// Read discards what arrives on a silent connection.
func (c *faultyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return n, err
		}
		if !c.silent.Load() {
			time.Sleep(c.owner.delay)
			return n, nil
		}
	}
}

// Write swallows what is written to a silent connection.
func (c *faultyConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection; a silent one stays open towards the peer until
// the listener's own end.
func (c *faultyConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.owner.mu.Lock()
		delete(c.owner.conns, c)
		c.owner.mu.Unlock()
	})
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// Server runs a fasthttp handler on a Listener.
type Server struct {
	Addr   string
	Faults *Listener

	http    *fasthttp.Server
	workers conc.WaitGroup
}

// Serve starts handler on addr; delay is the network latency to it.
func Serve(addr string, delay time.Duration, handler fasthttp.RequestHandler) (*Server, error) {
	listener, err := Listen(addr, delay)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Addr:   listener.Addr().String(),
		Faults: listener,
		http: &fasthttp.Server{
			Handler:               handler,
			NoDefaultServerHeader: true,
			CloseOnShutdown:       true,
			MaxRequestBodySize:    8 << 20,
		},
	}
	s.workers.Go(func() { _ = s.http.Serve(listener) })
	return s, nil
}

// Close stops the server and cuts its connections.
func (s *Server) Close() {
	_ = s.Faults.Listener.Close()
	s.Faults.Cut()
	s.workers.Wait()
}
