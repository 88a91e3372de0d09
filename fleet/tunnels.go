package fleet

import (
	"context"

	"quetzalpier/client"
	"quetzalpier/peer"
	"quetzalpier/reach"
	"quetzalpier/tunnel"
	"quetzalpier/wire"
)

// openTunnels prepares the connections to upstreams through other nodes, and those that
// this node opens for others.
func (n *Node) openTunnels(seed uint64) {
	paths := &reach.Recorder{Board: n.Board, Log: n.Log, Lost: n.Meter.LostPaths}
	n.dialer = tunnel.NewDialer(n.Board, seed)
	n.dialer.Paths, n.dialer.Meter, n.dialer.Own = paths, n.Meter, client.DialContext
	n.dialer.OpenStream = func(ctx context.Context, addr string, call *wire.Call) (*peer.Stream, *wire.Reply, error) {
		return n.mesh.OpenStream(ctx, addr, call)
	}
	n.tunnels = &tunnel.Server{Board: n.Board, Paths: paths, Meter: n.Meter, Log: n.Log, Dial: client.DialContext}
	n.dialer.OnLost = n.links.CloseIdle
	n.links.Dialer = n.dialer
}
