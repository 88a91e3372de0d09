// Package node assembles the roles of one node and runs them until it is drained.
package node

import (
	"context"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/claim"
	"quetzalpier/conf"
	"quetzalpier/engine"
	"quetzalpier/gate"
	"quetzalpier/hash"
	"quetzalpier/lease"
	"quetzalpier/link"
	"quetzalpier/logcap"
	"quetzalpier/meter"
	"quetzalpier/owner"
	"quetzalpier/peer"
	"quetzalpier/pilot"
	"quetzalpier/platform"
	"quetzalpier/send"
	"quetzalpier/setup"
	"quetzalpier/sleep"
	"quetzalpier/store"
)

// Version is the version of the program.
const Version = "0.1.0"

const (
	// strikeTimeout limits how long the response after a crash waits for the
	// strikes to be broadcast.
	strikeTimeout = 500 * time.Millisecond
	// leftGossipTime is how long a stopping node gossips that it has left.
	leftGossipTime = 300 * time.Millisecond
	flushTimeout   = 3 * time.Second
)

// Node is a running node.
type Node struct {
	Settings setup.Node
	Board    *board.Board
	Meter    *meter.Meter
	Log      zerolog.Logger

	kv         quetzalpier.KV
	peers      *peer.Node
	watcher    *conf.Watcher
	claims     *claim.Registry
	links      *link.Links
	sender     *send.Sender
	owner      *owner.Owner
	replicator *store.Replicator
	store      *store.Store
	pilot      *pilot.Pilot
	gate       *gate.Gate

	drain     chan struct{}
	drainOnce sync.Once
	killed    chan struct{}
	killOnce  sync.Once
	workers   conc.WaitGroup
	pilots    conc.WaitGroup
}

// New creates a node and listens on its addresses. It logs to out.
func New(settings setup.Node, out io.Writer) (*Node, error) {
	level, err := zerolog.ParseLevel(settings.Log)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	n := &Node{
		Settings: settings, Meter: meter.New(), drain: make(chan struct{}), killed: make(chan struct{}),
		Log: zerolog.New(out).Level(level).Hook(&logcap.Limiter{}).With().Timestamp().Str("node", settings.Name).Logger(),
		kv:  platform.NewKV(settings.Platform.KV),
	}
	n.Board = board.New(board.Member{
		ID: settings.Name, HTTP: settings.HTTP, Domain: settings.Domain, Region: settings.Region, Roles: settings.Roles,
		// A restarted node needs a higher incarnation than its last run, so that
		// it overrides the state that peers remember.
		Incarnation: uint64(time.Now().UnixMilli()),
	})
	if err := n.open(); err != nil {
		n.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) open() error {
	seed := hash.Text(n.Settings.Name + time.Now().String())
	n.watcher = &conf.Watcher{Board: n.Board, KV: n.kv, VMs: platform.NewVMs(n.Settings.Platform.VMs), Log: n.Log, Seed: seed, OnUpdate: func() { n.peers.Broadcast() }}
	n.claims = &claim.Registry{KV: n.kv, Node: n.Settings.Name, RequestClaim: n.queryClaimHolder, Log: n.Log, Token: uuid.NewString}
	n.links = link.New()
	n.sender = send.New(n.Board, n.links, n.Meter, seed)
	n.sender.OnStrikes = n.broadcastStrikes
	if n.hasRole(setup.RoleStore) {
		opened, err := store.Open(n.Settings.DataDir)
		if err != nil {
			return err
		}
		n.store = opened
	}
	n.replicator = store.NewReplicator(n.Board, n, n.Log)
	engines := &engine.Client{Links: n.links}
	n.owner = owner.New(n.Board, n.sender, engines, n.replicator, n.Meter, n.Log, func() { n.peers.Broadcast() })
	if n.hasRole(setup.RolePilot) {
		n.pilot = &pilot.Pilot{
			Board: n.Board, Lease: &lease.Holder{KV: n.kv, Node: n.Settings.Name}, Orders: platform.NewOrders(),
			Meter: n.Meter, Log: n.Log, LoadsPerSecond: n.Settings.Platform.LoadRate, OnLeaving: n.broadcastLeaving,
			PlatformUnavailable: func(now time.Time) bool { return n.peers.PlatformUnavailable(now) },
		}
	}
	if err := n.openPeers(seed); err != nil {
		return err
	}
	if !n.hasRole(setup.RoleGate) {
		return nil
	}
	return n.openGate(engines)
}

func (n *Node) openPeers(seed uint64) error {
	peers, err := peer.New(peer.Options{
		Board: n.Board, Listen: n.Settings.Peer, Seeds: n.seeds(), Seed: seed, Log: n.Log,
		CountBytes: n.countControlBytes, Handle: n.handle, PlatformFailed: n.watcher.LastCallFailed,
	})
	if err != nil {
		return err
	}
	n.peers = peers
	n.Board.Do(func(s *board.State) { s.Self.Peer = peers.Addr() })
	return nil
}

func (n *Node) seeds() []string {
	var seeds []string
	for _, seed := range n.Settings.Seeds {
		if seed != n.Settings.Peer {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func (n *Node) openGate(engines *engine.Client) error {
	token, err := readToken(n.Settings.TokenFile)
	if err != nil {
		return err
	}
	opened, err := gate.New(n.Settings.HTTP, gate.Options{
		Board: n.Board, Sender: n.sender, Engine: engines, Links: n.links, Claims: n.claims, KV: n.kv,
		Meter: n.Meter, Log: n.Log, CallOwner: n.callOwner, Broadcast: n.peers.Broadcast, PlatformUnavailable: n.peers.PlatformUnavailable, Drain: n.Drain,
		Token: token, NodesTTL: n.Settings.LookupTTL.D(), ConfigMaxAge: n.Settings.ConfigMaxAge.D(), ServeStale: n.Settings.StalePolicy == "serve",
		MaxWait: n.Settings.Limits.QueueTimeout.D(), MaxBodyBytes: n.Settings.Limits.MaxBodyBytes, Version: Version,
	})
	if err != nil {
		return err
	}
	n.gate = opened
	n.Board.Do(func(s *board.State) { s.Self.HTTP = opened.Addr() })
	return nil
}

func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read token")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", errors.Errorf("token file %s is empty", file)
	}
	return token, nil
}

func (n *Node) hasRole(role string) bool {
	return slices.Contains(n.Settings.Roles, role)
}

// Addr returns the node's HTTP address; it is empty without the gate role.
func (n *Node) Addr() string {
	if n.gate == nil {
		return ""
	}
	return n.gate.Addr()
}

// PeerAddr returns the node's address for other nodes.
func (n *Node) PeerAddr() string { return n.peers.Addr() }

// Drain starts to drain the node, after which Run returns.
func (n *Node) Drain() { n.drainOnce.Do(func() { close(n.drain) }) }

// Kill stops the node at once, like a crash: it hands nothing over and does not
// notify its peers.
func (n *Node) Kill() {
	n.killOnce.Do(func() {
		close(n.killed)
		n.peers.Close()
	})
}

// Run runs the node until ctx ends or Drain is called, then drains and stops it.
// After Kill it returns at once.
func (n *Node) Run(ctx context.Context) {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	pilots, stopPilots := context.WithCancel(work)
	defer stopPilots()
	n.start(work)
	if n.pilot != nil {
		n.pilots.Go(func() { n.pilot.Run(pilots) })
	}
	n.Log.Info().Str("http", n.Addr()).Str("peer", n.PeerAddr()).Msg("node started")
	select {
	case <-ctx.Done():
	case <-n.drain:
	case <-n.killed:
		return
	}
	n.stop(work, stopPilots)
}

func (n *Node) start(ctx context.Context) {
	n.workers.Go(func() { n.peers.Run(ctx) })
	n.workers.Go(func() { n.watcher.WatchConfig(ctx) })
	n.workers.Go(func() { n.watcher.PollVMs(ctx) })
	n.workers.Go(func() { n.claims.Run(ctx) })
	n.workers.Go(func() { n.sender.Run(ctx) })
	n.workers.Go(func() { n.poll(ctx) })
	n.workers.Go(func() { n.updateGauges(ctx) })
}

// stop drains the node: it announces that the node takes no new work, releases
// leases, hands over steps, and keeps serving until cached node lists have expired
// and no request is in flight, or until the drain limit.
func (n *Node) stop(work context.Context, stopPilots context.CancelFunc) {
	n.Log.Info().Msg("draining node")
	n.setState(board.Draining)
	stopPilots()
	n.pilots.Wait()
	handover, cancel := context.WithTimeout(work, n.Settings.Limits.DrainTimeout.D())
	defer cancel()
	n.owner.HandOver(handover, n.sendHandover)
	if n.gate != nil {
		sleep.For(handover, n.Settings.LookupTTL.D())
		if err := n.gate.Close(handover); err != nil {
			n.Log.Warn().Err(err).Msg("failed to shut down HTTP server; requests in flight were aborted")
		}
		n.gate = nil
	}
	flush, cancelFlush := context.WithTimeout(work, flushTimeout)
	defer cancelFlush()
	n.claims.Flush(flush)
	n.setState(board.Left)
	sleep.For(work, leftGossipTime)
	n.Log.Info().Msg("node stopped")
}

func (n *Node) setState(state board.MemberState) {
	n.Board.Update(func(s *board.State) { s.Self.State = state })
	n.peers.BroadcastMember(n.Settings.Name)
}

// Close releases the node's remaining resources. If Run was called, it must have
// returned.
func (n *Node) Close() {
	if n.gate != nil {
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = n.gate.Close(canceled)
	}
	n.owner.Close()
	n.replicator.Close()
	if n.peers != nil {
		n.peers.Close()
	}
	n.workers.Wait()
	n.links.Close()
}
