// Package relay reaches the platform's key-value service through other nodes
// while the service turns this node away or a partition lies between. The
// service alone decides; a relayed call has the same three outcomes.
package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/sleep"
	"quetzalpier/wire"
)

const (
	// directTimeout bounds a direct call while nothing is known to be wrong; a
	// slow store answers in 0.3 s.
	directTimeout = 700 * time.Millisecond
	// renewTimeout bounds the direct renewal of a lease and the taking of a name,
	// which must be tried another way or read back before the lease ends.
	renewTimeout = 500 * time.Millisecond
	// probeEvery is the time between two looks at the direct way while it fails;
	// it doubles up to probeLimit, since each look is a call that the platform
	// counts. Eager nodes look every probeEager.
	probeEvery = 300 * time.Millisecond
	probeLimit = 1200 * time.Millisecond
	probeEager = 200 * time.Millisecond
	// relayedWatch bounds a watch through another node, so that this node
	// returns to its own soon.
	relayedWatch = time.Second
	// relayTimeout bounds a call through other nodes, and peerTimeout the part of
	// one of them if the call may be repeated: a node can be out of reach, too.
	relayTimeout = 900 * time.Millisecond
	peerTimeout  = 300 * time.Millisecond
	// peersTried is how many nodes are asked for one call.
	peersTried = 3
)

// KV is a key-value service that is reached directly or through other nodes.
type KV struct {
	Direct quetzalpier.KV
	// Peers returns the addresses of nodes to ask.
	Peers func() []string
	// Call makes a call to another node.
	Call func(ctx context.Context, addr string, call *wire.Call) (*wire.Reply, error)
	// Reset drops the direct connections, as when one of them did not answer.
	Reset func()
	// Eager tells that others wait for this node's writes; nil for never.
	Eager func() bool
	Log   zerolog.Logger

	mu       sync.Mutex
	failed   bool
	returned time.Time
	// helper is the node that relayed the last call.
	helper string
}

var _ quetzalpier.KV = (*KV)(nil)

// Failed tells whether the service turned this node's last direct call away.
func (k *KV) Failed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.failed
}

// Steady tells whether the direct way has worked for the given time.
func (k *KV) Steady(during time.Duration, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.failed && now.Sub(k.returned) > during
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
	err = k.do(ctx, 3*directTimeout, true, func(ctx context.Context) error {
		found, err = k.Direct.Range(ctx, prefix, stale)
		return err
	}, &wire.Store{Range: prefix}, func(s *wire.Stored) {
		found = quetzalpier.Changes{Entries: wire.UnpackEntries(s.GetEntries()), Rev: s.GetRev()}
	})
	return found, err
}

// Follow implements quetzalpier.KV.
func (k *KV) Follow(ctx context.Context, prefix string, rev uint64, wait time.Duration) (found quetzalpier.Changes, err error) {
	message := &wire.Store{Follow: &wire.Follow{Prefix: prefix, Rev: rev, Wait: uint64(min(wait, relayedWatch).Milliseconds())}}
	err = k.do(ctx, wait+directTimeout, true, func(ctx context.Context) error {
		found, err = k.Direct.Follow(ctx, prefix, rev, wait)
		if unsure(err) && ctx.Err() == nil {
			// The service may cut a watch that waits, and is well. What the watch
			// did not tell is read.
			err = &quetzalpier.GoneError{Prefix: prefix, Rev: rev}
		}
		return err
	}, message, func(s *wire.Stored) {
		found = quetzalpier.Changes{Entries: wire.UnpackEntries(s.GetEntries()), Rev: s.GetRev()}
	})
	return found, err
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

// Swap implements quetzalpier.KV. A key under a lease is a name: whether it was
// taken must be known before the lease ends.
func (k *KV) Swap(ctx context.Context, key string, value []byte, rev uint64, lease string) (uint64, error) {
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

// Watch implements quetzalpier.KV, directly only.
func (k *KV) Watch(ctx context.Context, key string, rev uint64, wait time.Duration) (quetzalpier.Entry, error) {
	return k.Direct.Watch(ctx, key, rev, wait)
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

// Release implements quetzalpier.KV, directly only.
func (k *KV) Release(ctx context.Context, lease string) error { return k.Direct.Release(ctx, lease) }

// do makes a call directly, and through other nodes if that fails. A call that
// may have taken effect is not repeated unless repeating it does no harm.
func (k *KV) do(ctx context.Context, timeout time.Duration, harmless bool, call func(context.Context) error, message *wire.Store, take func(*wire.Stored)) error {
	var err error
	direct := !k.Failed()
	if direct {
		limited, cancel := context.WithTimeout(ctx, timeout)
		err = call(limited)
		cancel()
		if err != nil && errors.Is(ctx.Err(), context.Canceled) {
			// The caller left, which tells nothing of the service.
			return err
		}
		k.note(err)
		if !turnedAway(err) || (unsure(err) && !harmless) {
			return err
		}
	}
	relayed := k.relay(ctx, message, harmless, take)
	if direct && refused(relayed) {
		return err
	}
	return relayed
}

// note takes over whether the direct way works.
func (k *KV) note(err error) {
	failed := turnedAway(err)
	k.mu.Lock()
	changed := failed != k.failed
	k.failed = failed
	if changed && !failed {
		k.returned = time.Now()
	}
	k.mu.Unlock()
	if !changed {
		return
	}
	k.Log.Warn().Bool("lost", failed).AnErr("cause", err).Msg("direct way to the platform's store")
	if unsure(err) {
		k.Reset()
	}
}

// Run looks whether the direct way works again while it fails, until ctx ends.
func (k *KV) Run(ctx context.Context) {
	pause := probeEvery
	for sleep.For(ctx, pause) {
		if !k.Failed() {
			pause = probeEvery
			continue
		}
		limited, cancel := context.WithTimeout(ctx, directTimeout)
		_, err := k.Direct.Get(limited, probeKey)
		cancel()
		k.note(err)
		pause = min(2*pause, probeLimit)
		if k.Eager != nil && k.Eager() {
			pause = probeEager
		}
	}
}

// probeKey is read to see whether the service answers; it need not exist.
const probeKey = "sys/probe"

func (k *KV) relay(ctx context.Context, message *wire.Store, harmless bool, take func(*wire.Stored)) error {
	wait := time.Duration(message.GetFollow().GetWait()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+wait)
	defer cancel()
	each := relayTimeout + wait
	if harmless {
		each = peerTimeout + wait
	}
	var err error = &quetzalpier.RefusedError{Call: "relay", Reason: "no other node to ask"}
	for _, peer := range k.helpers() {
		var stored *wire.Stored
		stored, err = k.ask(ctx, peer, each, message)
		if err == nil {
			take(stored)
			return nil
		}
		if !refused(err) && !(harmless && unsure(err)) {
			return err
		}
	}
	return err
}

// helpers are the nodes to ask, the one that helped last first.
func (k *KV) helpers() []string {
	peers := k.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	k.mu.Lock()
	defer k.mu.Unlock()
	if i := slices.Index(peers, k.helper); i > 0 {
		peers[0], peers[i] = peers[i], peers[0]
	}
	return peers[:min(len(peers), peersTried)]
}

// ask makes a call through one other node.
func (k *KV) ask(ctx context.Context, peer string, timeout time.Duration, message *wire.Store) (*wire.Stored, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := k.Call(ctx, peer, &wire.Call{Kind: &wire.Call_Store{Store: message}})
	helped := err == nil && !refused(wire.UnpackFailure(peer, reply.GetStored().GetFailure()))
	k.mu.Lock()
	switch {
	case helped:
		k.helper = peer
	case k.helper == peer:
		k.helper = ""
	}
	k.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		// The process is gone, and nothing was sent to it.
		return nil, &quetzalpier.RefusedError{Call: "relay by " + peer, Reason: err.Error()}
	}
	if err != nil {
		return nil, &quetzalpier.UnsureError{Call: "relay by " + peer, Reason: err.Error()}
	}
	stored := reply.GetStored()
	return stored, wire.UnpackFailure("relay by "+peer, stored.GetFailure())
}

// Serve makes a call for another node, directly only.
func (k *KV) Serve(ctx context.Context, message *wire.Store) *wire.Stored {
	if k.Failed() {
		return &wire.Stored{Failure: wire.PackFailure(&quetzalpier.RefusedError{Reason: "the service turns this node away, too"})}
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
	case message.GetRange() != "":
		var found quetzalpier.Changes
		found, err = k.Direct.Range(ctx, message.GetRange(), false)
		stored.Entries, stored.Rev = wire.PackEntries(found.Entries), found.Rev
	case message.GetFollow() != nil:
		var found quetzalpier.Changes
		follow := message.GetFollow()
		found, err = k.Direct.Follow(ctx, follow.GetPrefix(), follow.GetRev(), time.Duration(follow.GetWait())*time.Millisecond)
		stored.Entries, stored.Rev = wire.PackEntries(found.Entries), found.Rev
	case message.GetRenew() != "":
		err = k.Direct.Renew(ctx, message.GetRenew())
	case message.GetGrant() != 0:
		stored.Lease, err = k.Direct.Grant(ctx, time.Duration(message.GetGrant())*time.Millisecond)
	default:
		err = &quetzalpier.RefusedError{Call: "relay", Reason: "no call given"}
	}
	stored.Failure = wire.PackFailure(err)
	return stored
}

// turnedAway tells whether the service did not answer or refused to serve.
func turnedAway(err error) bool { return unsure(err) || refused(err) }

func unsure(err error) bool {
	var u *quetzalpier.UnsureError
	return errors.As(err, &u)
}

func refused(err error) bool {
	var r *quetzalpier.RefusedError
	return errors.As(err, &r)
}
