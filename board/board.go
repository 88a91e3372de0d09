// Package board is the blackboard: the facts that a node knows, in plain
// structs behind one lock. Adapters write facts, controllers read them and
// write what follows; neither does input or output while it holds the board.
package board

import (
	"slices"
	"sync"
	"time"

	"quetzalpier"
)

// Upstream is what a node knows of one upstream.
type Upstream struct {
	VM quetzalpier.VM
	// Outstanding counts this node's own requests in flight.
	Outstanding int
	// Prints counts this node's requests in flight by fingerprint.
	Prints map[uint64]int
	// Trial is the ticket of the suspect request that the upstream is kept
	// free for, or that runs alone on it; zero for none.
	Trial uint64
	// Report is the last load report; Own is how many of the reported requests
	// were this node's.
	Report   quetzalpier.EngineState
	ReportAt time.Time
	Own      int
	// LeavingAt is when the node first heard that the upstream leaves.
	LeavingAt time.Time
	// Health is kept by the retry package.
	Health Health
	// Pace is the moving average time per token or per call.
	Pace time.Duration
	// VersionAt is when the reports first showed their present version.
	VersionAt time.Time
	// Newest is the version of the last token that the upstream made for this
	// node, and NewestAt when.
	Newest   quetzalpier.Version
	NewestAt time.Time
}

const (
	// lieAfter is how long after a change of version the upstream's tokens
	// must show it, and beliefTime how long tokens that belie it count.
	lieAfter   = 3 * time.Second
	beliefTime = 10 * time.Second
)

// Served is the version that the upstream makes tokens with, by the latest
// evidence. Tokens that belie its own reports go before them for a while.
func (u *Upstream) Served(now time.Time) quetzalpier.Version {
	belied := u.Newest < u.Report.Version && u.NewestAt.Sub(u.VersionAt) > lieAfter && now.Sub(u.NewestAt) < beliefTime
	if belied || u.NewestAt.After(u.ReportAt) {
		return u.Newest
	}
	return u.Report.Version
}

// Leaving tells whether the upstream must get no new work.
func (u *Upstream) Leaving() bool { return !u.LeavingAt.IsZero() }

// Health counts an upstream's failures.
type Health struct {
	Failures     int
	Ejections    int
	EjectedUntil time.Time
}

// Member is what a node knows of another node.
type Member struct {
	ID          string
	Peer        string
	HTTP        string
	Domain      string
	Region      string
	Roles       []string
	Incarnation uint64
	State       MemberState
	// Since is when this node saw the state first.
	Since time.Time
}

// MemberState orders a member's states; at equal incarnation the higher wins.
type MemberState int

// The states of a member.
const (
	Alive MemberState = iota
	Draining
	Suspect
	Out
	// Left members ended as planned.
	Left
)

// Gone tells whether the member is not to be reached.
func (m Member) Gone() bool { return m.State >= Out }

// Usable tells whether work may be sent to the member.
func (m Member) Usable() bool { return m.State == Alive }

// Has tells whether the member runs a role.
func (m Member) Has(role string) bool {
	return slices.Contains(m.Roles, role)
}

// State is the content of the board.
type State struct {
	Self    Member
	Members map[string]Member
	Config  quetzalpier.Config
	// Confirmed is when the configuration was last known to be current.
	Confirmed time.Time
	VMs       quetzalpier.VMList
	Upstreams map[string]*Upstream
	// Near names the upstreams that this node works with; nil for all.
	Near map[string]bool
	// Targets is the highest version published for each pool.
	Targets map[string]quetzalpier.Version
	// Owners are the nodes that hold a pool's jobs and order its engines.
	Owners map[string]Owner
	// Retiring names the nodes that are to be emptied.
	Retiring map[string]bool
	// Poison and CrashedAt, when an upstream was last heard to have crashed,
	// are kept by the poison package.
	Poison    map[uint64]Strike
	CrashedAt time.Time
}

// Owner is a pool's owner. Fence rises with each owner.
type Owner struct {
	Node  string
	Fence uint64
}

// Strike counts the upstreams that crashed with a fingerprint in flight.
type Strike struct {
	Count int
	Last  time.Time
}

// Board guards a State.
type Board struct {
	mu    sync.Mutex
	state State
	wake  chan struct{}
}

// New returns a board for a node.
func New(self Member) *Board {
	return &Board{
		state: State{
			Self:      self,
			Members:   map[string]Member{},
			Upstreams: map[string]*Upstream{},
			Targets:   map[string]quetzalpier.Version{},
			Owners:    map[string]Owner{},
			Retiring:  map[string]bool{},
			Poison:    map[uint64]Strike{},
		},
		wake: make(chan struct{}),
	}
}

// Do runs f with the board locked. f must not block.
func (b *Board) Do(f func(*State)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.state)
}

// Update is Do for writers: it also wakes those who wait for a change.
func (b *Board) Update(f func(*State)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.state)
	close(b.wake)
	b.wake = make(chan struct{})
}

// Changed returns a channel that is closed at the next Update.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wake
}

// SetVMs takes a newer list of VMs over; an older one is ignored. An upstream
// that is listed as leaving, or no longer listed, gets no new work from now on.
func (s *State) SetVMs(list quetzalpier.VMList, now time.Time) bool {
	if list.Number <= s.VMs.Number {
		return false
	}
	s.VMs = list
	listed := make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		listed[vm.ID] = true
		s.setVM(vm, now)
	}
	for id, u := range s.Upstreams {
		if listed[id] {
			continue
		}
		if u.Outstanding == 0 {
			delete(s.Upstreams, id)
			continue
		}
		s.Leave(id, now)
	}
	return true
}

// SetAll takes over all upstreams that list themselves in the platform's
// store. One that left out or took back what it said before is believed: an
// entry may lapse while the store is away, and an upstream that restarts under
// its ID knows nothing of before.
func (s *State) SetAll(vms []quetzalpier.VM, now time.Time) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		if u := s.Upstreams[vm.ID]; u != nil && u.VM.Born != vm.Born {
			delete(s.Upstreams, vm.ID)
		}
		if u := s.Upstreams[vm.ID]; u != nil && vm.State == quetzalpier.VMLive {
			u.LeavingAt = time.Time{}
		}
		s.setVM(vm, now)
	}
	for id, u := range s.Upstreams {
		if listed[id] {
			continue
		}
		s.Leave(id, now)
		if u.Outstanding == 0 {
			delete(s.Upstreams, id)
		}
	}
}

func (s *State) setVM(vm quetzalpier.VM, now time.Time) {
	u := s.Upstreams[vm.ID]
	if u == nil || u.VM.Addr != vm.Addr {
		u = &Upstream{Prints: map[uint64]int{}}
		s.Upstreams[vm.ID] = u
	}
	u.VM = vm
	if vm.State == quetzalpier.VMLeaving {
		s.Leave(vm.ID, now)
	}
}

// Leave notes that an upstream leaves. The lagging list can't take it back.
func (s *State) Leave(id string, now time.Time) {
	if u := s.Upstreams[id]; u != nil && u.LeavingAt.IsZero() {
		u.LeavingAt = now
	}
}

// SetReport takes an upstream's load report over.
func (s *State) SetReport(id string, report quetzalpier.EngineState, now time.Time) {
	u := s.Upstreams[id]
	if u == nil {
		return
	}
	if report.Version != u.Report.Version {
		u.VersionAt = now
	}
	u.Report = report
	u.ReportAt = now
	u.Own = u.Outstanding
	if report.Leaving {
		s.Leave(id, now)
	}
}

// Publish raises a pool's target version; a lower one is ignored.
func (s *State) Publish(pool string, version quetzalpier.Version) bool {
	if version <= s.Targets[pool] {
		return false
	}
	s.Targets[pool] = version
	return true
}

// SetConfig takes a configuration over if its number is higher than that of
// any seen before.
func (s *State) SetConfig(config quetzalpier.Config) bool {
	if config.Number <= s.Config.Number {
		return false
	}
	s.Config = config
	return true
}

// String returns the state's name.
func (m MemberState) String() string {
	return [...]string{"alive", "draining", "suspect", "out", "left"}[min(max(m, Alive), Left)]
}
