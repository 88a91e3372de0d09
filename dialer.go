package quetzalpier

import (
	"context"
	"net"
)

// Dialer opens connections to upstreams, and tells whether a failed or silent connection is
// the fault of the upstream or of this node's path to it.
type Dialer interface {
	// Dial opens a connection to the upstream with the given ID and address. Unless direct
	// is set, it leads through another node if this node does not reach the upstream. The
	// error is a NoPathError if no node is known to reach it.
	Dial(ctx context.Context, id, addr string, direct bool) (net.Conn, error)
	// Sound reports whether the path of a connection that brings no bytes works, as far as
	// can be told.
	Sound(ctx context.Context, id, addr string, conn net.Conn) bool
	// Refuses reports whether no new connection to the upstream can be opened, by this node
	// nor by another one.
	Refuses(ctx context.Context, id, addr string) bool
}

// TunnelError reports that a connection through another node was broken off by that node or
// on the way to it, which says nothing of the upstream.
type TunnelError struct {
	Helper string
	Err    error
}

// Error implements error.
func (e *TunnelError) Error() string { return "tunnel through " + e.Helper + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TunnelError) Unwrap() error { return e.Err }

// NoPathError reports that this node does not reach an upstream, nor any other node that it
// asked. Nothing was sent.
type NoPathError struct {
	Upstream string
	// Partitioned is set if this node reaches no upstream of the pool.
	Partitioned bool
}

// Error implements error.
func (e *NoPathError) Error() string {
	if e.Partitioned {
		return "no path to upstream " + e.Upstream + ", nor to any other of its pool"
	}
	return "no path to upstream " + e.Upstream
}
