package peer

import (
	"context"

	"quetzalpier/wire"
)

// Mesh makes and serves calls between nodes; it does not manage membership.
type Mesh struct {
	conns *conns
}

// Open listens on addr and serves calls with handle, and those whose stream goes on with
// handleStream.
func Open(addr string, handle Handler, handleStream StreamHandler) (*Mesh, error) {
	opened, err := listen(addr, handle, handleStream, nil)
	if err != nil {
		return nil, err
	}
	return &Mesh{opened}, nil
}

// Call makes one call to the node at addr and returns when ctx ends. If ctx's
// deadline passes or the call fails, the session is closed, so that an
// unresponsive connection is not reused.
func (m *Mesh) Call(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error) {
	return m.conns.call(ctx, addr, bulk, call)
}

// OpenStream makes a call to the node at addr whose stream goes on after the reply. The
// stream must be closed. ctx bounds the call only.
func (m *Mesh) OpenStream(ctx context.Context, addr string, call *wire.Call) (*Stream, *wire.Reply, error) {
	return m.conns.openStream(ctx, addr, call)
}

// Ping checks whether the node at addr answers, on a connection that is not used for
// large messages.
func (m *Mesh) Ping(ctx context.Context, addr string) error {
	return m.conns.ping(ctx, sessionKey{addr, control})
}

// Ask asks the node at helper whether it reaches the node at addr. unreachable tells it
// that neither this node nor others do.
func (m *Mesh) Ask(ctx context.Context, helper, addr string, unreachable bool) (reached bool, err error) {
	reply, err := m.conns.call(ctx, helper, control, &wire.Call{Kind: &wire.Call_Probe{Probe: &wire.Probe{Peer: addr, Unreachable: unreachable}}})
	return reply.GetProbed().GetAlive(), err
}

// Close closes all sessions and waits for the calls being served.
func (m *Mesh) Close() { m.conns.close() }
