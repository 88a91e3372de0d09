// Package relay calls the platform's key-value service, and forwards calls
// through other nodes while the service refuses this node or can't be reached
// from it. The service remains the only authority: a relayed call succeeds, is
// refused or has an unknown outcome, as a direct one does.
package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/sleep"
	"quetzalpier/wire"
)

const (
	// directTimeout is the timeout of a direct call while the service is
	// reachable; a slow service answers in 0.3 s.
	directTimeout = 700 * time.Millisecond
	// timeoutSlack is how much earlier than its context a call may time out.
	timeoutSlack = 20 * time.Millisecond
	// renewTimeout is the timeout of a direct lease renewal and of a write under
	// a lease: enough of the lease must remain to relay the call or to read the
	// key back.
	renewTimeout = 500 * time.Millisecond
	// probeInterval is the first interval between probes of the service while
	// direct calls fail. It doubles up to maxProbeInterval, because the platform
	// counts each probe as a call. If other nodes wait for this node's writes, the
	// interval is urgentProbeInterval.
	probeInterval       = 300 * time.Millisecond
	maxProbeInterval    = 1200 * time.Millisecond
	urgentProbeInterval = 200 * time.Millisecond
	// watchGrace is how long after its end a watch may be answered before the service is asked
	// whether it answers at all.
	watchGrace = 350 * time.Millisecond
	// maxRelayedWatch bounds a relayed watch, so that this node soon returns to
	// direct watches.
	maxRelayedWatch = time.Second
	// rangeTimeout is the timeout of a direct read of a prefix, whose size has no
	// bound. The client of the service limits each of its pages.
	rangeTimeout = 15 * time.Second
	// pageTimeout is the timeout of a direct read of a page of a prefix.
	pageTimeout = 3 * time.Second
	// relayTimeout is the timeout of a relayed call over all peers. peerTimeout is
	// the timeout per peer if the call may be repeated, since a peer can be
	// unreachable, too.
	relayTimeout = 900 * time.Millisecond
	peerTimeout  = 300 * time.Millisecond
	// maxRelayPeers is the maximum number of peers tried for one call.
	maxRelayPeers = 3
)

// KV is a client of the key-value service that calls it directly or through
// other nodes.
type KV struct {
	Direct quetzalpier.KV
	// Peers returns the addresses of the nodes that can relay calls.
	Peers func() []string
	// Call sends a call to another node.
	Call func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
	// Reset closes the direct connections after a call got no answer.
	Reset func()
	// WritesAwaited reports whether other nodes wait for this node's writes; nil
	// means never.
	WritesAwaited func() bool
	Log           zerolog.Logger

	mu           sync.Mutex
	directFailed bool
	recoveredAt  time.Time
	// access is canceled by loseAccess when direct calls begin to fail; nil if no direct watch
	// was made since they succeed.
	access     context.Context
	loseAccess context.CancelFunc
	// resetDone is set once the direct connections were closed during the present
	// outage.
	resetDone bool
	// lastRelay is the address of the node that relayed the last call.
	lastRelay string
}

var _ quetzalpier.KV = (*KV)(nil)

// DirectFailed reports whether the last direct call was refused or got no answer.
func (k *KV) DirectFailed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.directFailed
}

// StableFor reports whether direct calls have worked for longer than during.
func (k *KV) StableFor(during time.Duration, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.directFailed && now.Sub(k.recoveredAt) > during
}

// Get implements quetzalpier.KV.
func (k *KV) Get(ctx context.Context, key string) (entry quetzalpier.Entry, err error) {
	err = k.do(ctx, directTimeout, true, func(ctx context.Context) error {
		entry, err = k.Direct.Get(ctx, key)
		return err
	}, &wire.Store{Get: key}, func(s *wire.Stored) {
		entry = quetzalpier.Entry{Key: key}
		for _, found := range wire.UnpackEntries(s.GetEntries()) {
			entry = found
		}
	})
	return entry, err
}

// Range implements quetzalpier.KV.
func (k *KV) Range(ctx context.Context, prefix string, stale bool) (found quetzalpier.Changes, err error) {
	err = k.do(ctx, rangeTimeout, true, func(ctx context.Context) error {
		found, err = k.Direct.Range(ctx, prefix, stale)
		return err
	}, &wire.Store{Range: prefix}, func(s *wire.Stored) {
		found = quetzalpier.Changes{Entries: wire.UnpackEntries(s.GetEntries()), Rev: s.GetRev()}
	})
	return found, err
}

// RangeFrom implements quetzalpier.KV.
func (k *KV) RangeFrom(ctx context.Context, prefix, after string, stale bool) (found quetzalpier.Changes, more bool, err error) {
	err = k.do(ctx, pageTimeout, true, func(ctx context.Context) error {
		found, more, err = k.Direct.RangeFrom(ctx, prefix, after, stale)
		return err
	}, &wire.Store{Range: prefix, Page: true, After: after}, func(s *wire.Stored) {
		found, more = quetzalpier.Changes{Entries: wire.UnpackEntries(s.GetEntries()), Rev: s.GetRev()}, s.GetMore()
	})
	return found, more, err
}

// WatchPrefix implements quetzalpier.KV.
func (k *KV) WatchPrefix(ctx context.Context, prefix string, rev uint64, wait time.Duration) (found quetzalpier.Changes, err error) {
	message := &wire.Store{Follow: &wire.Follow{Prefix: prefix, Rev: rev, Wait: uint64(min(wait, maxRelayedWatch).Milliseconds())}}
	err = k.do(ctx, wait+directTimeout, true, func(ctx context.Context) error {
		found, err = k.watchDirect(ctx, prefix, rev, wait)
		return err
	}, message, func(s *wire.Stored) {
		found = quetzalpier.Changes{Entries: wire.UnpackEntries(s.GetEntries()), Rev: s.GetRev()}
	})
	return found, err
}

// watchDirect makes a direct watch. A healthy service may close a waiting watch, or its answer
// may be lost; the caller then has to read the changes that the watch may have missed. If the
// service answers nothing else either, it is silent. A watch ends at once when other direct
// calls begin to fail: it may get no answer, or only one of before.
func (k *KV) watchDirect(ctx context.Context, prefix string, rev uint64, wait time.Duration) (quetzalpier.Changes, error) {
	start := time.Now()
	access := k.directAccess()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(access, cancel)()
	var answerLost atomic.Bool
	check := time.AfterFunc(wait+watchGrace, func() {
		if _, err := k.Direct.Get(ctx, probeKey); err == nil {
			answerLost.Store(true)
			cancel()
		}
	})
	defer check.Stop()
	found, err := k.Direct.WatchPrefix(ctx, prefix, rev, wait)
	if err != nil && access.Err() != nil {
		return found, &lostWatchError{Prefix: prefix}
	}
	unanswered := time.Since(start) >= wait+directTimeout-timeoutSlack
	if err != nil && answerLost.Load() || isOutcomeUnknown(err) && ctx.Err() == nil && !unanswered {
		err = &quetzalpier.CompactedError{Prefix: prefix, Rev: rev, Cut: true}
	}
	return found, err
}

// directAccess returns a context that ends when direct calls begin to fail.
func (k *KV) directAccess() context.Context {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.access == nil {
		k.access, k.loseAccess = context.WithCancel(context.Background())
		if k.directFailed {
			k.loseAccess()
		}
	}
	return k.access
}

// Commit implements quetzalpier.KV.
func (k *KV) Commit(ctx context.Context, txn quetzalpier.Txn) (uint64, error) {
	return k.commit(ctx, 2*directTimeout, txn)
}

func (k *KV) commit(ctx context.Context, timeout time.Duration, txn quetzalpier.Txn) (rev uint64, err error) {
	err = k.do(ctx, timeout, false, func(ctx context.Context) error {
		rev, err = k.Direct.Commit(ctx, txn)
		return err
	}, &wire.Store{Commit: wire.PackTxn(txn)}, func(s *wire.Stored) { rev = s.GetRev() })
	return rev, err
}

// CompareAndSwap implements quetzalpier.KV. A key with a lease is a name that a
// node holds, so the outcome of the write must be known before the lease
// expires.
func (k *KV) CompareAndSwap(ctx context.Context, key string, value []byte, rev uint64, lease string) (uint64, error) {
	timeout := 2 * directTimeout
	if lease != "" {
		timeout = renewTimeout
	}
	return k.commit(ctx, timeout, quetzalpier.Txn{
		Expect: map[string]uint64{key: rev},
		Writes: []quetzalpier.Write{{Key: key, Value: value, Lease: lease}},
	})
}

// Delete implements quetzalpier.KV.
func (k *KV) Delete(ctx context.Context, key string, rev uint64) error {
	_, err := k.Commit(ctx, quetzalpier.Txn{Expect: map[string]uint64{key: rev}, Deletes: []string{key}})
	return err
}

// WatchKey implements quetzalpier.KV. It is never relayed.
func (k *KV) WatchKey(ctx context.Context, key string, rev uint64, wait time.Duration) (quetzalpier.Entry, error) {
	return k.Direct.WatchKey(ctx, key, rev, wait)
}

// Grant implements quetzalpier.KV.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (lease string, err error) {
	err = k.do(ctx, directTimeout, true, func(ctx context.Context) error {
		lease, err = k.Direct.Grant(ctx, ttl)
		return err
	}, &wire.Store{Grant: uint64(ttl.Milliseconds())}, func(s *wire.Stored) { lease = s.GetLease() })
	return lease, err
}

// Renew implements quetzalpier.KV.
func (k *KV) Renew(ctx context.Context, lease string) error {
	return k.do(ctx, renewTimeout, true, func(ctx context.Context) error {
		return k.Direct.Renew(ctx, lease)
	}, &wire.Store{Renew: lease}, func(*wire.Stored) {})
}

// Release implements quetzalpier.KV. It is never relayed.
func (k *KV) Release(ctx context.Context, lease string) error { return k.Direct.Release(ctx, lease) }

// do calls the service directly, and through other nodes if that fails. A call
// that may have taken effect is repeated only if it is idempotent. decode reads
// the reply of a relayed call.
func (k *KV) do(ctx context.Context, timeout time.Duration, idempotent bool, call func(context.Context) error, message *wire.Store, decode func(*wire.Stored)) error {
	var err error
	direct := !k.DirectFailed()
	if direct {
		limited, cancel := context.WithTimeout(ctx, timeout)
		err = call(limited)
		cancel()
		if err != nil && errors.Is(ctx.Err(), context.Canceled) {
			// The caller canceled the call, so the error does not indicate an
			// outage.
			return err
		}
		if !isCutWatch(err) && !isLostWatch(err) {
			k.recordDirect(err)
		}
		if !unavailable(err) || (isOutcomeUnknown(err) && !idempotent) {
			return err
		}
	}
	relayed := k.relay(ctx, message, idempotent, decode)
	if direct && isRefused(relayed) {
		return err
	}
	return relayed
}

// recordDirect records the result of a direct call and logs when the service
// becomes unavailable or available again.
func (k *KV) recordDirect(err error) {
	failed := unavailable(err)
	k.mu.Lock()
	changed := failed != k.directFailed
	k.directFailed = failed
	if changed && !failed {
		k.recoveredAt = time.Now()
		k.access = nil
	}
	if changed && failed && k.access != nil {
		k.loseAccess()
	}
	// Watches that wait on connections of before the outage may get no answer.
	reset := isOutcomeUnknown(err) && !k.resetDone
	k.resetDone = failed && (k.resetDone || reset)
	k.mu.Unlock()
	if changed {
		k.Log.Warn().Bool("lost", failed).AnErr("cause", err).Msg("direct access to the key-value service was lost or restored")
	}
	if reset {
		k.Reset()
	}
}

// Run probes the service while direct calls fail, until ctx ends.
func (k *KV) Run(ctx context.Context) {
	pause := probeInterval
	for sleep.For(ctx, pause) {
		if !k.DirectFailed() {
			pause = probeInterval
			continue
		}
		limited, cancel := context.WithTimeout(ctx, directTimeout)
		_, err := k.Direct.Get(limited, probeKey)
		cancel()
		k.recordDirect(err)
		pause = min(2*pause, maxProbeInterval)
		if k.WritesAwaited != nil && k.WritesAwaited() {
			pause = urgentProbeInterval
		}
	}
}

// probeKey is the key that a probe reads; it need not exist.
const probeKey = "sys/probe"

func (k *KV) relay(ctx context.Context, message *wire.Store, idempotent bool, decode func(*wire.Stored)) error {
	wait := wire.Millis(message.GetFollow().GetWait())
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+wait)
	defer cancel()
	each := relayTimeout + wait
	if idempotent {
		each = peerTimeout + wait
	}
	var err error = &quetzalpier.RefusedError{Call: "relay", Reason: "no other node can relay the call"}
	for _, peer := range k.relayPeers() {
		var stored *wire.Stored
		stored, err = k.relayVia(ctx, peer, each, message)
		if err == nil {
			decode(stored)
			return nil
		}
		if !isRefused(err) && !(idempotent && isOutcomeUnknown(err)) {
			return err
		}
	}
	return err
}

// callName names a relayed call in log lines.
func callName(message *wire.Store) string {
	switch {
	case message.GetCommit() != nil:
		return "commit"
	case message.GetGet() != "":
		return "get " + message.GetGet()
	case message.GetRange() != "":
		return "range " + message.GetRange()
	case message.GetFollow() != nil:
		return "watch " + message.GetFollow().GetPrefix()
	case message.GetRenew() != "":
		return "renew"
	default:
		return "grant"
	}
}

// relayPeers returns the peers to try in random order, beginning with the one
// that relayed the last call.
func (k *KV) relayPeers() []string {
	peers := k.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	k.mu.Lock()
	defer k.mu.Unlock()
	if i := slices.Index(peers, k.lastRelay); i > 0 {
		peers[0], peers[i] = peers[i], peers[0]
	}
	return peers[:min(len(peers), maxRelayPeers)]
}

// relayVia makes a call through one peer.
func (k *KV) relayVia(ctx context.Context, peer string, timeout time.Duration, message *wire.Store) (*wire.Stored, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := k.Call(ctx, peer, &wire.Call{Kind: &wire.Call_Store{Store: message}})
	served := err == nil && !isRefused(wire.UnpackFailure(peer, reply.GetStored().GetFailure()))
	k.mu.Lock()
	switch {
	case served:
		k.lastRelay = peer
	case k.lastRelay == peer:
		k.lastRelay = ""
	}
	k.mu.Unlock()
	if err != nil {
		k.Log.Warn().Str("peer", peer).Str("call", callName(message)).Err(err).Dur("took_ms", time.Since(start)).Msg("call through another node failed")
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		// The peer's process is not running, so nothing was sent.
		return nil, &quetzalpier.RefusedError{Call: "relay by " + peer, Reason: err.Error()}
	}
	if err != nil {
		return nil, &quetzalpier.OutcomeUnknownError{Call: "relay by " + peer, Reason: err.Error()}
	}
	stored := reply.GetStored()
	return stored, wire.UnpackFailure("relay by "+peer, stored.GetFailure())
}

// Serve calls the service on behalf of another node. It does not relay the
// call further.
func (k *KV) Serve(ctx context.Context, message *wire.Store) *wire.Stored {
	if k.DirectFailed() {
		return &wire.Stored{Failure: wire.PackFailure(&quetzalpier.RefusedError{Reason: "the key-value service refuses or does not answer this node, too"})}
	}
	stored := &wire.Stored{}
	var err error
	switch {
	case message.GetCommit() != nil:
		stored.Rev, err = k.Direct.Commit(ctx, wire.UnpackTxn(message.GetCommit()))
	case message.GetGet() != "":
		var entry quetzalpier.Entry
		if entry, err = k.Direct.Get(ctx, message.GetGet()); err == nil && entry.Rev != 0 {
			stored.Entries = wire.PackEntries([]quetzalpier.Entry{entry})
		}
	case message.GetPage():
		var found quetzalpier.Changes
		found, stored.More, err = k.Direct.RangeFrom(ctx, message.GetRange(), message.GetAfter(), false)
		stored.Entries, stored.Rev = wire.PackEntries(found.Entries), found.Rev
	case message.GetRange() != "":
		var found quetzalpier.Changes
		found, err = k.Direct.Range(ctx, message.GetRange(), false)
		stored.Entries, stored.Rev = wire.PackEntries(found.Entries), found.Rev
	case message.GetFollow() != nil:
		var found quetzalpier.Changes
		follow := message.GetFollow()
		found, err = k.watchDirect(ctx, follow.GetPrefix(), follow.GetRev(), wire.Millis(follow.GetWait()))
		stored.Entries, stored.Rev = wire.PackEntries(found.Entries), found.Rev
	case message.GetRenew() != "":
		err = k.Direct.Renew(ctx, message.GetRenew())
	case message.GetGrant() != 0:
		stored.Lease, err = k.Direct.Grant(ctx, wire.Millis(message.GetGrant()))
	default:
		err = &quetzalpier.RefusedError{Call: "relay", Reason: "the message contains no call"}
	}
	stored.Failure = wire.PackFailure(err)
	return stored
}

// lostWatchError is the end of a direct watch because other direct calls began to fail.
type lostWatchError struct{ Prefix string }

func (e *lostWatchError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the refusal that the watch amounts to: another node may answer it.
func (e *lostWatchError) Unwrap() error {
	return &quetzalpier.RefusedError{Call: "watch " + e.Prefix, Reason: "direct access was lost"}
}

func isLostWatch(err error) bool {
	var lost *lostWatchError
	return errors.As(err, &lost)
}

// unavailable reports whether the service refused a call or did not answer.
func unavailable(err error) bool {
	var refused *quetzalpier.RefusedError
	if errors.As(err, &refused) {
		return !refused.Invalid
	}
	return isOutcomeUnknown(err)
}

// isCutWatch reports whether a watch was closed without an answer. That shows neither
// that the service is available nor that it is not.
func isCutWatch(err error) bool {
	var compacted *quetzalpier.CompactedError
	return errors.As(err, &compacted) && compacted.Cut
}

func isOutcomeUnknown(err error) bool {
	var u *quetzalpier.OutcomeUnknownError
	return errors.As(err, &u)
}

func isRefused(err error) bool {
	var r *quetzalpier.RefusedError
	return errors.As(err, &r)
}
