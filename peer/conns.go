package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/encoding/protodelim"

	"quetzalpier/client"
	"quetzalpier/wire"
)

const (
	dialTimeout         = time.Second
	writeTimeout        = 2 * time.Second
	sessionIdleTimeout  = 45 * time.Second
	streamTimeout       = 2 * time.Minute
	maxMessageBytes     = 32 << 20
	streamBufferBytes   = 4 << 10
	maxAcceptedSessions = 1024
)

// lane is a traffic class with its own connection. Control and bulk traffic and tunnels
// are separate, so that a large message delays neither a heartbeat nor a request.
type lane byte

const (
	control lane = 'c'
	bulk    lane = 'b'
	tunnel  lane = 't'
)

// ByteCounter is called with the bytes of control traffic received and sent.
type ByteCounter func(received, sent int)

// Handler serves calls of other nodes.
type Handler func(ctx context.Context, call *wire.Call) *wire.Reply

// StreamHandler serves a call whose stream goes on after the reply, which it sends itself.
// It returns false if the call is no such one.
type StreamHandler func(ctx context.Context, call *wire.Call, stream *Stream) bool

// conns holds yamux sessions to other nodes, dialed on demand.
type conns struct {
	handle Handler
	// handleStream may be nil.
	handleStream StreamHandler
	count        ByteCounter

	mu       sync.Mutex
	sessions map[sessionKey]*session
	// retired are the sessions that get no new calls, and close with the last call
	// in progress.
	retired  map[*session]struct{}
	accepted map[*muxSession]struct{}
	workers  conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
}

type sessionKey struct {
	addr string
	lane lane
}

type session struct {
	mux         *muxSession
	lastUsed    time.Time
	activeCalls int
}

func listen(addr string, handle Handler, handleStream StreamHandler, count ByteCounter) (*conns, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &conns{
		handle: handle, handleStream: handleStream, count: count, listener: listener, ctx: ctx, cancel: cancel,
		sessions: map[sessionKey]*session{},
		retired:  map[*session]struct{}{},
		accepted: map[*muxSession]struct{}{},
	}
	c.workers.Go(c.accept)
	return c, nil
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = writeTimeout
	cfg.StreamCloseTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// call makes one call. If it fails other than by cancellation of ctx, the next call
// opens a new session. A call without an answer in time does not end the other
// calls of its session, since only that call may be slow.
func (c *conns) call(ctx context.Context, addr string, l lane, call *wire.Call) (*wire.Reply, error) {
	key := sessionKey{addr, l}
	s, err := c.session(ctx, key)
	if err != nil {
		return nil, err
	}
	defer c.release(s)
	reply, err := roundTrip(ctx, s.mux, call)
	if err != nil {
		switch {
		case ctx.Err() == nil:
			c.discard(key, s)
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			c.retire(key, s)
		}
		return nil, errors.Wrapf(err, "call %s", addr)
	}
	if reply.GetFault() != "" {
		return nil, &FaultError{Addr: addr, Fault: reply.GetFault()}
	}
	return reply, nil
}

// ping checks whether the node of a session answers. It fails if ctx ends before, and
// the next ping then opens a new session.
func (c *conns) ping(ctx context.Context, key sessionKey) error {
	s, err := c.session(ctx, key)
	if err != nil {
		return err
	}
	defer c.release(s)
	answered := make(chan error, 1)
	c.workers.Go(func() {
		_, err := s.mux.Ping()
		answered <- err
	})
	select {
	case err = <-answered:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		c.retire(key, s)
	}
	return errors.Wrapf(err, "ping %s", key.addr)
}

// FaultError is the error that another node returned for a call.
type FaultError struct {
	Addr  string
	Fault string
}

// Error implements error.
func (e *FaultError) Error() string { return e.Addr + ": " + e.Fault }

func roundTrip(ctx context.Context, mux *muxSession, call *wire.Call) (*wire.Reply, error) {
	stream, err := mux.OpenStream()
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	mux.conn.add(stream)
	defer mux.conn.remove(stream)
	stop := context.AfterFunc(ctx, func() { expire(stream) })
	defer stop()
	if err := sendMessage(stream, call); err != nil {
		return nil, err
	}
	reply := &wire.Reply{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err := options.UnmarshalFrom(bufio.NewReaderSize(stream, streamBufferBytes), reply); err != nil {
		return nil, err
	}
	return reply, nil
}

func (c *conns) session(ctx context.Context, key sessionKey) (*session, error) {
	if s := c.existingSession(key); s != nil {
		return s, nil
	}
	timeout := dialTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	conn, err := client.Dial(key.addr, timeout)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	if _, err := conn.Write([]byte{byte(key.lane)}); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "send lane to peer")
	}
	mux, err := newMuxSession(c.counted(conn, key.lane), yamux.Client)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "open session")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.sessions[key]; old != nil && !old.mux.IsClosed() {
		_ = mux.Close()
		old.activeCalls++
		return old, nil
	}
	s := &session{mux: mux, lastUsed: time.Now(), activeCalls: 1}
	c.sessions[key] = s
	return s, nil
}

func (c *conns) existingSession(key sessionKey) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sessions[key]
	if s == nil || s.mux.IsClosed() {
		return nil
	}
	s.lastUsed = time.Now()
	s.activeCalls++
	return s
}

func (c *conns) release(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.activeCalls--
	s.lastUsed = time.Now()
	if _, retired := c.retired[s]; retired && s.activeCalls == 0 && c.ctx.Err() == nil {
		delete(c.retired, s)
		c.closeSession(s)
	}
}

// retire takes a session out of use without ending its other calls.
func (c *conns) retire(key sessionKey, s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[key] == s {
		delete(c.sessions, key)
		c.retired[s] = struct{}{}
	}
}

// closeSession closes a session without waiting, since closing takes until the last
// write to the socket has returned. The caller holds the lock and has checked that
// conns is not being closed.
func (c *conns) closeSession(s *session) { c.workers.Go(func() { _ = s.mux.Close() }) }

// discard closes a session that failed.
func (c *conns) discard(key sessionKey, s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		// close takes care of all sessions.
		return
	}
	if c.sessions[key] == s {
		delete(c.sessions, key)
	}
	delete(c.retired, s)
	c.closeSession(s)
}

// prune closes sessions that have been idle for sessionIdleTimeout.
func (c *conns) prune(now time.Time) {
	c.mu.Lock()
	var idle []*session
	for key, s := range c.sessions {
		if s.mux.IsClosed() || (s.activeCalls == 0 && now.Sub(s.lastUsed) > sessionIdleTimeout) {
			delete(c.sessions, key)
			idle = append(idle, s)
		}
	}
	c.mu.Unlock()
	for _, s := range idle {
		_ = s.mux.Close()
	}
}

func (c *conns) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.workers.Go(func() { c.serveConn(conn) })
	}
}

func (c *conns) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var laneByte [1]byte
	_ = conn.SetReadDeadline(time.Now().Add(dialTimeout))
	if _, err := io.ReadFull(conn, laneByte[:]); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	mux, err := newMuxSession(c.counted(conn, lane(laneByte[0])), yamux.Server)
	if err != nil {
		return
	}
	if !c.register(mux) {
		_ = mux.Close()
		return
	}
	defer c.closeAccepted(mux)
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		c.workers.Go(func() { c.serveStream(mux, stream) })
	}
}

func (c *conns) register(mux *muxSession) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil || len(c.accepted) >= maxAcceptedSessions {
		return false
	}
	c.accepted[mux] = struct{}{}
	return true
}

func (c *conns) closeAccepted(mux *muxSession) {
	c.mu.Lock()
	delete(c.accepted, mux)
	c.mu.Unlock()
	_ = mux.Close()
}

func (c *conns) serveStream(mux *muxSession, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(streamTimeout))
	mux.conn.add(stream)
	defer mux.conn.remove(stream)
	call := &wire.Call{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	reader := bufio.NewReaderSize(stream, streamBufferBytes)
	if err := options.UnmarshalFrom(reader, call); err != nil {
		return
	}
	if c.handleStream != nil {
		open := newStream(mux, stream, reader, func() {})
		open.SetReadDeadline(time.Time{})
		if c.handleStream(c.ctx, call, open) {
			open.Close()
			return
		}
	}
	reply := c.handle(c.ctx, call)
	_ = stream.SetWriteDeadline(time.Now().Add(streamTimeout))
	// The new deadline may have replaced the one that ends a closed session's
	// streams.
	if mux.IsClosed() {
		return
	}
	_ = sendMessage(stream, reply)
}

func (c *conns) close() {
	c.cancel()
	_ = c.listener.Close()
	c.mu.Lock()
	var open []*muxSession
	for _, s := range c.sessions {
		open = append(open, s.mux)
	}
	for s := range c.retired {
		open = append(open, s.mux)
	}
	for mux := range c.accepted {
		open = append(open, mux)
	}
	c.mu.Unlock()
	for _, mux := range open {
		_ = mux.Close()
	}
	c.workers.Wait()
}

// tcpOverhead is the size of the IP and TCP headers of one segment.
const tcpOverhead = 52

type countedConn struct {
	net.Conn
	count ByteCounter
}

func (c *conns) counted(conn net.Conn, l lane) net.Conn {
	if l != control || c.count == nil {
		return conn
	}
	return &countedConn{conn, c.count}
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n+tcpOverhead, 0)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(0, n+tcpOverhead)
	return n, err
}
