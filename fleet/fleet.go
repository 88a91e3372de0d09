// Package fleet puts one node on the users' platform together: what it learns
// from the platform's store, what it serves, and its planned stop.
package fleet

import (
	"context"
	"io"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/entry"
	"quetzalpier/hash"
	"quetzalpier/keep"
	"quetzalpier/lease"
	"quetzalpier/link"
	"quetzalpier/meter"
	"quetzalpier/mirror"
	"quetzalpier/peer"
	"quetzalpier/platform"
	"quetzalpier/relay"
	"quetzalpier/runner"
	"quetzalpier/send"
	"quetzalpier/setup"
	"quetzalpier/vault"
)

const (
	// leaseLife bounds how long a dead owner of a pool is believed to be alive;
	// renewals come often enough to outlast a slow store, and one of which the
	// answer is lost.
	leaseLife   = 1200 * time.Millisecond
	leaseEvery  = 300 * time.Millisecond
	leaseMargin = 200 * time.Millisecond
	// restLife and restEvery are those of nodes that own no pool: there are many
	// of them, and each renewal is a call. One renewal may be lost.
	restLife  = 8 * time.Second
	restEvery = 3600 * time.Millisecond
	// watchWait is how long one watch waits; the platform allows 30 s. Whether
	// the connections still work shows in the lease's renewals.
	watchWait = 25 * time.Second
	// workersGap is the least time between two watches of the upstreams, whose
	// entries change with every heartbeat. News of them must be in force in two
	// seconds.
	workersGap = 900 * time.Millisecond
	// nodesGap is the same for the nodes, which come and go in bursts.
	nodesGap = 250 * time.Millisecond
	// logLines bounds the lines that wait to be written; more are dropped and
	// counted.
	logLines = 4096
	// memoryShare is the share of the process's memory that the heap may take
	// before the collector works harder.
	memoryShare = 0.7
	// closeLead is the time before the end by force in which the last requests
	// are cut.
	closeLead = 700 * time.Millisecond
	// stayEvery is the time between two looks at whether other fronts are back.
	stayEvery = 100 * time.Millisecond
	// stayLead is the time that requests in flight are left with after that.
	stayLead = 2 * time.Second
	// keptAnswers is how many times as long as asked some clients keep an
	// answer to where to connect.
	keptAnswers = 3
)

// Node is a node on the users' platform.
type Node struct {
	Settings setup.Serve
	Board    *board.Board
	Meter    *meter.Meter
	Log      zerolog.Logger

	kv     *relay.KV
	lease  *lease.Holder
	mesh   *peer.Mesh
	links  *link.Links
	sender *send.Sender
	runner *runner.Runner
	entry  *entry.Entry
	keeper *keep.Keeper
	vault  *vault.Vault
	// nodes and workers mirror the lists of nodes and of upstreams, owners those
	// of the pools on nodes that may become one, config the configuration,
	// versions what trainers name and retired which nodes are to be emptied.
	nodes    *mirror.Mirror
	owners   *mirror.Mirror
	workers  *mirror.Mirror
	config   *mirror.Mirror
	versions *mirror.Mirror
	retired  *mirror.Mirror
	vms      *vms

	born    time.Time
	running conc.WaitGroup
	logs    io.Closer
}

// New opens a node's addresses. Logs go to out.
func New(settings setup.Serve, out io.Writer) (*Node, error) {
	level, err := zerolog.ParseLevel(settings.Log)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	n := &Node{Settings: settings, Meter: meter.New(), born: time.Now()}
	n.openLog(out, level)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory<<20)))
	n.Board = board.New(board.Member{
		ID: settings.Name, Peer: settings.Peer, HTTP: settings.Front, Domain: settings.Domain, Region: settings.Region,
		Roles: []string{settings.Class},
	})
	if err := n.open(); err != nil {
		_ = n.logs.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) openLog(out io.Writer, level zerolog.Level) {
	dropped := func(lines int) { n.Meter.Dropped.Add(float64(lines)) }
	writer := diode.NewWriter(out, logLines, 0, dropped)
	n.logs = writer
	n.Log = zerolog.New(writer).Level(level).With().Timestamp().Str("node", n.Settings.Name).Logger()
}

func (n *Node) open() error {
	seed := hash.Text(n.Settings.Name + time.Now().String())
	direct := platform.NewKV(n.Settings.KV)
	n.kv = &relay.KV{Direct: direct, Peers: n.peers, Call: n.call, Reset: direct.Reset, Log: n.Log}
	n.lease = &lease.Holder{
		KV: n.kv, Node: n.Settings.Name, Prefix: vault.Owners, Life: leaseLife, Every: leaseEvery, Margin: leaseMargin,
		RestLife: restLife, RestEvery: restEvery,
	}
	n.kv.WritesAwaited = n.owns
	n.links = link.New()
	n.sender = send.New(n.Board, n.links, n.Meter, seed)
	n.sender.Struck = n.struck
	n.vms = &vms{board: n.Board, settle: n.Settings.Settle.D(), log: n.Log}
	n.openMirrors()
	n.vault = &vault.Vault{KV: n.kv}
	store := n.vault
	n.runner = &runner.Runner{
		Board: n.Board, KV: n.kv, Vault: store, Lease: n.lease, Links: n.links, Sender: n.sender,
		Out: n.kv.DirectFailed, Engines: platform.NewEngines(), Meter: n.Meter, Log: n.Log, Call: n.call, Turn: n.Settings.Turn.D(), Fenced: n.Settings.Fenced, History: n.Settings.History.D(),
	}
	n.entry = entry.New(entry.Options{
		Board: n.Board, Sender: n.sender, Links: n.links, Vault: store, Meter: n.Meter, Log: n.Log,
		Call: n.call, Keep: n.Settings.Keep.D(), History: n.Settings.History.D(), Steady: n.steady, Cut: n.kv.DirectFailed,
	})
	if n.Settings.Data != "" {
		n.keeper = &keep.Keeper{
			Dir: n.Settings.Data, Losses: n.Settings.Losses, History: n.Settings.History.D(), Vault: store,
			Peers: n.keepers, Call: n.call, Log: n.Log,
		}
	}
	// Other nodes' calls reach what was made above.
	mesh, err := peer.Open(n.Settings.Peer, n.handle)
	if err != nil {
		return err
	}
	n.mesh = mesh
	return n.serve()
}

func (n *Node) openMirrors() {
	n.nodes = n.mirror(vault.System, n.applySystem)
	n.config = n.mirror(platform.PrefixConfig, n.applyNews)
	n.versions = n.mirror(platform.PrefixVersions, n.applyNews)
	n.retired = n.mirror(platform.PrefixRetired, n.applyNews)
	n.workers = n.mirror(platform.PrefixWorkers, func(changed []quetzalpier.Entry, whole bool, now time.Time) {
		n.vms.apply(changed, whole, n.workers.State(), now)
	})
	n.workers.MinInterval, n.workers.Equivalent = workersGap, sameVM
	n.workers.KV = &mirror.Feed{Direct: n.kv, Leader: n.feeder, Call: n.call}
	n.nodes.MinInterval = nodesGap
	n.nodes.KV = &mirror.Feed{Direct: n.kv, Leader: n.leader, Call: n.call}
	if n.Settings.Front == "" {
		// A takeover must not wait for another node's news.
		n.nodes.Apply = n.applyMembers
		n.owners = n.mirror(vault.Owners, n.applyOwners)
	}
}

func (n *Node) mirror(prefix string, apply func([]quetzalpier.Entry, bool, time.Time)) *mirror.Mirror {
	return &mirror.Mirror{KV: n.kv, Prefix: prefix, Wait: watchWait, Log: n.Log, Apply: apply}
}

func (n *Node) serve() error {
	for _, service := range []struct {
		addr string
		open func(string) error
	}{
		{n.Settings.Front, n.entry.ServeFront},
		{n.Settings.Ready, n.entry.ServeReady},
		{n.Settings.Lookup, n.entry.ServeLookup},
		{n.Settings.Metrics, n.entry.ServeMetrics},
	} {
		if service.addr == "" {
			continue
		}
		if err := service.open(service.addr); err != nil {
			return errors.Wrap(err, service.addr)
		}
	}
	return nil
}

// steady tells whether the store has answered for long enough that what is
// missing in it is gone, in this process's life as well.
func (n *Node) steady(now time.Time) bool {
	state := n.nodes.State()
	settle := n.Settings.Settle.D()
	return n.kv.StableFor(settle, now) && !state.Failing && now.Sub(state.RecoveredAt) > settle && now.Sub(n.born) > settle
}

// bring brings kept jobs to the key-value service.
func (n *Node) bring(ctx context.Context) {
	if n.keeper != nil {
		n.keeper.Run(ctx, n.kv.DirectFailed)
	}
}

// Run runs the node until ctx ends, then stops it as planned.
func (n *Node) Run(ctx context.Context) {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	owning, resign := context.WithCancel(work)
	defer resign()
	for _, run := range []func(context.Context){
		n.nodes.Run, n.watchOwners, n.config.Run, n.workers.Run, n.watchVersions, n.watchRetired, n.bring, n.kv.Run, n.sender.Run, n.register, n.vms.run,
	} {
		n.running.Go(func() { run(work) })
	}
	var runs conc.WaitGroup
	runs.Go(func() { n.runner.Run(owning) })
	n.Log.Info().Str("class", n.Settings.Class).Str("front", n.Settings.Front).Str("peer", n.Settings.Peer).Msg("node started")
	n.await(ctx, func() { resign(); runs.Wait() })
	n.stop(resign, &runs)
	cancel()
	n.unregister()
	n.kv.Reset()
	n.running.Wait()
	n.mesh.Close()
	n.links.Close()
	n.Log.Info().Msg("node stopped")
	_ = n.logs.Close()
}

// watchOwners follows the pools' owners apart from the nodes, where a node may
// become one.
func (n *Node) watchOwners(ctx context.Context) {
	if n.owners != nil {
		n.owners.Run(ctx)
	}
}

// watchVersions follows the versions that trainers name once the node orders
// engines.
func (n *Node) watchVersions(ctx context.Context) {
	if n.holds(ctx) {
		n.versions.Run(ctx)
	}
}

// watchRetired follows which nodes are to be emptied, on VMs that may be.
func (n *Node) watchRetired(ctx context.Context) {
	if n.Settings.Front == "" {
		n.retired.Run(ctx)
	}
}

// holds waits until the node holds a pool; false if ctx ended first.
func (n *Node) holds(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.runner.Holding():
		return true
	}
}
