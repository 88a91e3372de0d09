package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/runner"
	"quetzalpier/sleep"
	"quetzalpier/vault"
)

const (
	// evictTimeout limits the removal of an entry.
	evictTimeout = time.Second
	// minEvictionPause and maxEvictionPause bound the time between two removals of the
	// entry of a node that runs but that its probers don't reach. It doubles with each.
	minEvictionPause = 3 * time.Second
	maxEvictionPause = 96 * time.Second
)

// evictable reports whether the entry of an unreachable member may be removed now. A
// member that wrote its entry again has shown that it runs. The entry of an owner goes
// with its lease, which is short; until then the owner may send orders.
func evictable(s *board.State, m board.Member, now time.Time) bool {
	for _, owner := range s.Owners {
		if owner.Node == m.ID {
			return false
		}
	}
	if m.Evictions == 0 {
		return true
	}
	pause := sleep.Backoff(m.Evictions, minEvictionPause, maxEvictionPause, 0)
	return now.Sub(m.Since) >= pause
}

// contactTimeout limits the call that shows whether the key-value service answers.
const contactTimeout = 300 * time.Millisecond

// inContact reports whether the key-value service answers this node itself.
func (n *Node) inContact(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	_, err := n.kv.Direct.Get(ctx, vault.Nodes+n.Settings.Name)
	return err == nil
}

// evict removes the entry of a member that does not answer, which would otherwise stay
// for ever. A member that runs writes it again.
func (n *Node) evict(ctx context.Context, m board.Member) {
	due := false
	n.Board.Do(func(s *board.State) {
		current, listed := s.Members[m.ID]
		due = listed && current.Rev == m.Rev && evictable(s, current, time.Now())
	})
	if !due || n.kv.DirectFailed() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, evictTimeout)
	defer cancel()
	key := vault.Nodes + m.ID
	txn := quetzalpier.Txn{Expect: map[string]uint64{key: m.Rev}, Deletes: []string{key}}
	if m.Disk == "" && m.HasRole(runner.ClassStore) {
		// Earlier builds write no record of their disk.
		write, err := writeDisk(m.ID, m.ID)
		if err != nil {
			n.Log.Error().Str("member", m.ID).Err(err).Msg("entry of a node that does not answer could not be removed")
			return
		}
		txn.Writes = []quetzalpier.Write{write}
	}
	_, err := n.kv.Commit(ctx, txn)
	var changed *quetzalpier.RevisionError
	switch {
	case err == nil:
		n.Log.Warn().Str("member", m.ID).Uint64("rev", m.Rev).Msg("removed the entry of a node that does not answer")
	case errors.As(err, &changed):
		n.Log.Debug().Str("member", m.ID).Err(err).Msg("entry of a node that does not answer was removed or written by another node")
	default:
		n.Log.Warn().Str("member", m.ID).Uint64("rev", m.Rev).Err(err).Msg("entry of a node that does not answer could not be removed")
	}
}
