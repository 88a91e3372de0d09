package claim

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/hash"
	"quetzalpier/sleep"
)

const (
	// Retention is the minimum time for which a claim is kept.
	Retention = 24 * time.Hour
	// leaseReuse is how long a retention lease is used for new claims.
	leaseReuse = time.Hour
	// maxKeptBody is the size in bytes of the largest response body that is kept
	// in a claim.
	maxKeptBody = 64 << 10
	// maxPending is the maximum number of outcomes that wait to be written while
	// the service is unavailable.
	maxPending      = 4096
	maxOpenAttempts = 4
	retryInterval   = time.Second
	// outageRetryAfter is the delay after which a client may retry a request that
	// could not be claimed.
	outageRetryAfter = 2 * time.Second
	// endedRetention is how long a node keeps its ended claims in memory.
	endedRetention = 10 * time.Minute
)

// AskFunc requests a claim from the node that holds it. It returns false if that
// node does not answer or does not know the claim.
type AskFunc func(ctx context.Context, node, key, token string) (Claim, bool)

// Registry opens and tracks the claims of one node.
type Registry struct {
	KV           quetzalpier.KV
	Node         string
	RequestClaim AskFunc
	Log          zerolog.Logger
	// Token returns a new unique token.
	Token func() string

	mu             sync.Mutex
	lease          string
	leaseGrantedAt time.Time
	held           map[string]*Held
	pending        []*Held
	wake           chan struct{}
}

// Held is a claim that this node has made.
type Held struct {
	Key   string
	Claim Claim

	endedAt time.Time
}

// Key returns the key under which the claim of a request is stored.
func Key(pool, caller, idempotency string) string {
	return "claim/" + pool + "/" + strconv.FormatUint(hash.Text(caller+"\x00"+idempotency), 16)
}

// Open claims a request before its dispatch. Exactly one of the results is
// set: the new claim, the claim of an earlier run whose response was kept, or a
// refusal.
func (b *Registry) Open(ctx context.Context, key string, requestHash uint64, now time.Time) (*Held, *Claim, *quetzalpier.Refusal) {
	lease, err := b.retentionLease(ctx, now)
	if err != nil {
		return nil, nil, refuseOutage(err)
	}
	o := openAttempt{book: b, key: key, lease: lease}
	o.own = Claim{Hash: requestHash, Node: b.Node, Token: b.Token(), State: Open}
	for range maxOpenAttempts {
		if held := o.create(ctx); held != nil {
			return held, nil, nil
		}
		if o.err != nil {
			break
		}
		found, ok := o.read(ctx)
		if !ok {
			break
		}
		if found == nil {
			continue
		}
		if found.Token == o.own.Token {
			return b.hold(key, o.own), nil, nil
		}
		known, decision := b.decide(ctx, key, *found, requestHash)
		switch decision.Action {
		case Dispatch:
			continue
		case Replay:
			return nil, &known, nil
		default:
			return nil, nil, decision.Refusal
		}
	}
	if o.unsure {
		b.RecordVoid(b.hold(key, o.own), now)
	}
	return nil, nil, o.refusal()
}

// openAttempt is the state of opening a claim for one request.
type openAttempt struct {
	book   *Registry
	key    string
	lease  string
	own    Claim
	rev    uint64
	unsure bool
	err    error
}

// create writes the claim at the revision read last. It returns nil unless the
// write is known to have succeeded.
func (o *openAttempt) create(ctx context.Context) *Held {
	body, err := json.Marshal(o.own)
	if err != nil {
		o.err = err
		return nil
	}
	_, err = o.book.KV.CompareAndSwap(ctx, o.key, body, o.rev, o.lease)
	var taken *quetzalpier.RevisionError
	var unsure *quetzalpier.OutcomeUnknownError
	switch {
	case err == nil:
		return o.book.hold(o.key, o.own)
	case errors.As(err, &taken):
	case errors.As(err, &unsure):
		o.unsure = true
	default:
		o.book.dropLease(o.lease)
		o.err = err
	}
	return nil
}

// read reads the claim back. It returns false if that fails, and no claim if the
// key does not exist.
func (o *openAttempt) read(ctx context.Context) (*Claim, bool) {
	entry, err := o.book.KV.Get(ctx, o.key)
	if err != nil {
		o.err = err
		return nil, false
	}
	o.rev = entry.Rev
	if entry.Rev == 0 {
		return nil, true
	}
	var found Claim
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		o.err = err
		return nil, false
	}
	return &found, true
}

// refusal returns the refusal of a request that could not be claimed.
func (o *openAttempt) refusal() *quetzalpier.Refusal {
	if o.err != nil {
		return refuseOutage(o.err)
	}
	return quetzalpier.Unavailable("claim", "other copies of the request were faster", quetzalpier.RanUnknown, outageRetryAfter)
}

// refuseOutage refuses a request because the service failed. This copy was not
// dispatched, but an earlier one with the same key may have been. The refusal
// describes the request, not the copy, so it says that the outcome is unknown.
func refuseOutage(err error) *quetzalpier.Refusal {
	return quetzalpier.Unavailable("claim", "the claim could not be made: "+err.Error(), quetzalpier.RanUnknown, outageRetryAfter)
}

// decide decides on a request whose claim exists. If the stored claim is open, it
// first requests the current one from its holder. It returns the claim that the
// decision is based on.
func (b *Registry) decide(ctx context.Context, key string, found Claim, requestHash uint64) (Claim, Decision) {
	decision := Decide(found, requestHash, false)
	if decision.Action != AskHolder {
		return found, decision
	}
	if known, ok := b.RequestClaim(ctx, found.Node, key, found.Token); ok {
		found = known
	}
	return found, Decide(found, requestHash, true)
}

// retentionLease returns the lease that is attached to new claims. A new lease is
// granted every hour, so that claims need no renewals.
func (b *Registry) retentionLease(ctx context.Context, now time.Time) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lease != "" && now.Sub(b.leaseGrantedAt) < leaseReuse {
		return b.lease, nil
	}
	lease, err := b.KV.Grant(ctx, Retention+leaseReuse)
	if err != nil {
		return "", err
	}
	b.lease = lease
	b.leaseGrantedAt = now
	return lease, nil
}

func (b *Registry) dropLease(lease string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lease == lease {
		b.lease = ""
	}
}

func (b *Registry) hold(key string, claim Claim) *Held {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held == nil {
		b.held = map[string]*Held{}
	}
	h := &Held{Key: key, Claim: claim}
	b.held[key+claim.Token] = h
	return h
}

// HeldClaim returns a claim that this node holds, for another node.
func (b *Registry) HeldClaim(key, token string) (Claim, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.held[key+token]
	if !ok {
		return Claim{}, false
	}
	return h.Claim, true
}

// wakeChan returns a channel that signals outcomes to be written.
func (b *Registry) wakeChan() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}

// RecordDone records the response to a claimed request.
func (b *Registry) RecordDone(h *Held, status int, contentType string, body []byte, now time.Time) {
	claim := Claim{State: Done, Status: status, Type: contentType}
	if len(body) <= maxKeptBody {
		claim.Body = body
		claim.Kept = true
	}
	b.recordEnd(h, claim, now)
}

// RecordVoid records that a claimed request did not run.
func (b *Registry) RecordVoid(h *Held, now time.Time) { b.recordEnd(h, Claim{State: Void}, now) }

// RecordLost records that it is unknown whether a claimed request ran.
func (b *Registry) RecordLost(h *Held, now time.Time) { b.recordEnd(h, Claim{State: Lost}, now) }

func (b *Registry) recordEnd(h *Held, end Claim, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	end.Hash, end.Node, end.Token = h.Claim.Hash, h.Claim.Node, h.Claim.Token
	h.Claim = end
	h.endedAt = now
	b.pending = append(b.pending, h)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	if extra := len(b.pending) - maxPending; extra > 0 {
		b.Log.Error().Int("count", extra).Msg("claim outcomes dropped because too many wait to be written; retries of their requests get an unknown outcome")
		b.pending = b.pending[extra:]
	}
}

// Run writes the outcomes of claims to the service until ctx ends.
func (b *Registry) Run(ctx context.Context) {
	tick := time.NewTicker(retryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			b.dropEnded(now)
		case <-b.wakeChan():
		}
		if !b.Flush(ctx) {
			sleep.For(ctx, retryInterval)
		}
	}
}

// Flush writes the pending outcomes. It returns false if the service fails.
func (b *Registry) Flush(ctx context.Context) bool {
	for {
		b.mu.Lock()
		if len(b.pending) == 0 {
			b.mu.Unlock()
			return true
		}
		h := b.pending[0]
		claim := h.Claim
		b.mu.Unlock()
		if !b.writeEnd(ctx, h.Key, claim) {
			return false
		}
		b.mu.Lock()
		if len(b.pending) > 0 && b.pending[0] == h {
			b.pending = b.pending[1:]
		}
		b.mu.Unlock()
	}
}

// Pending returns the number of outcomes that are still to be written.
func (b *Registry) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// writeEnd writes a claim's outcome unless the key holds another claim. If the
// key does not exist, it is created, because the write of the claim may still be
// delayed.
func (b *Registry) writeEnd(ctx context.Context, key string, end Claim) bool {
	entry, err := b.KV.Get(ctx, key)
	if err != nil {
		return false
	}
	if entry.Rev > 0 {
		var found Claim
		if err := json.Unmarshal(entry.Value, &found); err != nil || found.Token != end.Token || found.State == end.State {
			return true
		}
	}
	body, err := json.Marshal(end)
	if err != nil {
		return true
	}
	lease, err := b.retentionLease(ctx, time.Now())
	if err != nil {
		return false
	}
	_, err = b.KV.CompareAndSwap(ctx, key, body, entry.Rev, lease)
	var expired *quetzalpier.LeaseLostError
	if errors.As(err, &expired) {
		b.dropLease(lease)
	}
	return err == nil
}

// dropEnded removes claims from memory after endedRetention.
func (b *Registry) dropEnded(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, h := range b.held {
		if !h.endedAt.IsZero() && now.Sub(h.endedAt) > endedRetention {
			delete(b.held, id)
		}
	}
}
