// Package fleet assembles a node on the users' platform: the state it reads from
// the key-value service, the endpoints it serves, and its graceful shutdown.
package fleet

import (
	"context"
	"io"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/sourcegraph/conc"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/entry"
	"quetzalpier/hash"
	"quetzalpier/intake"
	"quetzalpier/keep"
	"quetzalpier/lease"
	"quetzalpier/limit"
	"quetzalpier/link"
	"quetzalpier/logcap"
	"quetzalpier/meter"
	"quetzalpier/mirror"
	"quetzalpier/origin"
	"quetzalpier/peer"
	"quetzalpier/platform"
	"quetzalpier/probe"
	"quetzalpier/relay"
	"quetzalpier/runner"
	"quetzalpier/send"
	"quetzalpier/setup"
	"quetzalpier/tally"
	"quetzalpier/tunnel"
	"quetzalpier/vault"
)

const (
	// ownerLeaseTTL bounds how long a failed owner of a pool counts as alive. The
	// interval of renewals allows for a slow service and for one lost answer.
	ownerLeaseTTL      = 1200 * time.Millisecond
	ownerRenewInterval = 300 * time.Millisecond
	leaseMargin        = 200 * time.Millisecond
	// idleLeaseTTL and idleRenewInterval apply to nodes that own no pool and wait at the
	// key-value service: each renewal is a call. One may be lost.
	idleLeaseTTL      = 8 * time.Second
	idleRenewInterval = 3600 * time.Millisecond
	// maxWatchTimeout limits how long one watch waits; the platform allows 30 s.
	maxWatchTimeout = 25 * time.Second
	// watchReserve is the time to notice that the answer of a watch was lost, and to read what
	// it missed.
	watchReserve = 1300 * time.Millisecond
	// watchHistoryShare is the share of the service's history after which an idle
	// watch ends. One that waits for longer than the history can't be continued, and
	// all keys must be read again.
	watchHistoryShare = 0.85
	// minWorkersInterval is the minimum time between two watches of the upstreams,
	// whose entries change with every heartbeat. Updates must be applied within two
	// seconds.
	minWorkersInterval = 900 * time.Millisecond
	// minNodesInterval is the minimum time between two watches of the nodes, which
	// join and leave in bursts.
	minNodesInterval = 250 * time.Millisecond
	// maxLeaders is how many nodes of a failure domain read from the key-value service for
	// the others: the first one, and the next while the first has nothing to pass on.
	maxLeaders = 2
	// minConfigNodes is how many nodes a failure domain has at least for them to read the
	// configuration through its leader.
	minConfigNodes = 24
	// minKeyedNodes is minConfigNodes for fronts while customers are configured: their
	// watches are as short as those of leaders, so that the age of their configuration
	// stays known.
	minKeyedNodes = 2
	// leaderConfigWatch is how long a watch of the configuration waits at a leader. Others
	// are refused once the service has not answered it for maxConfigAge, and then read from
	// the service: a change must be in force everywhere within three seconds.
	leaderConfigWatch = time.Second
	maxConfigAge      = 1900 * time.Millisecond
	// maxStartWait is how long a starting node waits for its own entry and then for the
	// list of nodes, which names its leaders.
	maxStartWait = 300 * time.Millisecond
	// logBufferLines is the maximum number of log lines that wait to be written;
	// further ones are dropped and counted.
	logBufferLines = 4096
	// heapShare is the soft memory limit of the Go runtime as a share of the
	// memory setting; near it, the garbage collector runs more often.
	heapShare = 0.7
	// gcPercent is how much the heap may grow between two garbage collections, as a
	// percentage of what was live: memory is scarcer on the VMs than processor time.
	gcPercent = 30
	// largeJobsPart is the part of the memory for the bodies of large jobs, of which each that is
	// loaded takes as much again.
	largeJobsPart = 4
	// jobsPart is the part of the memory for the other jobs.
	jobsPart = 8
	// textsPart is the part of the memory for long texts that are being generated.
	textsPart = 8
	// eventsPart is the part of the memory for large events that are being read.
	eventsPart = 8
	// frontPollInterval is the interval between checks whether another front is
	// available.
	frontPollInterval = 100 * time.Millisecond
	// finishReserve is the time that requests in flight get to finish after the
	// node has stopped waiting for another front.
	finishReserve = 2 * time.Second
	// requestShare, closeShare and logShare are the shares of the grace period after which a
	// stopping node breaks off the requests in flight, ends without its remaining calls, and
	// ends without its remaining log lines. The rest is a reserve for VMs with a seventh of
	// a core, where each step may wait 0.1 s for the processor.
	requestShare = 0.85
	closeShare   = 0.9
	logShare     = 0.93
	// lookupCacheFactor is how many times longer than their TTL some clients cache
	// the answers of the lookup endpoint.
	lookupCacheFactor = 3
)

// Node is a node on the users' platform.
type Node struct {
	Settings setup.Serve
	Board    *board.Board
	Meter    *meter.Meter
	Log      zerolog.Logger

	direct *platform.KV
	kv     *relay.KV
	lease  *lease.Holder
	mesh   *peer.Mesh
	prober *probe.Prober
	links  *link.Links
	// dialer opens connections to upstreams through other nodes, and tunnels for them.
	dialer  *tunnel.Dialer
	tunnels *tunnel.Server
	sender  *send.Sender
	runner  *runner.Runner
	entry   *entry.Entry
	keeper  *keep.Keeper
	disk    ownDisk
	vault   *vault.Vault
	// The mirrors hold the nodes, the owners of pools (on nodes that may own one),
	// the upstreams, the configuration, the weight versions that trainers publish,
	// and the nodes to retire.
	nodes     *mirror.Mirror
	owners    *mirror.Mirror
	workers   *mirror.Mirror
	config    *mirror.Mirror
	versions  *mirror.Mirror
	retired   *mirror.Mirror
	upstreams *upstreamList
	limits    *limit.Keeper
	origins   *origin.Store
	views     *viewSharer
	duties    duties

	// registered is closed once the node's entry was written, and nodesListed once it has
	// read the list of nodes.
	registered     chan struct{}
	nodesListed    chan struct{}
	registeredOnce sync.Once
	// entryRev is the revision of the node's entry as it was last written.
	entryRev   atomic.Uint64
	listedOnce sync.Once

	startedAt  time.Time
	background conc.WaitGroup
	// leaving is the removal of the node's entry at its stop.
	leaving conc.WaitGroup
	// checks are those of nodes that others have told this node of.
	checks conc.WaitGroup
	logs   io.Closer
}

// New creates a node and listens on its addresses. Logs are written to out.
func New(settings setup.Serve, out io.Writer) (*Node, error) {
	level, err := zerolog.ParseLevel(settings.Log)
	if err != nil {
		return nil, errors.Wrap(err, "parse the log level setting")
	}
	n := &Node{Settings: settings, Meter: meter.New(), startedAt: time.Now(), registered: make(chan struct{}), nodesListed: make(chan struct{})}
	n.openLog(out, level)
	debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryMiB<<20)))
	debug.SetGCPercent(gcPercent)
	n.Board = board.New(board.Member{
		ID: settings.Name, Peer: settings.Peer, HTTP: settings.Front, Domain: settings.Domain, Region: settings.Region,
		Roles: []string{settings.Class},
	})
	n.Board.Do(func(s *board.State) { s.LongPrompt = settings.LongPrompt })
	if err := n.open(); err != nil {
		_ = n.logs.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) openLog(out io.Writer, level zerolog.Level) {
	dropped := func(lines int) { n.Meter.DroppedLogLines.Add(float64(lines)) }
	writer := diode.NewWriter(out, logBufferLines, 0, dropped)
	n.logs = writer
	limiter := &logcap.Limiter{OnSuppress: n.Meter.SuppressedLogLines.Inc}
	n.Log = zerolog.New(writer).Level(level).Hook(limiter).With().Timestamp().Str("node", n.Settings.Name).Logger()
}

func (n *Node) open() error {
	seed := hash.Text(n.Settings.Name + time.Now().String())
	n.direct = platform.NewKV(n.Settings.KV)
	counted := &tally.KV{KV: n.direct, Purpose: callPurpose, Calls: n.Meter.PlatformCalls}
	n.kv = &relay.KV{Direct: counted, Peers: n.relayAddrs, Call: n.callPeer, Reset: n.direct.Reset, Log: n.Log}
	n.lease = &lease.Holder{
		KV: n.kv, Node: n.Settings.Name, Prefix: vault.Owners, TTL: ownerLeaseTTL, RenewInterval: ownerRenewInterval, Margin: leaseMargin,
		IdleTTL: idleLeaseTTL, IdleRenewInterval: idleRenewInterval,
	}
	n.kv.WritesAwaited = func() bool { return n.ownsPool() || n.runner.Active() }
	n.links = link.New()
	n.links.OnDial, n.links.OnAnomaly = n.countDial, n.logAnomaly
	n.openTunnels(seed)
	n.sender = send.New(n.Board, n.links, n.Meter, seed)
	n.sender.OnStrikes = n.sendStrikes
	n.limits = limit.New(n.Board, n.Log)
	n.limits.Call, n.limits.Peers = n.callPeer, n.memberAddrs
	n.origins = origin.New(n.Board, n.Log)
	n.origins.Call = n.callPeer
	n.origins.ListedUntil = func() time.Time { return n.workers.State().CurrentAt }
	upstreams := &platform.Upstreams{Links: n.links, Notices: n.limits, Events: &intake.Room{Limit: n.Settings.MemoryMiB << 20 / eventsPart}}
	n.upstreams = &upstreamList{board: n.Board, settlePeriod: n.Settings.SettleTime.D(), log: n.Log, quiet: n.followsUpstreams}
	n.openMirrors()
	n.views = &viewSharer{node: n, lapsed: map[string]lapsedMember{}}
	n.vault = &vault.Vault{KV: n.kv}
	jobVault := n.vault
	engines := platform.NewEngines()
	engines.Notices = n.limits
	n.runner = &runner.Runner{
		Board: n.Board, KV: n.kv, Vault: jobVault, Lease: n.lease, Upstreams: upstreams, Sender: n.sender,
		KVFailed: n.kv.DirectFailed, KVStableFor: n.kv.StableFor, Engines: engines, Meter: n.Meter, Log: n.Log, Call: n.callPeer, MinOrderInterval: n.Settings.OrderInterval.D(), EnginesFenced: n.Settings.FencingEnforced, Retention: n.Settings.Retention.D(), WatchTimeout: watchTimeout(n.Settings),
	}
	n.runner.MaxLargeBytes = n.Settings.MemoryMiB << 20 / largeJobsPart
	n.runner.MaxJobBytes = n.Settings.MemoryMiB << 20 / jobsPart
	n.runner.MaxTextBytes = n.Settings.MemoryMiB << 20 / textsPart
	n.runner.Paths = n.dialer
	n.runner.PlaceByNoise = n.Settings.PlaceByNoise
	n.runner.ReusePrompts, n.runner.ShareByPriority, n.runner.BoundMemory = n.Settings.ReusePrompts, n.Settings.ShareByPriority, n.Settings.BoundMemory
	n.openDuties(n.startedAt)
	options := entry.Options{
		Board: n.Board, Sender: n.sender, Upstreams: upstreams, Origins: n.origins, Vault: jobVault, Meter: n.Meter, Log: n.Log,
		Call: n.callPeer, LookupTTL: n.Settings.LookupTTL.D(), Retention: n.Settings.Retention.D(), MaxLostDisks: n.Settings.MaxDiskLosses, KVStable: n.kvStable, KVFailed: n.kv.DirectFailed,
		StopJob: n.runner.StopJob, ConfigAge: n.configAge, RefuseAfter: n.refuseAfter(),
		Budget: intake.NewBudget(n.Settings.MemoryMiB<<20, n.Settings.Files, n.Settings.HeadBytes),
	}
	if n.duties.recorder != nil {
		options.Runs = n.duties.recorder
	}
	n.entry = entry.New(options)
	if n.Settings.DataDir != "" {
		n.keeper = &keep.Keeper{
			Dir: n.Settings.DataDir, MaxLostDisks: n.Settings.MaxDiskLosses, Retention: n.Settings.Retention.D(), Vault: jobVault,
			Peers: n.diskPeers, Call: n.callPeer, Log: n.Log,
		}
		n.openDisk()
	}
	// The mesh is opened last, because calls of other nodes use the components
	// above.
	mesh, err := peer.Open(n.Settings.Peer, n.handleCall, n.tunnels.Serve)
	if err != nil {
		return err
	}
	n.mesh = mesh
	n.prober = &probe.Prober{Board: n.Board, Ping: mesh.Ping, Ask: mesh.Ask, OnUnreachable: n.evict, InContact: n.inContact, Log: n.Log}
	return n.serve()
}

func (n *Node) openMirrors() {
	n.nodes = n.mirror(vault.System, n.applyNodesAndOwners)
	n.config = n.mirror(platform.KeyConfig, n.applyControlEntries)
	n.versions = n.mirror(platform.PrefixVersions, n.applyControlEntries)
	n.retired = n.mirror(platform.PrefixRetire, n.applyControlEntries)
	n.workers = n.mirror(platform.PrefixWorkers, func(changed []quetzalpier.Entry, full bool, now time.Time) {
		n.upstreams.apply(changed, full, n.workers.State(), now)
	})
	n.workers.MinInterval, n.workers.Equivalent = minWorkersInterval, sameVM
	n.workers.KV = &mirror.Feed{Direct: n.kv, Leaders: n.upstreamLeaders, Call: n.callPeer, DirectFailed: n.kv.DirectFailed}
	n.nodes.MinInterval = minNodesInterval
	n.nodes.KV = &mirror.Feed{Direct: n.kv, Leaders: n.feedLeaders, Call: n.callPeer, DirectFailed: n.kv.DirectFailed}
	n.config.MaxAge = maxConfigAge
	n.config.KV = &mirror.Feed{
		Direct: n.kv, Leaders: n.configLeaders, Call: n.callPeer, DirectFailed: n.kv.DirectFailed, MaxDirectWatch: n.maxConfigWatch,
		MaxWatch: n.maxKeyedWatch,
	}
	if n.Settings.Front == "" {
		// A takeover must not wait for another node's feed.
		n.nodes.Apply = n.applyMembers
		n.owners = n.mirror(vault.Owners, n.applyOwners)
	}
}

func (n *Node) mirror(prefix string, apply func([]quetzalpier.Entry, bool, time.Time)) *mirror.Mirror {
	return &mirror.Mirror{KV: n.kv, Prefix: prefix, WatchTimeout: watchTimeout(n.Settings), Log: n.Log, Apply: apply}
}

// watchTimeout returns how long one watch waits. Nothing distinguishes a watch whose answer was
// lost from one of a prefix without changes, so that it must be given up while a change of later,
// when the node is in contact again, can still be in force in time.
func watchTimeout(settings setup.Serve) time.Duration {
	history := time.Duration(watchHistoryShare * float64(settings.KVHistory.D()))
	noticed := settings.ContactTime.D() + settings.ApplyTime.D() - watchReserve
	return min(maxWatchTimeout, history, max(leaderConfigWatch, noticed))
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

// kvStable reports whether the key-value service has answered for longer than
// the settle time since its last outage and since the start of this process, which
// has read the nodes. Only then is a missing entry known to be deleted.
func (n *Node) kvStable(now time.Time) bool {
	state := n.nodes.State()
	settle := n.Settings.SettleTime.D()
	return n.kv.StableFor(settle, now) && !state.LastContact.IsZero() && !state.Failing && now.Sub(state.RecoveredAt) > settle && now.Sub(n.startedAt) > settle
}

// configAge returns the time since the configuration on the board was last known to be
// current.
func (n *Node) configAge(now time.Time) time.Duration { return now.Sub(n.config.State().CurrentAt) }

// refuseAfter returns the age of the configuration beyond which no API key is trusted; zero
// for none.
func (n *Node) refuseAfter() time.Duration {
	if !n.Settings.StrictKeys {
		return 0
	}
	return n.Settings.RevokeTime.D()
}

// submitKeptJobs submits the jobs kept on disk to the key-value service.
func (n *Node) submitKeptJobs(ctx context.Context) {
	if n.keeper != nil {
		n.keeper.Run(ctx, n.kv.DirectFailed)
	}
}

// Run runs the node until ctx ends, then drains and closes it.
func (n *Node) Run(ctx context.Context) {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	membership, leave := context.WithCancel(work)
	defer leave()
	ownCtx, releasePools := context.WithCancel(work)
	defer releasePools()
	for _, run := range []func(context.Context){
		n.watchNodes, n.watchOwners, n.watchConfig, n.watchUpstreams, n.watchVersions, n.watchRetired, n.submitKeptJobs, n.kv.Run, n.sender.Run, n.dialer.Run, n.upstreams.dropExpired, n.limits.Run, n.origins.Run, n.reportUsage,
	} {
		n.background.Go(func() { run(work) })
	}
	n.runDuties(work)
	n.background.Go(func() { n.prober.Run(membership) })
	n.background.Go(func() { n.views.run(membership) })
	n.background.Go(func() { n.watchDisks(membership) })
	var runs, registration conc.WaitGroup
	registration.Go(func() { n.register(membership) })
	runs.Go(func() { n.runner.Run(ownCtx) })
	n.Log.Info().Str("class", n.Settings.Class).Str("front", n.Settings.Front).Str("peer", n.Settings.Peer).Msg("node started")
	requested := make(chan time.Time, 1)
	stopWatch := context.AfterFunc(ctx, func() { requested <- time.Now() })
	defer stopWatch()
	n.awaitStop(ctx, func() { releasePools(); runs.Wait() })
	limits := planStop(<-requested, n.Settings.StopTimeout.D())
	n.drain(limits, releasePools, &runs, func() {
		leave()
		registration.Wait()
		n.unregister(limits.close)
	})
	n.closeAll(limits, cancel)
}

// watchNodes mirrors the nodes, once this node is listed itself or soon after its start:
// of nodes that start together, each then finds most of the others.
func (n *Node) watchNodes(ctx context.Context) {
	awaitStep(ctx, n.registered)
	n.nodes.Run(ctx)
}

// watchConfig mirrors the configuration, from the leaders if the list of nodes names any.
func (n *Node) watchConfig(ctx context.Context) {
	awaitStep(ctx, n.nodesListed)
	n.config.Run(ctx)
}

// watchUpstreams mirrors the upstreams as watchConfig does the configuration.
func (n *Node) watchUpstreams(ctx context.Context) {
	awaitStep(ctx, n.nodesListed)
	n.workers.Run(ctx)
}

// awaitStep waits for a step of the start, for maxStartWait at most.
func awaitStep(ctx context.Context, done <-chan struct{}) {
	timer := time.NewTimer(maxStartWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watchOwners mirrors the owners of pools on nodes that may own one.
func (n *Node) watchOwners(ctx context.Context) {
	if n.owners != nil {
		n.owners.Run(ctx)
	}
}

// watchVersions mirrors the published weight versions once the node owns a pool,
// whose engines it then orders to load them.
func (n *Node) watchVersions(ctx context.Context) {
	if n.awaitPool(ctx) {
		n.versions.Run(ctx)
	}
}

// watchRetired mirrors the nodes to retire, except on fronts.
func (n *Node) watchRetired(ctx context.Context) {
	if n.Settings.Front == "" {
		n.retired.Run(ctx)
	}
}

// awaitPool waits until the node owns a pool or stands in for the owner of one.
// It returns false if ctx ends first.
func (n *Node) awaitPool(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.runner.PoolOwned():
		return true
	}
}
