package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier/board"
	"quetzalpier/meter"
	"quetzalpier/peer"
	"quetzalpier/reach"
	"quetzalpier/sleep"
	"quetzalpier/wire"
)

const (
	// serveDialTimeout limits a connection that is opened for another node, which asks a
	// further one soon.
	serveDialTimeout = 250 * time.Millisecond
	// maxTunnels limits the tunnels that a node serves: each holds two buffers.
	maxTunnels  = 512
	bufferBytes = 8 << 10
	// activeTime is how long after its last byte a tunnel counts as in use: longer than the
	// usual pause between two events of a stream.
	activeTime = time.Second
	// drainInterval is the time between two rounds that close idle tunnels.
	drainInterval = 50 * time.Millisecond
)

// Server opens connections to upstreams for other nodes. It opens them itself, never
// through a further node.
type Server struct {
	Board *board.Board
	Paths *reach.Recorder
	Meter *meter.Meter
	Log   zerolog.Logger
	// Dial opens a connection of this node's own.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	draining atomic.Bool
	mu       sync.Mutex
	open     map[*served]struct{}
}

// served is a tunnel of another node.
type served struct {
	upstream string
	stream   *peer.Stream
	conn     net.Conn
	// awaiting is set while the last bytes went to the upstream, and usedAt when any were
	// passed on, in Unix nanoseconds.
	awaiting atomic.Bool
	usedAt   atomic.Int64
	// ended is set once one of the nodes has ended the tunnel, and not the upstream.
	ended atomic.Bool
}

// Drain refuses further tunnels, and closes the open ones when they are idle. It returns
// when none is left or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	for s.closeIdle(time.Now()) > 0 && sleep.For(ctx, drainInterval) {
		continue
	}
}

// closeIdle closes the idle tunnels and returns how many are open.
func (s *Server) closeIdle(now time.Time) (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.open {
		if !t.active(now) {
			t.ended.Store(true)
			_ = t.conn.Close()
		}
	}
	return len(s.open)
}

// active reports whether a response is awaited or arriving over the tunnel.
func (t *served) active(now time.Time) bool {
	return t.awaiting.Load() || now.Sub(time.Unix(0, t.usedAt.Load())) < activeTime
}

// Serve serves the call of another node for a tunnel. It returns false if the call is none.
func (s *Server) Serve(ctx context.Context, call *wire.Call, stream *peer.Stream) bool {
	request := call.GetTunnel()
	if request == nil {
		return false
	}
	conn, opened := s.dial(ctx, request.GetUpstream())
	t := &served{upstream: request.GetUpstream(), stream: stream, conn: conn}
	if conn != nil && !s.add(t) {
		_ = conn.Close()
		conn, opened = nil, &wire.Opened{Outcome: wire.Opened_BUSY, Text: "too many tunnels"}
	}
	s.Meter.Tunnels.WithLabelValues("served", opened.GetOutcome().String()).Inc()
	stream.SetWriteDeadline(time.Now().Add(serveDialTimeout))
	err := stream.Send(&wire.Reply{Kind: &wire.Reply_Opened{Opened: opened}})
	stream.SetWriteDeadline(time.Time{})
	if err != nil {
		s.Log.Debug().Str("upstream", t.upstream).Err(err).Msg("node that asked for a tunnel has gone")
	}
	switch {
	case conn == nil:
		return true
	case err == nil:
		t.run()
	}
	_ = conn.Close()
	s.remove(t)
	return true
}

// dial opens the connection to the upstream.
func (s *Server) dial(ctx context.Context, id string) (net.Conn, *wire.Opened) {
	addr, found, lost, partitioned := "", false, false, false
	s.Board.Do(func(state *board.State) {
		u := state.Upstreams[id]
		if u == nil {
			return
		}
		found, addr = true, u.VM.Addr
		lost = u.Path.Lost()
		partitioned = reach.Partitioned(state, u.VM.Pool)
	})
	switch {
	case s.draining.Load():
		return nil, &wire.Opened{Outcome: wire.Opened_BUSY, Text: "the node is stopping"}
	case !found:
		return nil, &wire.Opened{Outcome: wire.Opened_UNREACHED, Text: "the upstream is not listed"}
	case lost && partitioned:
		return nil, &wire.Opened{Outcome: wire.Opened_PARTITIONED, Text: "the node reaches no upstream of the pool"}
	case lost:
		return nil, &wire.Opened{Outcome: wire.Opened_UNREACHED, Text: "the node does not reach the upstream"}
	}
	ctx, cancel := context.WithTimeout(ctx, serveDialTimeout)
	defer cancel()
	conn, err := s.Dial(ctx, addr)
	switch {
	case err == nil:
		s.Paths.Reached(id, time.Now())
		return conn, &wire.Opened{Outcome: wire.Opened_OPEN}
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, &wire.Opened{Outcome: wire.Opened_REFUSED, Text: err.Error()}
	}
	s.Paths.Failed(id, err, time.Now())
	return nil, &wire.Opened{Outcome: wire.Opened_UNREACHED, Text: err.Error()}
}

// add adds a tunnel. It returns false if there are too many.
func (s *Server) add(t *served) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*served]struct{}{}
	}
	if len(s.open) >= maxTunnels {
		return false
	}
	t.usedAt.Store(time.Now().UnixNano())
	s.open[t] = struct{}{}
	return true
}

func (s *Server) remove(t *served) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, t)
}

// run passes the bytes of both directions on until one of them ends.
func (t *served) run() {
	var directions conc.WaitGroup
	directions.Go(t.passRequests)
	directions.Go(t.passResponses)
	directions.Wait()
}

// passRequests passes the bytes of the other node on. If that node closes the connection,
// so does this one; if it vanishes or breaks off, the connection is reset.
func (t *served) passRequests() {
	for {
		piece := &wire.Piece{}
		err := t.stream.Receive(piece)
		if err != nil {
			t.ended.Store(true)
		} else if len(piece.GetData()) > 0 {
			t.awaiting.Store(true)
			t.usedAt.Store(time.Now().UnixNano())
			_, err = t.conn.Write(piece.GetData())
		}
		if err != nil {
			abort(t.conn)
			return
		}
		if piece.GetEnd() != wire.Piece_NONE {
			_ = t.conn.Close()
			return
		}
	}
}

// passResponses passes the bytes of the upstream on, and how they ended. A tunnel that a node
// has ended is only closed, since that says nothing of the upstream.
func (t *served) passResponses() {
	defer func() {
		t.stream.Close()
		// The other node may keep the stream open for a while.
		t.stream.SetReadDeadline(time.Unix(1, 0))
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := t.conn.Read(buffer)
		piece := &wire.Piece{Data: buffer[:n]}
		switch {
		case err != nil && t.ended.Load():
			abort(t.conn)
			return
		case err == io.EOF:
			piece.End = wire.Piece_CLOSED
		case err != nil:
			piece.End = wire.Piece_RESET
		default:
			t.awaiting.Store(false)
			t.usedAt.Store(time.Now().UnixNano())
		}
		if sendErr := t.stream.Send(piece); sendErr != nil || err != nil {
			abort(t.conn)
			return
		}
	}
}

// abort resets a connection.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
