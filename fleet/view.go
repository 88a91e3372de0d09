package fleet

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/runner"
	"quetzalpier/sleep"
	"quetzalpier/snap"
	"quetzalpier/wire"
)

const (
	// viewInterval is the time between two rounds in which a node saves its view and
	// offers it to others.
	viewInterval = 400 * time.Millisecond
	// viewTimeout limits one offer. Many of the nodes asked may be down.
	viewTimeout = 300 * time.Millisecond
	// maxViewCalls limits the offers at a time.
	maxViewCalls = 16
	// lapsedMemberPeriod is how long a node whose entry is gone is still offered the
	// view: the service may refuse that node only.
	lapsedMemberPeriod = time.Minute
	// minAdoptInterval is the time between two views that a node takes: the revision of
	// a sender that reaches the service rises with each heartbeat of an upstream.
	minAdoptInterval = time.Second
	viewFile         = "view"
)

// viewSharer saves the node's view of the platform, and offers it to nodes that may
// have started while the key-value service is unavailable.
//
// Load pattern: all nodes are restarted in an outage. Upstreams run, and clients come
// back, but no node knows a configuration until the service is back.
type viewSharer struct {
	node *Node
	file *snap.File

	mu sync.Mutex
	// adoptedRev is the revision of the view that this node uses, and adoptedAt when
	// it got it.
	adoptedRev uint64
	adoptedAt  time.Time

	// members are the nodes at the last round, and lapsed those whose entries are gone
	// since. Only run uses them.
	members map[string]board.Member
	lapsed  map[string]lapsedMember
}

type lapsedMember struct {
	board.Member
	at time.Time
}

// run shares the view until ctx ends, on nodes with a disk.
func (v *viewSharer) run(ctx context.Context) {
	if v.node.Settings.DataDir == "" {
		return
	}
	v.file = &snap.File{Path: filepath.Join(v.node.Settings.DataDir, viewFile)}
	saved, err := v.file.Load()
	if err != nil {
		v.node.Log.Warn().Err(err).Msg("saved view of the platform could not be read")
	}
	for sleep.For(ctx, viewInterval) {
		now := time.Now()
		if saved.Rev() > 0 && v.node.kv.DirectFailed() {
			v.adopt(ctx, saved, now)
			saved = snap.View{}
		}
		view, ok := v.current()
		if !ok {
			continue
		}
		if v.fromService() {
			if err := v.file.Save(view); err != nil {
				v.node.Log.Warn().Err(err).Msg("view of the platform could not be saved")
			}
		}
		v.offer(ctx, view, v.receivers(now))
	}
}

// fromService reports whether the node has read the service since it started.
func (v *viewSharer) fromService() bool { return !v.node.config.State().LastContact.IsZero() }

// current returns the node's present view, if it is complete.
func (v *viewSharer) current() (snap.View, bool) {
	nodes, nodesKnown := v.node.nodes.Snapshot()
	upstreams, upstreamsKnown := v.node.workers.Snapshot()
	config, configKnown := v.node.config.Snapshot()
	return snap.View{Nodes: nodes, Upstreams: upstreams, Config: config}, nodesKnown && upstreamsKnown && configKnown
}

// receivers returns the addresses of the nodes to offer the view to: all nodes while
// the service is unavailable, and otherwise those whose entries are gone.
func (v *viewSharer) receivers(now time.Time) []string {
	members := map[string]board.Member{}
	v.node.Board.Do(func(s *board.State) {
		for id, m := range s.Members {
			members[id] = m
		}
	})
	v.recordLapsed(members, now)
	var canSend, mayNeed []string
	for id, m := range members {
		if m.HasRole(runner.ClassStore) {
			canSend = append(canSend, id)
		}
		if v.node.kv.DirectFailed() {
			mayNeed = append(mayNeed, id)
		}
	}
	for id, m := range v.lapsed {
		members[id] = m.Member
		mayNeed = append(mayNeed, id)
	}
	var addrs []string
	for _, id := range snap.Receivers(v.node.Settings.Name, canSend, mayNeed) {
		addrs = append(addrs, members[id].Peer)
	}
	return addrs
}

// recordLapsed updates the nodes whose entries are gone.
func (v *viewSharer) recordLapsed(members map[string]board.Member, now time.Time) {
	for id, m := range v.members {
		if _, present := members[id]; !present {
			v.lapsed[id] = lapsedMember{m, now}
		}
	}
	for id, m := range v.lapsed {
		if _, present := members[id]; present || now.Sub(m.at) > lapsedMemberPeriod {
			delete(v.lapsed, id)
		}
	}
	v.members = members
}

// offer asks each receiver whether it needs the view, and sends it if so.
func (v *viewSharer) offer(ctx context.Context, view snap.View, addrs []string) {
	question := &wire.Call{Kind: &wire.Call_View{View: &wire.View{Rev: view.Rev()}}}
	calls := pool.New().WithMaxGoroutines(maxViewCalls)
	for _, addr := range addrs {
		calls.Go(func() {
			// A node that is down gets its view once it runs again.
			reply, err := v.call(ctx, addr, question)
			if err != nil || !reply.GetAccepted().GetNeeded() {
				return
			}
			_, err = v.call(ctx, addr, &wire.Call{Kind: &wire.Call_View{View: view.Pack()}})
			v.node.Log.Info().Str("peer", addr).Uint64("rev", view.Rev()).AnErr("cause", err).Msg("sent the view of the platform to a node that has none")
		})
	}
	calls.Wait()
}

func (v *viewSharer) call(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	return v.node.callPeer(ctx, addr, call)
}

// receive answers an offer of another node.
func (v *viewSharer) receive(ctx context.Context, message *wire.View) *wire.Reply {
	now := time.Now()
	v.mu.Lock()
	needed := !v.fromService() && message.GetRev() > v.adoptedRev && now.Sub(v.adoptedAt) > minAdoptInterval
	v.mu.Unlock()
	if view, complete := snap.Unpack(message); complete && needed {
		v.adopt(ctx, view, now)
	}
	return &wire.Reply{Kind: &wire.Reply_Accepted{Accepted: &wire.Accepted{Needed: needed}}}
}

// adopt uses the view until this node has read the service itself. With the nodes in
// it, this node can read the service through one that reaches it; only if none does,
// the view's configuration and upstreams are the newest within reach.
func (v *viewSharer) adopt(ctx context.Context, view snap.View, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if view.Rev() <= v.adoptedRev || v.fromService() {
		return
	}
	v.adoptedRev, v.adoptedAt = view.Rev(), now
	v.node.distrust(view.Nodes.Entries, now)
	v.node.nodes.Seed(view.Nodes, now)
	if _, err := v.node.kv.Range(ctx, platform.KeyConfig, false); err == nil {
		return
	}
	v.node.workers.Seed(view.Upstreams, now)
	v.node.config.Seed(view.Config, now)
	v.node.Log.Warn().Uint64("rev", view.Rev()).Int("nodes", len(view.Nodes.Entries)).Int("upstreams", len(view.Upstreams.Entries)).
		Msg("started with the last known view of the platform, as the key-value service is unavailable")
}
