// Package board holds the state that the parts of a node share, in plain structs
// behind one lock. Adapters write what they read from outside, and controllers
// read it and write decisions. Neither does I/O while it holds the lock.
package board

import (
	"slices"
	"sync"
	"time"

	"quetzalpier"
	"quetzalpier/access"
)

// Upstream is a node's state of one upstream.
type Upstream struct {
	VM quetzalpier.VM
	// Outstanding counts this node's own requests in flight.
	Outstanding int
	// Fingerprints counts this node's requests in flight by fingerprint.
	Fingerprints map[uint64]int
	// SuspectTicket is the ticket of the request suspected of crashing upstreams
	// for which this upstream is reserved, or which runs alone on it; zero if
	// there is none.
	SuspectTicket uint64
	// Report is the last load report, ReportAt the time when it arrived, and
	// OwnReported the number of this node's requests in flight at that time, which
	// the report includes.
	Report      quetzalpier.EngineState
	ReportAt    time.Time
	OwnReported int
	// Slowdown is how long work took on the upstream at SlowdownAt, as a percentage of the
	// normal time; zero if it does not report that. See the pace package.
	Slowdown   int
	SlowdownAt time.Time
	// QueueSize is the number of requests that waited at the upstream when it last refused
	// one for being full; zero if it never did.
	QueueSize int
	// LeavingAt is when the node first learned that the upstream is leaving; zero
	// if it is not.
	LeavingAt time.Time
	// SaidLeaving is set once the upstream has said so itself. No list takes it back, but
	// another incarnation begins without it.
	SaidLeaving bool
	// Health is maintained by the retry package.
	Health Health
	// UnitTime is the moving average of the time per token or per call. UnitTimeAt is when
	// it was last updated, if the upstream reports its slowdown.
	UnitTime   time.Duration
	UnitTimeAt time.Time
	// VersionSince is when the reports first contained their current version.
	VersionSince time.Time
	// TokenVersion is the weight version of the last token that this node
	// received from the upstream, and TokenAt when it arrived.
	TokenVersion quetzalpier.Version
	TokenAt      time.Time
	// Limit is maintained by the limit package.
	Limit Limit
	// Path is maintained by the reach package.
	Path Path
}

// Path is what a node knows of its own path to an upstream.
type Path struct {
	// ReachedAt is when a connection was last established, and LostAt when the first one
	// since then was not; zero if none failed. Failures counts those.
	ReachedAt time.Time
	LostAt    time.Time
	Failures  int
	// RetryAt is when a connection is due to be tried again, and NoDetourUntil until when
	// other nodes are known not to reach the upstream either.
	RetryAt       time.Time
	NoDetourUntil time.Time
}

// Helper is what a node knows of another one through which it opens connections to
// upstreams: when it last did, when the other one last failed to, and until when it is not
// asked.
type Helper struct {
	UsedAt     time.Time
	FailedAt   time.Time
	AvoidUntil time.Time
}

// Lost reports whether the last connection that was tried could not be established.
func (p Path) Lost() bool { return !p.LostAt.IsZero() }

// Limit is what a node knows of an upstream's limit, and its share of it.
type Limit struct {
	quetzalpier.Limit
	// At is when the upstream was last known to name the limit, or not to name one.
	At time.Time
	// Told is what this node last told the others, or heard from one of them.
	Told quetzalpier.Limit
	// RetryAt is when this node may ask for another permit after a refusal, Asking the
	// number of permits that it is asking for, and Nodes the number of nodes that
	// asked lately.
	RetryAt time.Time
	Asking  int
	Nodes   int
	// Held counts the requests that were placed on the upstream, the last one at HeldAt,
	// and are about to ask.
	Held   int
	HeldAt time.Time
	// Bucket is used by the node that grants the permits.
	Bucket Bucket
	// Sent counts the requests that this node sent since WindowAt, for the log.
	Sent     int
	WindowAt time.Time
}

// Bucket is the token bucket of an upstream's limit.
type Bucket struct {
	Tokens     float64
	RefilledAt time.Time
	// Asked holds the nodes that asked for a permit, with the times of their last
	// question. UrgentRefusedAt is when an urgent question was last refused.
	Asked           map[string]time.Time
	UrgentRefusedAt time.Time
}

const (
	// mismatchGrace is the time after a version change within which tokens may
	// still have the old version. mismatchTTL is how long an older token after
	// that overrides the reports.
	mismatchGrace = 3 * time.Second
	mismatchTTL   = 10 * time.Second
)

// EffectiveVersion returns the weight version that the upstream generates tokens
// with, by the latest token or report. For mismatchTTL, tokens that contradict
// the upstream's reports override them.
func (u *Upstream) EffectiveVersion(now time.Time) quetzalpier.Version {
	contradicted := u.TokenVersion < u.Report.Version && u.TokenAt.Sub(u.VersionSince) > mismatchGrace && now.Sub(u.TokenAt) < mismatchTTL
	if contradicted || u.TokenAt.After(u.ReportAt) {
		return u.TokenVersion
	}
	return u.Report.Version
}

// Leaving reports whether the upstream must get no new requests.
func (u *Upstream) Leaving() bool { return u.SaidLeaving || !u.LeavingAt.IsZero() }

// Health is the record of an upstream's failures.
type Health struct {
	Failures     int
	Ejections    int
	EjectedUntil time.Time
}

// Member is a node's state of another node.
type Member struct {
	ID          string
	Peer        string
	HTTP        string
	Domain      string
	Region      string
	Roles       []string
	Incarnation uint64
	State       MemberState
	// Since is when this node first saw the state.
	Since time.Time
	// Rev is the revision of the member's entry in the key-value service, and
	// Evictions how often the entry was removed while the member ran.
	Rev       uint64
	Evictions int
	// Disk is the ID of the member's disk; empty for a member without one, or one that runs a
	// build that does not name its disk.
	Disk string
}

// Disk is a disk that may hold jobs that are not in the key-value service yet. Its record
// there outlives the entry of its node.
type Disk struct {
	// Node is the ID of the node that has the disk.
	Node string
	// Rev is the revision of the record.
	Rev uint64
	// MissingSince is when this node first found that no listed node has the disk; zero while
	// one has.
	MissingSince time.Time
}

// MemberState is the state of a member. Of two states with the same incarnation,
// the higher one is valid.
type MemberState int

// The states of a member.
const (
	Alive MemberState = iota
	Draining
	Suspect
	Failed
	// Left members have shut down gracefully.
	Left
)

// FailedOrLeft reports whether the member failed or has left.
func (m Member) FailedOrLeft() bool { return m.State >= Failed }

// Usable reports whether requests may be sent to the member.
func (m Member) Usable() bool { return m.State == Alive }

// HasRole reports whether the member runs a role.
func (m Member) HasRole(role string) bool {
	return slices.Contains(m.Roles, role)
}

// State is the content of the board.
type State struct {
	Self    Member
	Members map[string]Member
	// Unreachable holds the members that don't answer this node nor others, with the
	// times since when.
	Unreachable map[string]time.Time
	// Silent holds the members that don't answer this node at a time when no other member
	// does, so that none can confirm it, but the key-value service does.
	Silent map[string]time.Time
	// Disks holds the recorded disks by ID.
	Disks map[string]Disk
	// MissingDisks holds the nodes with a disk that have no record of it and whose entries are
	// missing, with the times since when. Their disks may hold jobs.
	MissingDisks map[string]time.Time
	Config       quetzalpier.Config
	// Access is the index of the configuration's customers.
	Access *access.Index
	// ConfirmedAt is when the configuration was last confirmed to be current.
	ConfirmedAt time.Time
	VMs         quetzalpier.VMList
	Upstreams   map[string]*Upstream
	// ListedAt is when the first list of upstreams arrived, and PastSoftware holds the
	// software versions of upstreams of a pool that are no longer listed, with the times
	// since when.
	ListedAt     time.Time
	PastSoftware map[string]map[string]time.Time
	// RoutesChangedAt is when the routes began to lead where they do.
	RoutesChangedAt time.Time
	// Helpers are maintained by the reach package, by the ID of the node.
	Helpers map[string]Helper
	// UsedUpstreams holds the IDs of the upstreams that this node uses; nil means
	// all.
	UsedUpstreams map[string]bool
	// TargetVersions is the highest published weight version of each pool.
	TargetVersions map[string]quetzalpier.Version
	// Owners are the owners of pools, which run their jobs and order their engines
	// to load weights.
	Owners map[string]Owner
	// RecentOwners holds the IDs of the last two nodes that were known to own each pool, the
	// latest first. A former owner may process the pool until another node takes it over.
	RecentOwners map[string][2]string
	// Retiring holds the IDs of the nodes that are to be retired.
	Retiring map[string]bool
	// Strikes and CrashedAt, the time of the last known crash of an upstream, are
	// maintained by the poison package.
	Strikes   map[uint64]Strike
	CrashedAt time.Time
	// LongPrompt is the number of tokens from which on a prompt is long; zero if prompts are
	// not told apart. Prompts is this node's load by kind of prompt, by pool. Both are used by
	// the pace package.
	LongPrompt int
	Prompts    map[string]PromptLoad
}

// PromptLoad is a load of requests with long and short prompts, whose weights decay; At is
// when they last did.
type PromptLoad struct {
	Long  float64
	Short float64
	At    time.Time
}

// Reachable reports whether a member is not known to be unreachable.
func (s *State) Reachable(id string) bool {
	_, unreachable := s.Unreachable[id]
	return !unreachable
}

// Responsive reports whether clients may be sent to a member: a silent one is left out
// too, since this node serves them itself.
func (s *State) Responsive(id string) bool {
	_, silent := s.Silent[id]
	return !silent && s.Reachable(id)
}

// Answers reports whether requests may be sent to a member: it is usable and not known
// to be unreachable.
func (s *State) Answers(m Member) bool { return m.Usable() && s.Reachable(m.ID) }

// Owner is a pool's owner. Fence is its fencing token, which rises with each
// change of the owner.
type Owner struct {
	Node  string
	Fence uint64
}

// Strike is the number of upstreams that crashed with a fingerprint in flight, and
// the time of the last crash.
type Strike struct {
	Count int
	Last  time.Time
}

// Board is a State protected by a lock.
type Board struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// New returns a board for a node.
func New(self Member) *Board {
	return &Board{
		state: State{
			Self:           self,
			Members:        map[string]Member{},
			Unreachable:    map[string]time.Time{},
			Silent:         map[string]time.Time{},
			Disks:          map[string]Disk{},
			MissingDisks:   map[string]time.Time{},
			Upstreams:      map[string]*Upstream{},
			Helpers:        map[string]Helper{},
			PastSoftware:   map[string]map[string]time.Time{},
			TargetVersions: map[string]quetzalpier.Version{},
			Owners:         map[string]Owner{},
			RecentOwners:   map[string][2]string{},
			Retiring:       map[string]bool{},
			Strikes:        map[uint64]Strike{},
		},
		changed: make(chan struct{}),
	}
}

// Do runs f with the board locked. f must not block.
func (b *Board) Do(f func(*State)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.state)
}

// Update is like Do, but also signals the change to those who wait for it.
func (b *Board) Update(f func(*State)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.state)
	b.state.recordOwners()
	close(b.changed)
	b.changed = make(chan struct{})
}

func (s *State) recordOwners() {
	for pool, owner := range s.Owners {
		if recent := s.RecentOwners[pool]; recent[0] != owner.Node {
			s.RecentOwners[pool] = [2]string{owner.Node, recent[0]}
		}
	}
}

// Changed returns a channel that is closed at the next Update.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// SetVMs applies a list of VMs if it is newer than the current one, and reports
// whether it was. An upstream that is listed as leaving, or is not listed any
// more, gets no new requests.
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
		s.MarkLeaving(id, now)
	}
	return true
}

// SetListed sets the upstreams that have an entry in the key-value service. Unlike
// SetVMs it accepts that a leaving upstream is live again, because an entry can
// expire during an outage of the service. An upstream that restarted with the same
// ID starts with a new state.
func (s *State) SetListed(vms []quetzalpier.VM, now time.Time) {
	if s.ListedAt.IsZero() {
		s.ListedAt = now
	}
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		if u := s.Upstreams[vm.ID]; u != nil && u.VM.Software != vm.Software {
			s.recordPastSoftware(u.VM, now)
		}
		if u := s.Upstreams[vm.ID]; u != nil && (u.VM.Incarnation != vm.Incarnation || u.VM.Software != vm.Software) {
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
		s.MarkLeaving(id, now)
		s.recordPastSoftware(u.VM, now)
		if u.Outstanding == 0 {
			delete(s.Upstreams, id)
		}
	}
}

func (s *State) recordPastSoftware(vm quetzalpier.VM, now time.Time) {
	if s.PastSoftware[vm.Pool] == nil {
		s.PastSoftware[vm.Pool] = map[string]time.Time{}
	}
	s.PastSoftware[vm.Pool][vm.Software] = now
}

// SoleSoftware returns the software version of all upstreams that were listed for a pool
// in the last span. It returns false if there were several, if one is unknown, or if this
// node's list is younger than the span.
func (s *State) SoleSoftware(pool string, span time.Duration, now time.Time) (string, bool) {
	if s.ListedAt.IsZero() || now.Sub(s.ListedAt) < span {
		return "", false
	}
	versions := map[string]bool{}
	for _, u := range s.Upstreams {
		if u.VM.Pool == pool {
			versions[u.VM.Software] = true
		}
	}
	for software, at := range s.PastSoftware[pool] {
		if now.Sub(at) < span {
			versions[software] = true
		}
	}
	if len(versions) != 1 {
		return "", false
	}
	for software := range versions {
		return software, software != ""
	}
	return "", false
}

// SoleOrigin returns the pool and the software version of all upstreams to which a route
// with these targets has led in the last span, under the conditions of SoleSoftware. It
// returns false if the route leads to several pools or if any route changed meanwhile.
func (s *State) SoleOrigin(targets []quetzalpier.Target, span time.Duration, now time.Time) (pool, software string, ok bool) {
	if s.RoutesChangedAt.IsZero() || now.Sub(s.RoutesChangedAt) < span {
		return "", "", false
	}
	for _, target := range targets {
		if pool != "" && target.Pool != pool {
			return "", "", false
		}
		pool = target.Pool
	}
	software, ok = s.SoleSoftware(pool, span, now)
	return pool, software, ok
}

// ApplyConfig is SetConfig with the index of the configuration's customers, which takes time
// to build. It also records when routes lead elsewhere.
func (s *State) ApplyConfig(config quetzalpier.Config, index *access.Index, now time.Time) bool {
	before := s.Config
	if !s.setIndexedConfig(config, index) {
		return false
	}
	same := slices.EqualFunc(before.Routes, config.Routes, func(a, b quetzalpier.Route) bool {
		return a.Host == b.Host && a.Prefix == b.Prefix && slices.Equal(a.Targets, b.Targets)
	})
	if before.Number == 0 || !same {
		s.RoutesChangedAt = now
	}
	return true
}

func (s *State) setVM(vm quetzalpier.VM, now time.Time) {
	u := s.Upstreams[vm.ID]
	if u == nil || u.VM.Addr != vm.Addr {
		saidLeaving := u != nil && u.SaidLeaving && u.VM.Incarnation == vm.Incarnation
		u = &Upstream{Fingerprints: map[uint64]int{}, SaidLeaving: saidLeaving}
		s.Upstreams[vm.ID] = u
	}
	u.VM = vm
	if vm.State == quetzalpier.VMLeaving {
		s.MarkLeaving(vm.ID, now)
	}
}

// MarkLeaving records that an upstream is leaving. SetVMs doesn't undo it,
// because its list lags behind.
func (s *State) MarkLeaving(id string, now time.Time) {
	if u := s.Upstreams[id]; u != nil && u.LeavingAt.IsZero() {
		u.LeavingAt = now
	}
}

// SetReport records an upstream's load report.
func (s *State) SetReport(id string, report quetzalpier.EngineState, now time.Time) {
	u := s.Upstreams[id]
	if u == nil {
		return
	}
	if report.Version != u.Report.Version {
		u.VersionSince = now
	}
	u.Report = report
	u.ReportAt = now
	u.OwnReported = u.Outstanding
	if report.Leaving {
		s.MarkLeaving(id, now)
	}
}

// RaiseTarget raises a pool's target version. It ignores a version that is not
// higher than the current one, and reports whether it raised the target.
func (s *State) RaiseTarget(pool string, version quetzalpier.Version) bool {
	if version <= s.TargetVersions[pool] {
		return false
	}
	s.TargetVersions[pool] = version
	return true
}

// SetConfig applies a configuration if its number is higher than the current one,
// and reports whether it was.
func (s *State) SetConfig(config quetzalpier.Config) bool {
	return s.setIndexedConfig(config, access.NewIndex(&config))
}

func (s *State) setIndexedConfig(config quetzalpier.Config, index *access.Index) bool {
	if config.Number <= s.Config.Number {
		return false
	}
	s.Config, s.Access = config, index
	return true
}

// String returns the state's name.
func (m MemberState) String() string {
	return [...]string{"alive", "draining", "suspect", "out", "left"}[min(max(m, Alive), Left)]
}
