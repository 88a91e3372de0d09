package fleet

import (
	"context"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/mirror"
	"quetzalpier/platform"
	"quetzalpier/sleep"
)

// upstreamList is the list of upstreams. An entry that is missing after an
// outage of the key-value service stays in use until the upstream has had time
// to write it again.
type upstreamList struct {
	board        *board.Board
	settlePeriod time.Duration
	log          zerolog.Logger
	// quiet reports whether another node logs the same changes; nil means that none does.
	quiet func() bool

	mu        sync.Mutex
	current   map[string]quetzalpier.VM
	expiresAt map[string]time.Time
	// missing holds the entries that the present update lacks, by how long their upstreams
	// stay in use.
	missing map[time.Duration][]string
}

func (v *upstreamList) apply(changed []quetzalpier.Entry, full bool, state mirror.State, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current == nil {
		v.current = map[string]quetzalpier.VM{}
		v.expiresAt = map[string]time.Time{}
		v.missing = map[time.Duration][]string{}
	}
	listed := map[string]bool{}
	changes := upstreamChanges{}
	for _, e := range changed {
		id := strings.TrimPrefix(e.Key, platform.PrefixWorkers)
		if e.Deleted {
			v.expire(id, state, now)
			continue
		}
		vm, err := platform.DecodeVM(e)
		if err != nil {
			v.log.Warn().Str("key", e.Key).Uint64("rev", e.Rev).Err(err).Msg("entry of an upstream could not be decoded")
			// The upstream is removed, even if its previous entry was valid.
			v.expire(id, mirror.State{}, now)
			listed[id] = true
			continue
		}
		listed[id] = true
		changes.add(v.current[id], vm)
		v.current[id] = vm
		delete(v.expiresAt, id)
	}
	if full {
		for id := range v.current {
			if !listed[id] {
				v.expire(id, state, now)
			}
		}
	}
	quiet := v.quiet != nil && v.quiet()
	changes.log(v.log, quiet)
	v.logMissing(quiet)
	v.publish(now)
}

// sameVM reports whether two entries describe the same upstream in the same
// state: most updates are heartbeats without a change.
func sameVM(old, latest quetzalpier.Entry) bool {
	before, err := platform.DecodeVM(old)
	if err != nil {
		return false
	}
	after, err := platform.DecodeVM(latest)
	return err == nil && reflect.DeepEqual(before, after)
}

// expire records that an entry is missing. The upstream stays in use for
// settlePeriod if the service is out, and until settlePeriod after the end of the
// last outage otherwise; the caller holds the lock.
func (v *upstreamList) expire(id string, state mirror.State, now time.Time) {
	until := now
	if state.Failing {
		until = now.Add(v.settlePeriod)
	} else if settledAt := state.RecoveredAt.Add(v.settlePeriod); settledAt.After(now) {
		until = settledAt
	}
	if _, known := v.current[id]; known {
		v.expiresAt[id] = until
		v.missing[until.Sub(now)] = append(v.missing[until.Sub(now)], id)
	}
}

// logMissing logs the entries found missing, a line for all that stay in use for equally
// long; the caller holds the lock.
func (v *upstreamList) logMissing(quiet bool) {
	for believed, ids := range v.missing {
		idLine(changeLine(v.log, quiet), "upstream", ids).Dur("believed_ms", believed).Msg("entry of an upstream is missing")
	}
	clear(v.missing)
}

// publish drops expired entries and writes the list to the board; the caller
// holds the lock.
func (v *upstreamList) publish(now time.Time) {
	for id, until := range v.expiresAt {
		if !now.Before(until) {
			delete(v.current, id)
			delete(v.expiresAt, id)
		}
	}
	list := make([]quetzalpier.VM, 0, len(v.current))
	for _, vm := range v.current {
		list = append(list, vm)
	}
	v.board.Update(func(s *board.State) { s.SetListed(list, now) })
}

// dropExpired periodically publishes the list while entries wait to expire.
func (v *upstreamList) dropExpired(ctx context.Context) {
	for sleep.For(ctx, expiryInterval) {
		v.mu.Lock()
		if len(v.expiresAt) > 0 {
			v.publish(time.Now())
		}
		v.mu.Unlock()
	}
}
