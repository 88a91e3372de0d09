package tunnel_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/client"
	"quetzalpier/meter"
	"quetzalpier/peer"
	"quetzalpier/reach"
	"quetzalpier/stand"
	"quetzalpier/tunnel"
	"quetzalpier/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	upstreamID = "u"
	otherID    = "v"
	pool       = "app"
)

// node is a node with its own paths to two upstreams of one pool.
type node struct {
	board  *board.Board
	mesh   *peer.Mesh
	dialer *tunnel.Dialer
	server *tunnel.Server
	addr   string
}

// startNode starts a node that reaches the upstreams at the given addresses.
func startNode(t *testing.T, id, upstream, other string) *node {
	t.Helper()
	addr, err := stand.FreeAddr()
	require.NoError(t, err)
	n := &node{board: board.New(board.Member{ID: id, Peer: addr}), addr: addr}
	n.board.Do(func(s *board.State) {
		s.Self.Domain = id
		s.Members[id] = s.Self
		for upstreamID, addr := range map[string]string{upstreamID: upstream, otherID: other} {
			s.Upstreams[upstreamID] = &board.Upstream{VM: quetzalpier.VM{ID: upstreamID, Pool: pool, Addr: addr}}
		}
	})
	m := meter.New()
	paths := &reach.Recorder{Board: n.board, Log: zerolog.Nop(), Lost: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "lost"}, []string{"pool"})}
	n.server = &tunnel.Server{Board: n.board, Paths: paths, Meter: m, Log: zerolog.Nop(), Dial: client.DialContext}
	n.dialer = tunnel.NewDialer(n.board, 1)
	n.dialer.Paths, n.dialer.Meter, n.dialer.Own = paths, m, client.DialContext
	n.dialer.OpenStream = func(ctx context.Context, addr string, call *wire.Call) (*peer.Stream, *wire.Reply, error) {
		return n.mesh.OpenStream(ctx, addr, call)
	}
	n.mesh, err = peer.Open(addr, func(context.Context, *wire.Call) *wire.Reply { return &wire.Reply{Fault: "no such call"} }, n.server.Serve)
	require.NoError(t, err)
	t.Cleanup(n.mesh.Close)
	return n
}

// knows makes the node list others.
func (n *node) knows(others ...*node) {
	for _, other := range others {
		n.knowsAt(other.id(), other.addr)
	}
}

func (n *node) knowsAt(id, addr string) {
	n.board.Do(func(s *board.State) { s.Members[id] = board.Member{ID: id, Peer: addr, Domain: id} })
}

func (n *node) id() (id string) {
	n.board.Do(func(s *board.State) { id = s.Self.ID })
	return id
}

func (n *node) lost(id string) (lost bool) {
	n.board.Do(func(s *board.State) { lost = s.Upstreams[id].Path.Lost() })
	return lost
}

// waitTime is how long an echo takes to answer "w".
const waitTime = 600 * time.Millisecond

// echo is an upstream that answers each byte with itself, "w" after waitTime, "p" with two that
// are waitTime apart, "r" by a reset and "c" by closing the connection. It tells when each connection was closed.
type echo struct {
	*stand.Port
	closed chan struct{}
}

func startEcho(t *testing.T) *echo {
	t.Helper()
	port, err := stand.OpenPort()
	require.NoError(t, err)
	e := &echo{Port: port, closed: make(chan struct{}, 100)}
	var conns conc.WaitGroup
	conns.Go(func() {
		for {
			conn, err := port.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { e.serve(conn) })
		}
	})
	t.Cleanup(func() {
		port.Close()
		conns.Wait()
	})
	return e
}

func (e *echo) serve(conn net.Conn) {
	defer func() { e.closed <- struct{}{} }()
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 1)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		switch buffer[0] {
		case 'w':
			time.Sleep(waitTime)
		case 'p':
			_, _ = conn.Write(buffer)
			time.Sleep(waitTime)
		case 'r':
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		case 'c':
			return
		}
		if _, err := conn.Write(buffer); err != nil {
			return
		}
	}
}

// partitioned returns an address at which connections hang, or are refused.
func partitioned(t *testing.T, refuse bool) *stand.Port {
	t.Helper()
	port, err := stand.OpenPort()
	require.NoError(t, err)
	t.Cleanup(port.Close)
	if refuse {
		require.NoError(t, port.Refuse())
	} else {
		require.NoError(t, port.Hang())
	}
	return port
}

func dial(t *testing.T, n *node, within time.Duration) (net.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	start := time.Now()
	var addr string
	n.board.Do(func(s *board.State) { addr = s.Upstreams[upstreamID].VM.Addr })
	conn, err := n.dialer.Dial(ctx, upstreamID, addr, false)
	require.Less(t, time.Since(start), within)
	return conn, err
}

// requireThrough requires that a connection leads through the given node and works.
func requireThrough(t *testing.T, n, helper *node, within time.Duration) *tunnel.Conn {
	t.Helper()
	conn, err := dial(t, n, within)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	tunneled, ok := conn.(*tunnel.Conn)
	require.True(t, ok, "the connection is the node's own")
	require.Equal(t, helper.id(), tunneled.Helper())
	requireEcho(t, conn)
	return tunneled
}

func requireEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	got := make([]byte, 1)
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, "x", string(got))
}

func TestDial(t *testing.T) {
	t.Run("the node's own path is used while it works", func(t *testing.T) {
		u := startEcho(t)
		origin, helper := startNode(t, "a", u.Addr, u.Addr), startNode(t, "b", u.Addr, u.Addr)
		origin.knows(helper)
		conn, err := dial(t, origin, 100*time.Millisecond)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		require.IsType(t, &net.TCPConn{}, conn)
	})
	for name, refuse := range map[string]bool{"hangs": false, "refuses": true} {
		t.Run("another node is used if the own path "+name+", and the own one when it is back", func(t *testing.T) {
			u := startEcho(t)
			path := partitioned(t, refuse)
			origin, helper := startNode(t, "a", path.Addr, path.Addr), startNode(t, "b", u.Addr, u.Addr)
			origin.knows(helper)
			requireThrough(t, origin, helper, 350*time.Millisecond)
			require.True(t, origin.lost(upstreamID))
			requireThrough(t, origin, helper, 50*time.Millisecond)
			ctx, cancel := context.WithCancel(t.Context())
			var run conc.WaitGroup
			run.Go(func() { origin.dialer.Run(ctx) })
			defer run.Wait()
			defer cancel()
			require.NoError(t, path.Open())
			require.Eventually(t, func() bool { return !origin.lost(upstreamID) }, 3*time.Second, 20*time.Millisecond)
		})
	}
	t.Run("a process that has gone is refused to all, and no path is lost", func(t *testing.T) {
		gone := partitioned(t, true)
		origin, helper := startNode(t, "a", gone.Addr, gone.Addr), startNode(t, "b", gone.Addr, gone.Addr)
		origin.knows(helper)
		_, err := dial(t, origin, 100*time.Millisecond)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		require.False(t, origin.lost(upstreamID))
	})
}

// The node that is asked first does not help.
func TestDialAsksFurtherNodes(t *testing.T) {
	cases := map[string]func(t *testing.T, u *echo) (addr string){
		"it is partitioned as well": func(t *testing.T, _ *echo) string {
			path := partitioned(t, false)
			return startNode(t, "b", path.Addr, path.Addr).addr
		},
		"it is not there": func(t *testing.T, _ *echo) string {
			return partitioned(t, true).Addr
		},
		"it can't be reached": func(t *testing.T, _ *echo) string {
			return partitioned(t, false).Addr
		},
		"it hangs": func(t *testing.T, _ *echo) string {
			port, err := stand.OpenPort()
			require.NoError(t, err)
			t.Cleanup(port.Close)
			return port.Addr
		},
		"it is stopping": func(t *testing.T, u *echo) string {
			helper := startNode(t, "b", u.Addr, u.Addr)
			helper.server.Drain(t.Context())
			return helper.addr
		},
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			u := startEcho(t)
			path := partitioned(t, false)
			origin, second := startNode(t, "a", path.Addr, path.Addr), startNode(t, "c", u.Addr, u.Addr)
			origin.knowsAt("b", first(t, u))
			origin.knows(second)
			// The node used last is asked first.
			origin.board.Do(func(s *board.State) { reach.RecordHelper(s, "b", time.Now()) })
			requireThrough(t, origin, second, 450*time.Millisecond)
			requireThrough(t, origin, second, 50*time.Millisecond)
		})
	}
}

func TestNoPath(t *testing.T) {
	for name, refuse := range map[string]bool{"hang": false, "are refused": true} {
		t.Run("connections of all nodes "+name+", and requests are refused at once", func(t *testing.T) {
			path := partitioned(t, refuse)
			var nodes []*node
			for _, id := range []string{"a", "b", "c"} {
				nodes = append(nodes, startNode(t, id, path.Addr, path.Addr))
			}
			for _, n := range nodes {
				n.knows(nodes...)
			}
			_, err := dial(t, nodes[0], 700*time.Millisecond)
			require.Error(t, err)
			if refuse {
				return
			}
			require.Eventually(t, func() bool {
				_, err = dial(t, nodes[0], time.Second)
				var noPath *quetzalpier.NoPathError
				return errors.As(err, &noPath)
			}, 3*time.Second, 10*time.Millisecond)
			_, err = dial(t, nodes[0], 20*time.Millisecond)
			require.Error(t, err)
		})
	}
}

func TestConn(t *testing.T) {
	var origin *node
	open := func(t *testing.T) (conn *tunnel.Conn, helper *node, u *echo) {
		t.Helper()
		u = startEcho(t)
		path := partitioned(t, true)
		origin = startNode(t, "a", path.Addr, path.Addr)
		helper = startNode(t, "b", u.Addr, u.Addr)
		origin.knows(helper)
		return requireThrough(t, origin, helper, 350*time.Millisecond), helper, u
	}
	read := func(t *testing.T, conn *tunnel.Conn, want error) {
		t.Helper()
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
		_, err := conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, want)
	}
	t.Run("the end of a connection that the upstream closes is seen", func(t *testing.T) {
		conn, _, _ := open(t)
		_, err := conn.Write([]byte("c"))
		require.NoError(t, err)
		read(t, conn, io.EOF)
		require.False(t, conn.Quiet())
	})
	t.Run("a reset does not look like an end", func(t *testing.T) {
		conn, _, _ := open(t)
		_, err := conn.Write([]byte("r"))
		require.NoError(t, err)
		read(t, conn, syscall.ECONNRESET)
	})
	t.Run("the loss of the other node does not look like an end", func(t *testing.T) {
		conn, helper, _ := open(t)
		helper.mesh.Close()
		var broke *quetzalpier.TunnelError
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
		_, err := conn.Read(make([]byte, 1))
		require.ErrorAs(t, err, &broke)
		require.NotErrorIs(t, err, io.EOF)
	})
	t.Run("a connection with unread bytes is not quiet", func(t *testing.T) {
		conn, _, _ := open(t)
		require.True(t, conn.Quiet())
		_, err := conn.Write([]byte("x"))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return !conn.Quiet() }, time.Second, time.Millisecond)
	})
	for name, abort := range map[string]bool{"closes": false, "aborts": true} {
		t.Run("the upstream learns at once that the caller "+name+" the connection", func(t *testing.T) {
			conn, _, u := open(t)
			if abort {
				require.NoError(t, conn.SetLinger(0))
			}
			require.NoError(t, conn.Close())
			select {
			case <-u.closed:
			case <-time.After(200 * time.Millisecond):
				require.Fail(t, "the upstream's connection is still open")
			}
		})
	}
	t.Run("a connection through a node that has failed since is not reused", func(t *testing.T) {
		conn, helper, _ := open(t)
		require.True(t, conn.Quiet())
		origin.board.Do(func(s *board.State) { reach.AvoidHelper(s, helper.id(), time.Now()) })
		require.False(t, conn.Quiet())
	})
	t.Run("a planned stop of the other node waits for a response that pauses", func(t *testing.T) {
		conn, helper, _ := open(t)
		_, err := conn.Write([]byte("p"))
		require.NoError(t, err)
		got := make([]byte, 1)
		_, err = io.ReadFull(conn, got)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 4*waitTime)
		defer cancel()
		helper.server.Drain(ctx)
		require.NoError(t, ctx.Err())
		_, err = io.ReadFull(conn, got)
		require.NoError(t, err)
	})
	t.Run("a planned stop of the other node waits for the response and closes idle connections", func(t *testing.T) {
		conn, helper, _ := open(t)
		_, err := conn.Write([]byte("w"))
		require.NoError(t, err)
		time.Sleep(waitTime / 2)
		ctx, cancel := context.WithTimeout(t.Context(), 3*waitTime)
		defer cancel()
		start := time.Now()
		helper.server.Drain(ctx)
		require.NoError(t, ctx.Err())
		require.Greater(t, time.Since(start), waitTime/2)
		got := make([]byte, 1)
		_, err = io.ReadFull(conn, got)
		require.NoError(t, err)
		require.Equal(t, "w", string(got))
		require.False(t, conn.Quiet())
	})
}

func TestSound(t *testing.T) {
	t.Run("a silent connection over a lost path, and the other paths are checked", func(t *testing.T) {
		u := startEcho(t)
		path := partitioned(t, false)
		origin, helper := startNode(t, "a", path.Addr, path.Addr), startNode(t, "b", u.Addr, u.Addr)
		origin.knows(helper)
		require.False(t, origin.dialer.Sound(t.Context(), upstreamID, path.Addr, nil))
		require.Eventually(t, func() bool { return origin.lost(otherID) }, time.Second, 10*time.Millisecond)
	})
	t.Run("a silent connection of an upstream that accepts others", func(t *testing.T) {
		u := startEcho(t)
		origin := startNode(t, "a", u.Addr, u.Addr)
		require.True(t, origin.dialer.Sound(t.Context(), upstreamID, u.Addr, nil))
		require.False(t, origin.lost(upstreamID))
	})
	t.Run("a connection through a node that has gone", func(t *testing.T) {
		u := startEcho(t)
		path := partitioned(t, true)
		origin, helper := startNode(t, "a", path.Addr, path.Addr), startNode(t, "b", u.Addr, u.Addr)
		origin.knows(helper)
		conn := requireThrough(t, origin, helper, 350*time.Millisecond)
		require.True(t, origin.dialer.Sound(t.Context(), upstreamID, path.Addr, conn))
		time.Sleep(600 * time.Millisecond)
		helper.mesh.Close()
		require.False(t, origin.dialer.Sound(t.Context(), upstreamID, path.Addr, conn))
	})
}

func TestRefuses(t *testing.T) {
	refuses := func(t *testing.T, own string, others ...string) bool {
		t.Helper()
		origin := startNode(t, "a", own, own)
		for i, other := range others {
			origin.knows(startNode(t, string(rune('b'+i)), other, other))
		}
		return origin.dialer.Refuses(t.Context(), upstreamID, own)
	}
	t.Run("a process that has gone, by the word of another node", func(t *testing.T) {
		gone := partitioned(t, true).Addr
		require.True(t, refuses(t, gone, gone))
	})
	t.Run("a process that has gone, without other nodes", func(t *testing.T) {
		require.True(t, refuses(t, partitioned(t, true).Addr))
	})
	t.Run("a VM that hangs, by the word of another node", func(t *testing.T) {
		hangs := partitioned(t, false).Addr
		require.True(t, refuses(t, hangs, hangs))
	})
	t.Run("an upstream that another node reaches", func(t *testing.T) {
		require.False(t, refuses(t, partitioned(t, true).Addr, startEcho(t).Addr))
	})
	t.Run("an upstream that one of several nodes reaches", func(t *testing.T) {
		gone := partitioned(t, true).Addr
		require.False(t, refuses(t, gone, gone, startEcho(t).Addr, gone))
	})
	t.Run("no other node answers", func(t *testing.T) {
		gone := partitioned(t, true).Addr
		origin := startNode(t, "a", gone, gone)
		origin.knowsAt("b", gone)
		require.False(t, origin.dialer.Refuses(t.Context(), upstreamID, gone))
	})
}

// TestCallerGoneWhileDialing guards against a panic of the node that opens the connection.
func TestCallerGoneWhileDialing(t *testing.T) {
	u := startEcho(t)
	path := partitioned(t, true)
	origin, helper := startNode(t, "a", path.Addr, path.Addr), startNode(t, "b", u.Addr, u.Addr)
	origin.knows(helper)
	dialing := make(chan struct{})
	helper.server.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		close(dialing)
		time.Sleep(100 * time.Millisecond)
		return client.DialContext(ctx, addr)
	}
	var call conc.WaitGroup
	call.Go(func() {
		_, err := origin.dialer.Dial(t.Context(), upstreamID, path.Addr, false)
		require.Error(t, err)
	})
	<-dialing
	origin.mesh.Close()
	call.Wait()
	select {
	case <-u.closed:
	case <-time.After(time.Second):
		require.Fail(t, "the connection to the upstream is still open")
	}
}

// A node that has lost its path says so at once, also when it is due to try it again.
func TestServeOverLostPath(t *testing.T) {
	path := partitioned(t, false)
	origin, helper := startNode(t, "a", path.Addr, path.Addr), startNode(t, "b", path.Addr, path.Addr)
	origin.knows(helper)
	long := time.Now().Add(-time.Hour)
	for _, n := range []*node{origin, helper} {
		n.board.Do(func(s *board.State) {
			reach.RecordLost(s, upstreamID, long)
			reach.RecordLost(s, otherID, long)
		})
	}
	_, err := dial(t, origin, 100*time.Millisecond)
	var noPath *quetzalpier.NoPathError
	require.ErrorAs(t, err, &noPath)
	require.True(t, noPath.Partitioned)
}
