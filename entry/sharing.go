package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"quetzalpier/board"
	"quetzalpier/sleep"
)

// shareEnd tells the nodes that run the job's tasks, or would take them over, of an end that
// this node could not store, so that they stop the tasks and store the end as well.
func (e *Entry) shareEnd(r *request, job string) {
	end := e.addUnstored(r, job)
	if end == nil {
		return
	}
	select {
	case end.sharing <- struct{}{}:
		e.workers.Go(func() {
			defer func() { <-end.sharing }()
			e.share(end.ctx, end)
		})
	default:
	}
}

// share asks other nodes to store an end. It reports whether all have answered. The caller
// holds the end's sharing.
func (e *Entry) share(ctx context.Context, end *unstoredEnd) bool {
	all := e.notifyOnce(ctx, e.otherEndReceivers(), end.call, end.answers)
	e.mu.Lock()
	defer e.mu.Unlock()
	for node, reply := range end.answers {
		if reply.GetKept().GetPresent() {
			end.keepers[node] = true
		}
	}
	return all
}

// countKeepers returns the number of nodes that store an end as well and are still there: a
// lost one may not have stored it, and one that registered anew has forgotten it.
func (e *Entry) countKeepers(end *unstoredEnd) int {
	var present []registration
	e.Board.Do(func(s *board.State) {
		for _, m := range s.Members {
			if s.Answers(m) {
				present = append(present, registrationOf(m))
			}
		}
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, node := range present {
		if end.keepers[node] {
			count++
		}
	}
	return count
}

// endReceivers returns the members that process the jobs of pools, did so until lately, or
// would take them over; this node may be one of them. owned reports whether the owners of all
// pools with jobs are known.
func (e *Entry) endReceivers() (members []board.Member, owned bool) {
	pools, ids := map[string]bool{}, map[string]bool{}
	owned = true
	e.Board.Do(func(s *board.State) {
		for pool, recent := range s.RecentOwners {
			pools[pool] = true
			for _, id := range recent {
				if m, listed := s.Members[id]; listed && !ids[id] {
					ids[id], members = true, append(members, m)
				}
			}
		}
		for _, pool := range s.Config.JobPools() {
			pools[pool] = true
			_, known := s.Members[s.Owners[pool].Node]
			owned = owned && known
		}
	})
	for pool := range pools {
		for _, m := range e.keepers(pool) {
			if !ids[m.ID] {
				ids[m.ID], members = true, append(members, m)
			}
		}
	}
	return members, owned
}

// otherEndReceivers returns the endReceivers without this node.
func (e *Entry) otherEndReceivers() []board.Member {
	var self string
	e.Board.Do(func(s *board.State) { self = s.Self.Peer })
	members, _ := e.endReceivers()
	return slices.DeleteFunc(members, func(m board.Member) bool { return m.Peer == self })
}

// handOverEnds asks other nodes to store the ends that too few store yet.
func (e *Entry) handOverEnds(ctx context.Context) {
	var calls conc.WaitGroup
	for _, end := range e.copyUnstored() {
		calls.Go(func() {
			for failures := 1; failures <= maxNotices; failures++ {
				select {
				case end.sharing <- struct{}{}:
				case <-ctx.Done():
					return
				}
				all := e.share(ctx, end)
				<-end.sharing
				if all || e.countKeepers(end) >= endKeepers || end.ctx.Err() != nil || !sleep.For(ctx, storePause(failures)) {
					return
				}
			}
		})
	}
	calls.Wait()
}

// copyUnstored returns a copy of the ends that are still to be stored.
func (e *Entry) copyUnstored() map[endKey]*unstoredEnd {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.unstoredEnds)
}

// logUnstoredEnds logs the ends that are forgotten with this node. Those whose clients were not
// checked are not handed over: other nodes would store them for anyone.
func (e *Entry) logUnstoredEnds() {
	const message = "node stops without having stored the end of a job"
	for key, end := range e.copyUnstored() {
		if e.countKeepers(end) == 0 {
			e.Log.Error().Str("job", key.job).Str("customer", key.customer).Msg(message)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for r, job := range e.uncheckedEnds {
		e.Log.Error().Str("job", job).Bool("unchecked", true).Dur("age_ms", time.Since(r.start)).Msg(message)
	}
}
