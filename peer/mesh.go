package peer

import (
	"context"

	"quetzalpier/wire"
)

// Mesh carries calls between nodes, without membership of its own.
type Mesh struct {
	conns *conns
}

// Open listens on addr and answers calls with handle.
func Open(addr string, handle Handler) (*Mesh, error) {
	opened, err := listen(addr, handle, nil)
	if err != nil {
		return nil, err
	}
	return &Mesh{opened}, nil
}

// Call makes one call to the node at addr. It ends with ctx, and then closes
// the session, so that one that went silent is not used again.
func (m *Mesh) Call(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error) {
	return m.conns.call(ctx, addr, bulk, call)
}

// Close ends all sessions and waits for the calls in progress.
func (m *Mesh) Close() { m.conns.close() }
