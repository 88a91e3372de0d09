package fleet

import (
	"context"
	"encoding/json"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/lease"
	"quetzalpier/mirror"
	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/vault"
)

const (
	registerEvery = 150 * time.Millisecond
	registerCall  = 1200 * time.Millisecond
	settleEvery   = 200 * time.Millisecond
)

// member is a node's own entry.
type member struct {
	Peer   string   `json:"peer"`
	HTTP   string   `json:"http,omitempty"`
	Domain string   `json:"domain"`
	Region string   `json:"region,omitempty"`
	Roles  []string `json:"roles"`
	Leaves bool     `json:"leaves,omitempty"`
}

// register keeps the node's lease and its entry.
func (n *Node) register(ctx context.Context) {
	written, leaves := "", false
	for ctx.Err() == nil {
		held, err := n.keepLease(ctx, time.Now())
		var self board.Member
		n.Board.Do(func(s *board.State) { self = s.Self })
		leaving := self.State != board.Alive
		if err == nil && (held != written || leaving != leaves) {
			if err = n.writeEntry(ctx, self, held); err == nil {
				written, leaves = held, leaving
			}
		}
		if err != nil {
			n.Log.Debug().Err(err).Msg("node not registered")
		}
		sleep.For(ctx, registerEvery)
	}
}

func (n *Node) keepLease(ctx context.Context, now time.Time) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, registerCall)
	defer cancel()
	var lost *quetzalpier.LostError
	if err := n.lease.Keep(ctx, now); err != nil && !errors.As(err, &lost) {
		return "", err
	}
	return n.lease.Rest(ctx, now)
}

func (n *Node) writeEntry(ctx context.Context, self board.Member, held string) error {
	ctx, cancel := context.WithTimeout(ctx, registerCall)
	defer cancel()
	value, err := json.Marshal(member{
		Peer: self.Peer, HTTP: self.HTTP, Domain: self.Domain, Region: self.Region, Roles: self.Roles,
		Leaves: self.State != board.Alive,
	})
	if err != nil {
		return errors.Wrap(err, "encode node entry")
	}
	_, err = n.kv.Commit(ctx, quetzalpier.Txn{Writes: []quetzalpier.Write{{Key: vault.Nodes + self.ID, Value: value, Lease: held}}})
	return err
}

// unregister ends the node's lease, so that its entry goes at once.
func (n *Node) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), registerCall)
	defer cancel()
	held, ok := n.lease.Lease(time.Now())
	if !ok {
		return
	}
	if err := n.kv.Release(ctx, held); err != nil {
		n.Log.Warn().Err(err).Msg("lease not ended; it will lapse")
	}
}

// applySystem takes nodes and owners over.
func (n *Node) applySystem(changed []quetzalpier.Entry, whole bool, now time.Time) {
	n.applyMembers(changed, whole, now)
	n.applyOwners(changed, whole, now)
}

func (n *Node) applyMembers(changed []quetzalpier.Entry, whole bool, now time.Time) {
	n.Board.Update(func(s *board.State) {
		if whole {
			clear(s.Members)
		}
		for _, e := range changed {
			if id, ok := strings.CutPrefix(e.Key, vault.Nodes); ok {
				n.setMember(s, id, e, now)
			}
		}
	})
}

func (n *Node) applyOwners(changed []quetzalpier.Entry, whole bool, _ time.Time) {
	n.Board.Update(func(s *board.State) {
		if whole {
			clear(s.Owners)
		}
		for _, e := range changed {
			if pool, ok := strings.CutPrefix(e.Key, vault.Owners); ok {
				n.setOwner(s, pool, e)
			}
		}
	})
}

func (n *Node) setMember(s *board.State, id string, e quetzalpier.Entry, now time.Time) {
	if e.Deleted {
		delete(s.Members, id)
		return
	}
	var m member
	if err := json.Unmarshal(e.Value, &m); err != nil {
		n.Log.Error().Str("key", e.Key).Err(err).Msg("node entry unreadable")
		return
	}
	state := board.Alive
	if m.Leaves {
		state = board.Draining
	}
	s.Members[id] = board.Member{
		ID: id, Peer: m.Peer, HTTP: m.HTTP, Domain: m.Domain, Region: m.Region, Roles: m.Roles, State: state, Since: now,
	}
}

func (n *Node) setOwner(s *board.State, pool string, e quetzalpier.Entry) {
	owner := board.Owner{Node: lease.Owner(e.Value), Fence: e.Rev}
	if e.Deleted {
		delete(s.Owners, pool)
		owner.Node = ""
	} else {
		s.Owners[pool] = owner
	}
	n.Log.Info().Str("pool", pool).Str("owner", owner.Node).Uint64("fence", owner.Fence).Msg("owner changed")
}

// applyNews takes over what operators and trainers wrote.
func (n *Node) applyNews(changed []quetzalpier.Entry, _ bool, now time.Time) {
	for _, e := range changed {
		if e.Deleted {
			continue
		}
		news, err := platform.DecodeNews(e)
		if err != nil {
			n.Log.Error().Str("key", e.Key).Uint64("rev", e.Rev).Err(err).Msg("operator's entry unreadable")
			continue
		}
		n.Board.Update(func(s *board.State) { n.setNews(s, news, now) })
	}
}

func (n *Node) setNews(s *board.State, news platform.News, now time.Time) {
	switch {
	case news.Config != nil:
		if s.SetConfig(*news.Config) {
			s.Confirmed = now
			n.Meter.Number.Set(float64(news.Config.Number))
			n.Log.Info().Uint64("config", news.Config.Number).Int("routes", len(news.Config.Routes)).Msg("configuration in force")
		}
	case news.Model != "":
		if s.Publish(news.Model, news.Version) {
			n.Log.Info().Str("model", news.Model).Uint64("version", uint64(news.Version)).Msg("version named")
		}
	case news.Retire != "":
		s.Retiring[news.Retire] = true
		n.Log.Info().Str("retired", news.Retire).Dur("over_ms", news.Over).Msg("node is to be emptied")
	}
}

// vms keeps the list of upstreams. An entry that lapsed while the store was
// away counts until it has had the time to come back.
type vms struct {
	board  *board.Board
	settle time.Duration
	log    zerolog.Logger

	mu     sync.Mutex
	known  map[string]quetzalpier.VM
	lapsed map[string]time.Time
}

func (v *vms) apply(changed []quetzalpier.Entry, whole bool, state mirror.State, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known == nil {
		v.known = map[string]quetzalpier.VM{}
		v.lapsed = map[string]time.Time{}
	}
	listed := map[string]bool{}
	for _, e := range changed {
		id := strings.TrimPrefix(e.Key, platform.PrefixWorkers)
		if e.Deleted {
			v.lapse(id, state, now)
			continue
		}
		vm, err := platform.DecodeVM(e)
		if err != nil {
			v.log.Warn().Str("key", e.Key).Uint64("rev", e.Rev).Err(err).Msg("upstream's entry unreadable")
			// It names no upstream to use, whatever the one before did.
			v.lapse(id, mirror.State{}, now)
			listed[id] = true
			continue
		}
		listed[id] = true
		if v.known[id].State != vm.State {
			v.log.Info().Str("upstream", id).Str("pool", vm.Pool).Str("state", vm.State).Int64("born", vm.Born).Msg("upstream listed")
		}
		v.known[id] = vm
		delete(v.lapsed, id)
	}
	if whole {
		for id := range v.known {
			if !listed[id] {
				v.lapse(id, state, now)
			}
		}
	}
	v.publish(now)
}

// sameVM tells whether two entries of an upstream say the same: most are
// heartbeats in which nothing has changed.
func sameVM(old, latest quetzalpier.Entry) bool {
	before, err := platform.DecodeVM(old)
	if err != nil {
		return false
	}
	after, err := platform.DecodeVM(latest)
	return err == nil && reflect.DeepEqual(before, after)
}

// lapse notes that an entry is gone; the caller holds the lock.
func (v *vms) lapse(id string, state mirror.State, now time.Time) {
	until := now
	if state.Failing {
		until = now.Add(v.settle)
	} else if back := state.RecoveredAt.Add(v.settle); back.After(now) {
		until = back
	}
	if _, known := v.known[id]; known {
		v.lapsed[id] = until
		v.log.Info().Str("upstream", id).Dur("believed_ms", until.Sub(now)).Msg("upstream's entry gone")
	}
}

// publish writes the list to the board; the caller holds the lock.
func (v *vms) publish(now time.Time) {
	for id, until := range v.lapsed {
		if !now.Before(until) {
			delete(v.known, id)
			delete(v.lapsed, id)
		}
	}
	list := make([]quetzalpier.VM, 0, len(v.known))
	for _, vm := range v.known {
		list = append(list, vm)
	}
	v.board.Update(func(s *board.State) { s.SetAll(list, now) })
}

// run drops lapsed entries whose time is over.
func (v *vms) run(ctx context.Context) {
	for sleep.For(ctx, settleEvery) {
		v.mu.Lock()
		if len(v.lapsed) > 0 {
			v.publish(time.Now())
		}
		v.mu.Unlock()
	}
}
