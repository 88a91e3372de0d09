package entry

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"quetzalpier/board"
	"quetzalpier/runner"
	"quetzalpier/wire"
)

// diskRetryAfter is the retry delay for a job that may be on a disk which this node can't ask: a
// VM takes seconds to come back.
const diskRetryAfter = time.Second

// jobDisks are the disks that may hold a job that is not in the key-value service.
type jobDisks struct {
	// nodes are the listed nodes that may have one, and missing describes those whose nodes
	// are not listed.
	nodes   []board.Member
	missing []string
	// named is set if the ID of each disk is known. A disk without one may have replaced
	// another that nobody misses.
	named bool
}

// findDisks returns the disks that may hold a job. One that has been missing for the retention
// time holds no job that is still needed.
func findDisks(s *board.State, retention time.Duration, now time.Time) jobDisks {
	disks := jobDisks{named: true}
	for _, m := range s.Members {
		if m.Disk != "" || m.HasRole(runner.ClassStore) {
			disks.nodes = append(disks.nodes, m)
			disks.named = disks.named && m.Disk != ""
		}
	}
	for id, d := range s.Disks {
		if !d.MissingSince.IsZero() && now.Sub(d.MissingSince) < retention {
			disks.missing = append(disks.missing, "disk "+id+" of node "+d.Node+" is missing")
			disks.named = disks.named && d.Node != "" && d.Node != id
		}
	}
	for node, since := range s.MissingDisks {
		if now.Sub(since) < retention {
			disks.missing = append(disks.missing, "the disk of node "+node+" is missing")
			disks.named = false
		}
	}
	slices.Sort(disks.missing)
	return disks
}

// tolerated returns how many disks may hold the job for all that is known if it is on none of the
// others: an accepted job is on one disk more than may be lost at a time.
func (d jobDisks) tolerated(maxLostDisks int) int {
	if !d.named {
		return 0
	}
	return maxLostDisks
}

// peers returns the addresses of the listed nodes.
func (d jobDisks) peers() []string {
	peers := make([]string, 0, len(d.nodes))
	for _, m := range d.nodes {
		peers = append(peers, m.Peer)
	}
	return peers
}

// mayBeKept returns why a job that is not stored may be on a disk, and when to ask again, or an
// empty string if it is on none.
func (e *Entry) mayBeKept(job string, now time.Time) (reason string, retryAfter time.Duration) {
	var disks jobDisks
	e.Board.Do(func(s *board.State) { disks = findDisks(s, e.Retention, now) })
	unknown, tolerated := disks.missing, disks.tolerated(e.MaxLostDisks)
	if len(unknown) <= tolerated {
		kept, unanswered := e.askDisks(job, disks.nodes)
		if kept != "" {
			return kept, storeRetryDelay
		}
		unknown = append(unknown, unanswered...)
	}
	if len(unknown) > tolerated {
		return unknown[0], diskRetryAfter
	}
	// A node removes the job from its disk once it is stored.
	ctx, cancel := context.WithTimeout(e.ctx, storeCallTimeout)
	defer cancel()
	spec, err := e.readJob(ctx, job)
	switch {
	case err != nil:
		return "the store can't be read: " + err.Error(), storeRetryDelay
	case spec != nil:
		return "it was stored a moment ago", storeRetryDelay
	}
	e.Log.Info().Str("job", job).Strs("asked", disks.peers()).Strs("unknown", unknown).Msg("job is neither stored nor on a disk")
	return "", 0
}

// diskAnswer is what a node says of a job on its disk.
type diskAnswer struct {
	present bool
	err     error
}

// askDisks asks nodes whether they keep a job on their disks. It returns why it is kept, or which
// nodes can't tell.
func (e *Entry) askDisks(job string, nodes []board.Member) (kept string, unanswered []string) {
	answers := make([]diskAnswer, len(nodes))
	var calls conc.WaitGroup
	for i, m := range nodes {
		calls.Go(func() { answers[i] = e.askDisk(job, m) })
	}
	calls.Wait()
	for i, answer := range answers {
		switch {
		case answer.present:
			return nodes[i].Peer + " keeps it", nil
		case answer.err != nil:
			unanswered = append(unanswered, nodes[i].Peer+" does not tell: "+answer.err.Error())
		}
	}
	return "", unanswered
}

// askDisk asks a node whether it keeps a job on the disk that its entry names.
func (e *Entry) askDisk(job string, m board.Member) diskAnswer {
	ctx, cancel := context.WithTimeout(e.ctx, keepCallTimeout)
	defer cancel()
	reply, err := e.Call(ctx, m.Peer, &wire.Call{Kind: &wire.Call_Kept{Kept: &wire.Kept{Job: job}}})
	switch kept := reply.GetKept(); {
	case err != nil:
		return diskAnswer{err: err}
	case kept == nil:
		return diskAnswer{err: errors.New("it has no answer to the question")}
	case !kept.GetPresent() && m.Disk != "" && kept.GetDisk() != m.Disk:
		return diskAnswer{err: errors.Errorf("it has disk %q, not %q", kept.GetDisk(), m.Disk)}
	default:
		return diskAnswer{present: kept.GetPresent()}
	}
}
