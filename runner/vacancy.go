package runner

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"quetzalpier/board"
	"quetzalpier/hash"
	"quetzalpier/wire"
)

const (
	// standbyCandidates is how many of the first candidates for a pool are asked whether
	// they process it, besides its last owner, and standbyTimeout limits the calls.
	standbyCandidates = 2
	standbyTimeout    = 150 * time.Millisecond
	// standbyLead is how long the other candidates leave a pool to a node that already
	// processes it, which may hear later than they that the pool has no owner.
	standbyLead = time.Second
	// unstablePeriod is how long after an outage of the key-value service other nodes may
	// process a pool although they don't own it.
	unstablePeriod = 5 * time.Second
)

// vacancy is the time since which a pool has no owner, and what the nodes that may
// process it all the same have answered.
type vacancy struct {
	since time.Time

	mu       sync.Mutex
	answered bool
	standby  bool
}

// vacancy returns the vacancy of a pool, and asks for a standby when it begins.
func (r *Runner) vacancy(ctx context.Context, pool string, now time.Time) *vacancy {
	if v := r.vacancies[pool]; v != nil {
		return v
	}
	v := &vacancy{since: now}
	r.vacancies[pool] = v
	r.goroutines.Go(func() {
		standby := r.findStandby(ctx, pool)
		v.mu.Lock()
		defer v.mu.Unlock()
		v.answered, v.standby = true, standby != ""
	})
	return v
}

// mayTake reports whether the candidate of the given rank may take over the pool now.
// stable reports whether the key-value service has been available to it for a while.
//
// Load pattern: the owner is lost in an outage of the service, another node runs the jobs
// submitted meanwhile, and all candidates see the outage end within milliseconds.
func (v *vacancy) mayTake(rank int, stable bool, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	delay := takeOverDelay(rank)
	switch {
	case v.standby:
		delay += standbyLead
	case !v.answered && !stable:
		delay = max(delay, standbyTimeout)
	}
	return now.Sub(v.since) >= delay
}

func takeOverDelay(rank int) time.Duration { return time.Duration(rank) * candidateDelay }

func (r *Runner) kvStable(now time.Time) bool {
	return r.KVStableFor == nil || r.KVStableFor(unstablePeriod, now)
}

// setLastOwner records the last known owner of a pool.
func (r *Runner) setLastOwner(pool, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastOwners[pool] = node
}

// findStandby asks the nodes that may process a pool without owning it whether one does:
// its last owner, and the first candidates, to which jobs go in an outage. It returns the
// address of one that does, or an empty string.
func (r *Runner) findStandby(ctx context.Context, pool string) (found string) {
	ctx, cancel := context.WithTimeout(ctx, standbyTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls conc.WaitGroup
	for _, peer := range r.standbyPeers(pool) {
		calls.Go(func() {
			reply, err := r.Call(ctx, peer, &wire.Call{Kind: &wire.Call_Standby{Standby: &wire.Standby{Pool: pool}}})
			if err != nil {
				r.Log.Debug().Str("pool", pool).Str("peer", peer).Err(err).Msg("candidate for a pool did not say whether it processes it")
				return
			}
			if reply.GetStandby().GetActive() {
				mu.Lock()
				found = peer
				mu.Unlock()
				cancel()
			}
		})
	}
	calls.Wait()
	return found
}

func (r *Runner) standbyPeers(pool string) []string {
	r.mu.Lock()
	last := r.lastOwners[pool]
	r.mu.Unlock()
	var peers []string
	r.Board.Do(func(s *board.State) {
		var ids []string
		for id, m := range s.Members {
			if id != s.Self.ID && id != last && s.Answers(m) && m.HasRole(ClassStore) {
				ids = append(ids, id)
			}
		}
		for _, id := range append(hash.Owners(pool, ids, standbyCandidates), last) {
			if m, listed := s.Members[id]; listed && id != s.Self.ID {
				peers = append(peers, m.Peer)
			}
		}
	})
	return peers
}

// IsStandby reports whether this node processes a pool and may take it over.
func (r *Runner) IsStandby(pool string) bool {
	candidate := false
	r.Board.Do(func(s *board.State) { _, candidate = candidateRank(s, pool) })
	return candidate && r.runner(pool) != nil
}

// Active reports whether this node processes any pool.
func (r *Runner) Active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runners) > 0
}
