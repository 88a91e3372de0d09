// Package duty decides which node makes the platform's calls that one node at a time makes,
// and with which fencing token.
package duty

import (
	"slices"
	"strings"
	"time"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/sleep"
)

const (
	// retryBase and retryMax bound the pause before the key of the holder is read or written
	// again after a failure or a refused token.
	retryBase = 250 * time.Millisecond
	retryMax  = 5 * time.Second
	// limitedPause is how long all duties pause after the platform got too many calls. It
	// counts them by the second.
	limitedPause = time.Second
	// otherPoolPauses is how many pauses the node makes if the key was written by the owner of
	// another pool, who stops only once the configuration that changed the pool is in force.
	otherPoolPauses = 2
)

// Pool returns the pool whose owner holds the duties: the first one by name that has batch
// routes, or that may have jobs if there are no such routes. It returns an empty string if there is
// none.
func Pool(s *board.State) string {
	var pools []string
	for _, route := range s.Config.Routes {
		for _, target := range route.Targets {
			if route.Batch {
				pools = append(pools, target.Pool)
			}
		}
	}
	if len(pools) == 0 {
		pools = s.Config.JobPools()
	}
	if len(pools) == 0 {
		return ""
	}
	return slices.Min(pools)
}

// Ownership is a pool that the node owns by a valid lease, with the fencing token of the
// pool. The zero value means that it does not own the pool of the duties.
type Ownership struct {
	Pool  string
	Fence uint64
}

// Action is what a Machine needs next.
type Action int

// The actions.
const (
	None Action = iota
	// Read reads the key of the holder.
	Read
	// Claim writes Step.Value to it if it has revision Step.Expect and the node still owns
	// the pool.
	Claim
)

// Step is an action and its arguments.
type Step struct {
	Action Action
	Expect uint64
	Value  []byte
}

// Machine decides when a process holds the duties. It does no I/O: Next returns what to do,
// and the other methods record what happened.
type Machine struct {
	// Node is the name of the node, and Process differs for each of its processes.
	Node    string
	Process string
	// Pause is the least time between calls of two processes.
	Pause time.Duration

	// own is the ownership under which token was claimed or confirmed.
	own   Ownership
	token uint64
	// since is when own was claimed or confirmed, and from when calls may be made.
	since time.Time
	from  time.Time
	// spent is the last token that the platform refused, and refusals counts those in a row.
	spent    uint64
	refusals int
	failures int
	retryAt  time.Time
	// limitedUntil is the end of the pause after too many calls.
	limitedUntil time.Time
	// entry is the key as it was last read, under readFor; read reports whether it is still to
	// be used.
	entry   quetzalpier.Entry
	read    bool
	readFor Ownership
}

// Next returns the next step of a process with the given ownership.
func (m *Machine) Next(own Ownership, now time.Time) Step {
	if own.Fence == 0 {
		m.read = false
		return Step{}
	}
	if _, _, ok := m.Token(own); ok || now.Before(m.retryAt) {
		return Step{}
	}
	// If the pool was lost and won back since the read, another process may have written.
	if !m.read || m.readFor != own {
		return Step{Action: Read}
	}
	if m.token > 0 && m.entry.Rev == m.token && m.token != m.spent {
		// No other process has written since, so the token is still the newest one.
		m.own, m.since, m.read = own, now, false
		return Step{}
	}
	// The pause begins before the write: if its outcome is not known, the key shows this
	// process as the writer before the next attempt.
	if from := now.Add(m.pauseAfter(own)); from.After(m.from) {
		m.from = from
	}
	return Step{Action: Claim, Expect: m.entry.Rev, Value: []byte(m.Node + " " + m.Process + " " + own.Pool)}
}

// pauseAfter returns how long the last writer of the key may still make calls, or calls of it
// may be under way.
func (m *Machine) pauseAfter(own Ownership) time.Duration {
	_, process, pool := parseValue(m.entry.Value)
	switch {
	case m.entry.Rev == 0 || process == m.Process:
		return 0
	case pool != own.Pool:
		return otherPoolPauses * m.Pause
	}
	return m.Pause
}

// parseValue returns the parts of the value of the holder's key.
func parseValue(value []byte) (node, process, pool string) {
	node, rest, _ := strings.Cut(string(value), " ")
	process, pool, _ = strings.Cut(rest, " ")
	return node, process, pool
}

// HasRead records the value of the holder's key, which was read under the ownership that the
// step was made for.
func (m *Machine) HasRead(own Ownership, entry quetzalpier.Entry) {
	m.entry, m.read, m.readFor = entry, true, own
}

// Claimed records that the key was written at revision rev, under the ownership that the
// step was made for.
func (m *Machine) Claimed(own Ownership, rev uint64, now time.Time) {
	if m.own != own {
		m.own, m.since = own, now
	}
	m.token, m.read, m.failures = rev, false, 0
}

// Failed records that a step failed or that its outcome is unknown.
func (m *Machine) Failed(now time.Time) {
	m.failures++
	m.read = false
	m.retryAt = now.Add(sleep.Backoff(m.failures, retryBase, retryMax, 0))
}

// Accepted records that the platform accepted a call with the token.
func (m *Machine) Accepted(token uint64) {
	if token == m.token {
		m.refusals = 0
	}
}

// Refused records that the platform refused the token, which is not used again.
func (m *Machine) Refused(token uint64, now time.Time) {
	if token != m.token || token == m.spent {
		return
	}
	m.spent, m.read = token, false
	if m.refusals++; m.refusals > 1 {
		m.retryAt = now.Add(sleep.Backoff(m.refusals-1, retryBase, retryMax, 0))
	}
}

// Superseded records that the store has a newer token than this one.
func (m *Machine) Superseded(token uint64) {
	if token == m.token {
		m.own, m.read = Ownership{}, false
	}
}

// Limited records that the platform got too many calls.
func (m *Machine) Limited(now time.Time) { m.limitedUntil = now.Add(limitedPause) }

// Token returns the node's token and since when the process has owned the pool and held the
// duties without a gap. It returns false if it does not hold them. Calls to the platform need
// a Turn.
func (m *Machine) Token(own Ownership) (token uint64, since time.Time, ok bool) {
	return m.token, m.since, own.Fence != 0 && own == m.own && m.token != m.spent
}

// Turn returns the turn of a process with the given ownership. It returns false if it must
// make no call now.
func (m *Machine) Turn(own Ownership, now time.Time) (quetzalpier.Turn, bool) {
	token, _, ok := m.Token(own)
	if !ok || now.Before(m.from) || now.Before(m.limitedUntil) {
		return quetzalpier.Turn{}, false
	}
	return quetzalpier.Turn{Holder: m.Node, Token: token}, true
}
