package limit

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/pace"
	"quetzalpier/sleep"
	"quetzalpier/wire"
)

const (
	// countWindow is the time over which the requests to a limited upstream are counted
	// for the log.
	countWindow = 4 * time.Second
	// askTimeout limits the call for a permit. askFailedDelay is the pause after one
	// that failed.
	askTimeout     = 300 * time.Millisecond
	askFailedDelay = 200 * time.Millisecond
	// tellDelay is the longest time that a node collects the limits that it learns
	// before it tells the other nodes. Those that it hears from others meanwhile are
	// not told again.
	tellDelay    = 150 * time.Millisecond
	tellTimeout  = 300 * time.Millisecond
	maxTellCalls = 16
	// Nodes that could not be told are told again every retellTicks ticks, for
	// retellPeriod. Later ones learn it from an answer.
	retellTicks  = 2
	retellPeriod = 15 * time.Second
	// A process that does not tick for minPause was paused. Longer than a busy node is
	// late.
	tickInterval = 500 * time.Millisecond
	minPause     = 1500 * time.Millisecond
	// maxAge is the highest age that a limit is told with, also that of a limit which was
	// never named.
	maxAge = time.Hour
	// minTellChange is the share by which a limit must change to be told again.
	minTellChange = 0.1
	// earlyPeriod is how long what another node says of a process that this node does not
	// list yet is kept, of at most maxEarly upstreams.
	earlyPeriod = 30 * time.Second
	maxEarly    = 4096
	// rereadDelay is how long after this node was listed it reads the limits again. Those
	// that list it later than that tell it themselves.
	rereadDelay = 2 * time.Second
	// startTries is how often a node that starts asks the others for the limits that
	// they know, and startPause the pause before each try.
	startTries = 3
	startPause = 100 * time.Millisecond
)

// Keeper implements quetzalpier.Notices on a node's board, together with the Keepers of
// the other nodes.
type Keeper struct {
	Board *board.Board
	// Call makes a call to another node, and Peers returns the addresses of the others.
	Call  func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
	Peers func() []string
	Log   zerolog.Logger

	mu sync.Mutex
	// untold holds the upstreams whose limits are to be told to the other nodes.
	untold map[string]bool
	// missed holds the upstreams of which the node at an address was not told, with the
	// times since when. Only Run uses it.
	missed map[string]map[string]time.Time
	// early holds what other nodes said of processes that this node does not list yet, by
	// upstream.
	early map[string]earlyLimit
	wake  chan struct{}
}

// earlyLimit is a limit, or the notice that an upstream is leaving, received at a time.
type earlyLimit struct {
	limit      *wire.Limit
	receivedAt time.Time
}

var _ quetzalpier.Notices = (*Keeper)(nil)

// New returns a Keeper of a node without other nodes.
func New(b *board.Board, log zerolog.Logger) *Keeper {
	return &Keeper{
		Board: b, Log: log, Peers: func() []string { return nil },
		Call: func(context.Context, string, *wire.Call) (*wire.Reply, error) {
			return nil, errors.New("no other nodes are known")
		},
		untold: map[string]bool{}, missed: map[string]map[string]time.Time{}, early: map[string]earlyLimit{}, wake: make(chan struct{}, 1),
	}
}

// Admit implements quetzalpier.Notices.
func (k *Keeper) Admit(ctx context.Context, vm quetzalpier.VM, urgent bool, now time.Time) error {
	granted, after := true, time.Duration(0)
	var grantor board.Member
	var self string
	k.Board.Do(func(s *board.State) {
		u := s.Upstreams[vm.ID]
		if u == nil || !u.Limit.Named {
			return
		}
		u.Limit.Held = max(0, u.Limit.Held-1)
		if granted, after = !now.Before(u.Limit.RetryAt), u.Limit.RetryAt.Sub(now); !granted {
			return
		}
		grantor, self = Grantor(s, u), s.Self.ID
		if grantor.ID != self {
			u.Limit.Asking++
			return
		}
		if granted, after = Take(u, self, urgent, rand.Float64(), now); !granted {
			u.Limit.RetryAt = now.Add(after)
		}
	})
	if grantor.ID != self {
		granted, after = k.ask(ctx, vm, grantor, self, urgent)
	}
	if !granted {
		return &quetzalpier.LimitedError{Upstream: vm.ID, RetryAfter: after}
	}
	k.count(vm, now)
	return nil
}

// ask asks another node for a permit.
func (k *Keeper) ask(ctx context.Context, vm quetzalpier.VM, grantor board.Member, self string, urgent bool) (granted bool, after time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := k.Call(callCtx, grantor.Peer, &wire.Call{Kind: &wire.Call_Limits{Limits: &wire.Limits{
		Limits: k.encode([]string{vm.ID}, time.Now()), Take: vm.ID, Urgent: urgent, Node: self,
	}}})
	now := time.Now()
	permit := reply.GetPermit()
	switch {
	case err == nil:
	case ctx.Err() != nil:
		// The request has ended, which says nothing of the limit.
		permit = &wire.Permit{Nodes: 1}
	default:
		k.Log.Warn().Str("upstream", vm.ID).Str("grantor", grantor.ID).Err(err).Msg("permit for a limited upstream could not be requested")
		permit = &wire.Permit{Wait: uint64(askFailedDelay.Milliseconds()), Nodes: 1}
	}
	k.merge(permit.GetLimits(), now)
	after = wire.Millis(permit.GetWait())
	k.Board.Do(func(s *board.State) {
		u := s.Upstreams[vm.ID]
		if u == nil {
			return
		}
		u.Limit.Asking = max(0, u.Limit.Asking-1)
		u.Limit.Nodes = int(permit.GetNodes())
		if !permit.GetGranted() {
			u.Limit.RetryAt = now.Add(after)
		}
	})
	return permit.GetGranted(), after
}

// Serve answers the call of another node.
func (k *Keeper) Serve(call *wire.Limits, now time.Time) *wire.Permit {
	k.merge(call.GetLimits(), now)
	if call.GetTake() == "" && !call.GetFull() {
		k.recordTold(call.GetLimits())
	}
	reply := &wire.Permit{}
	ids := []string{call.GetTake()}
	k.Board.Do(func(s *board.State) {
		if u := s.Upstreams[call.GetTake()]; u != nil {
			reply.Granted = true
			if u.Limit.Named {
				granted, after := Take(u, call.GetNode(), call.GetUrgent(), rand.Float64(), now)
				reply.Granted, reply.Wait = granted, uint64(math.Ceil(float64(after)/float64(time.Millisecond)))
				reply.Nodes = uint32(u.Limit.Nodes)
			}
		} else {
			reply.Wait = uint64(askFailedDelay.Milliseconds())
		}
		if call.GetFull() {
			ids = ids[:0]
			for id := range s.Upstreams {
				ids = append(ids, id)
			}
		}
	})
	reply.Limits = k.encode(ids, now)
	return reply
}

// encode returns what this node knows of the limits of upstreams.
func (k *Keeper) encode(ids []string, now time.Time) []*wire.Limit {
	var list []*wire.Limit
	k.Board.Do(func(s *board.State) {
		for _, id := range ids {
			if u := s.Upstreams[id]; u != nil && (u.SaidLeaving || !u.Limit.At.IsZero()) {
				list = append(list, &wire.Limit{
					Upstream: id, Born: u.VM.Incarnation, Named: u.Limit.Named, Rate: u.Limit.PerSecond, Leaving: u.SaidLeaving, Age: uint64(min(max(0, now.Sub(u.Limit.At)), maxAge).Milliseconds()),
				})
			}
		}
	})
	return list
}

// merge records the limits that another node knows.
func (k *Keeper) merge(list []*wire.Limit, now time.Time) {
	for _, item := range list {
		named := quetzalpier.Limit{Named: item.GetNamed(), PerSecond: item.GetRate()}
		if err := named.Validate(); err != nil {
			k.Log.Warn().Str("upstream", item.GetUpstream()).Err(err).Msg("limit from another node is invalid")
			continue
		}
		early := false
		k.Board.Update(func(s *board.State) {
			u := s.Upstreams[item.GetUpstream()]
			if early = u == nil || u.VM.Incarnation < item.GetBorn(); early {
				return
			}
			if u.VM.Incarnation != item.GetBorn() {
				return
			}
			if item.GetLeaving() && SetLeaving(s, u, true) {
				k.logLeaving(u.VM, "node")
			}
			if before := u.Limit.Limit; Merge(u, named, now.Add(-wire.Millis(item.GetAge()))) {
				k.logChange(u.VM, before, named, "node")
			}
		})
		if early {
			k.keepEarly(item, now)
		}
	}
}

// keepEarly keeps what another node says of a process until this node lists it: the list
// may be late, and the other node takes it for told.
//
// Load pattern: upstreams start again and say that they are leaving while the key-value
// service is out for some of the nodes.
func (k *Keeper) keepEarly(item *wire.Limit, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, known := k.early[item.GetUpstream()]
	if known && before.limit.GetBorn() > item.GetBorn() || !known && len(k.early) >= maxEarly {
		return
	}
	k.early[item.GetUpstream()] = earlyLimit{item, now}
}

// mergeEarly records what was kept of the processes that are listed now.
func (k *Keeper) mergeEarly(now time.Time) {
	k.mu.Lock()
	kept := k.early
	k.early = map[string]earlyLimit{}
	k.mu.Unlock()
	for id, early := range kept {
		age := now.Sub(early.receivedAt)
		if age > earlyPeriod {
			continue
		}
		listed := false
		k.Board.Do(func(s *board.State) {
			u := s.Upstreams[id]
			listed = u != nil && u.VM.Incarnation >= early.limit.GetBorn()
		})
		if !listed {
			k.keepEarly(early.limit, early.receivedAt)
			continue
		}
		early.limit.Age = uint64((wire.Millis(early.limit.GetAge()) + max(0, age)).Milliseconds())
		k.merge([]*wire.Limit{early.limit}, now)
	}
}

// recordTold records that all nodes are told the limits, by this node or by another one,
// so that this node does not tell them as well.
func (k *Keeper) recordTold(list []*wire.Limit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Board.Do(func(s *board.State) {
		for _, item := range list {
			delete(k.untold, item.GetUpstream())
			if u := s.Upstreams[item.GetUpstream()]; u != nil {
				u.Limit.Told = quetzalpier.Limit{Named: item.GetNamed(), PerSecond: item.GetRate()}
			}
		}
	})
}

// Observe implements quetzalpier.Notices.
func (k *Keeper) Observe(vm quetzalpier.VM, notice quetzalpier.Notice, sentAt, now time.Time) {
	var before, told quetzalpier.Limit
	changed, leaves := false, false
	observe := func(s *board.State) {
		u := s.Upstreams[vm.ID]
		if u == nil || u.VM.Incarnation != vm.Incarnation {
			return
		}
		leaves = notice.Leaving && SetLeaving(s, u, false)
		pace.Record(u, notice.Load, now)
		if notice.Limit.Named || u.Limit.Named {
			before, told = u.Limit.Limit, u.Limit.Told
			changed = Observe(u, notice.Limit, sentAt, now)
		}
	}
	if notice.Leaving {
		k.Board.Update(observe)
	} else {
		k.Board.Do(observe)
	}
	if leaves {
		k.logLeaving(vm, "answer")
	}
	if changed {
		k.logChange(vm, before, notice.Limit, "answer")
	}
	if leaves || changed && mustTell(told, notice.Limit) {
		k.mu.Lock()
		k.untold[vm.ID] = true
		k.mu.Unlock()
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}

// mustTell reports whether a limit differs so much from the one that the other nodes know
// that they are told.
func mustTell(told, named quetzalpier.Limit) bool {
	return told.Named != named.Named || math.Abs(told.PerSecond-named.PerSecond) > minTellChange*told.PerSecond
}

func (k *Keeper) logLeaving(vm quetzalpier.VM, source string) {
	k.Log.Info().Str("upstream", vm.ID).Str("pool", vm.Pool).Str("source", source).Msg("upstream said that it is leaving")
}

func (k *Keeper) logChange(vm quetzalpier.VM, before, named quetzalpier.Limit, source string) {
	k.Log.Info().Str("upstream", vm.ID).Str("pool", vm.Pool).Str("source", source).Bool("named", named.Named).Float64("per_second", named.PerSecond).
		Bool("before", before.Named).Float64("before_per_second", before.PerSecond).Msg("limit of an upstream changed")
}

// Invalid implements quetzalpier.Notices.
func (k *Keeper) Invalid(vm quetzalpier.VM, err error) {
	k.Log.Warn().Str("upstream", vm.ID).Str("pool", vm.Pool).Err(err).Msg("what an upstream says of itself could not be decoded")
}

// Run reads the limits that other nodes know, and tells them those that this node
// learns, until ctx ends. It reads them again when it may have missed what others were
// told: after a pause of the process, and once this node is listed.
//
// Load pattern: nodes start in an outage of the key-value service, so that the others
// don't know them until it ends.
func (k *Keeper) Run(ctx context.Context) {
	k.readAll(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var listed listing
	for last, ticks := time.Now(), 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
			sleep.For(ctx, time.Duration(rand.Float64()*float64(tellDelay)))
			k.tell(ctx, k.takeUntold(), time.Now())
		case <-ticker.C:
			now := time.Now()
			due := listed.due(k.isListed(), now)
			if due || WasPaused(last, now) {
				k.readAll(ctx)
			}
			last = time.Now()
			k.mergeEarly(last)
			if ticks++; ticks%retellTicks == 0 {
				k.retell(ctx, last)
			}
		}
	}
}

// listing is the time since which this node is listed, and whether it has read the limits
// since then.
type listing struct {
	since time.Time
	read  bool
}

// due reports whether the limits are to be read now, once rereadDelay after the node was
// listed.
func (l *listing) due(listed bool, now time.Time) bool {
	switch {
	case !listed:
		*l = listing{}
		return false
	case l.since.IsZero():
		l.since = now
	}
	if l.read || now.Sub(l.since) < rereadDelay {
		return false
	}
	l.read = true
	return true
}

func (k *Keeper) isListed() (listed bool) {
	k.Board.Do(func(s *board.State) { _, listed = s.Members[s.Self.ID] })
	return listed
}

// WasPaused reports whether the process was paused between two ticks, or its VM was
// suspended, for which the monotonic clock stands still.
func WasPaused(last, now time.Time) bool {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0))) > minPause
}

// takeUntold returns the upstreams that are to be told.
func (k *Keeper) takeUntold() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := slices.Collect(maps.Keys(k.untold))
	clear(k.untold)
	return ids
}

// retell tells the nodes that could not be told before. They may be listed as unreachable
// meanwhile.
func (k *Keeper) retell(ctx context.Context, now time.Time) {
	var notes []note
	for addr, upstreams := range k.missed {
		maps.DeleteFunc(upstreams, func(_ string, since time.Time) bool { return now.Sub(since) > retellPeriod })
		if len(upstreams) == 0 {
			delete(k.missed, addr)
			continue
		}
		notes = append(notes, note{addr, slices.Collect(maps.Keys(upstreams))})
	}
	k.send(ctx, notes, now)
}

// note is what one node is to be told: what is known of the upstreams.
type note struct {
	addr      string
	upstreams []string
}

// send sends notes to their nodes and records those that could not be told.
func (k *Keeper) send(ctx context.Context, notes []note, now time.Time) {
	told := make([]bool, len(notes))
	calls := pool.New().WithMaxGoroutines(maxTellCalls)
	for i, n := range notes {
		calls.Go(func() {
			err := k.callOne(ctx, n.addr, &wire.Limits{Limits: k.encode(n.upstreams, now)})
			if told[i] = err == nil; !told[i] {
				k.Log.Debug().Str("peer", n.addr).Err(err).Msg("limits could not be told to another node")
			}
		})
	}
	calls.Wait()
	for i, n := range notes {
		if k.missed[n.addr] == nil {
			k.missed[n.addr] = map[string]time.Time{}
		}
		for _, id := range n.upstreams {
			if told[i] {
				delete(k.missed[n.addr], id)
			} else if _, known := k.missed[n.addr][id]; !known {
				k.missed[n.addr][id] = now
			}
		}
		if len(k.missed[n.addr]) == 0 {
			delete(k.missed, n.addr)
		}
	}
}

// readAll reads the limits that other nodes know, since a node that starts knows none.
func (k *Keeper) readAll(ctx context.Context) {
	known := false
	for !known && sleep.For(ctx, startPause) {
		k.Board.Do(func(s *board.State) { known = len(s.Members) > 1 && len(s.Upstreams) > 0 })
	}
	for range startTries {
		for _, addr := range k.Peers() {
			if k.callOne(ctx, addr, &wire.Limits{Full: true}) == nil {
				return
			}
		}
		sleep.For(ctx, startPause)
	}
}

// tell tells the other nodes what is known of upstreams.
func (k *Keeper) tell(ctx context.Context, upstreams []string, now time.Time) {
	if len(upstreams) == 0 {
		return
	}
	k.recordTold(k.encode(upstreams, now))
	var notes []note
	for _, addr := range k.Peers() {
		notes = append(notes, note{addr, upstreams})
	}
	k.send(ctx, notes, now)
}

// callOne sends a message to another node and records the limits of its reply.
func (k *Keeper) callOne(ctx context.Context, addr string, message *wire.Limits) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	reply, err := k.Call(ctx, addr, &wire.Call{Kind: &wire.Call_Limits{Limits: message}})
	if err != nil {
		return err
	}
	k.merge(reply.GetPermit().GetLimits(), time.Now())
	return nil
}

// count counts a request to a limited upstream and logs the count of each window.
func (k *Keeper) count(vm quetzalpier.VM, now time.Time) {
	sent, perSecond := 0, 0.0
	k.Board.Do(func(s *board.State) {
		u := s.Upstreams[vm.ID]
		if u == nil || !u.Limit.Named {
			return
		}
		if now.Sub(u.Limit.WindowAt) >= countWindow {
			sent, perSecond = u.Limit.Sent, u.Limit.PerSecond
			u.Limit.Sent, u.Limit.WindowAt = 0, now
		}
		u.Limit.Sent++
	})
	if sent > 0 {
		k.Log.Info().Str("upstream", vm.ID).Float64("per_second", perSecond).Int("sent", sent).Dur("window_ms", countWindow).Msg("requests sent to a limited upstream")
	}
}
