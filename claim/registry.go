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

// RequestClaimFunc requests a claim from the node that holds it. It returns
// false if that node does not answer or does not have the claim.
type RequestClaimFunc func(ctx context.Context, node, key, token string) (Claim, bool)

// Registry opens and tracks the claims of one node.
type Registry struct {
	KV           quetzalpier.KV
	Node         string
	RequestClaim RequestClaimFunc
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

// Held is a claim that this node has opened.
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
func (r *Registry) Open(ctx context.Context, key string, requestHash uint64, now time.Time) (*Held, *Claim, *quetzalpier.Refusal) {
	lease, err := r.retentionLease(ctx, now)
	if err != nil {
		return nil, nil, refuseOutage(err)
	}
	o := openAttempt{registry: r, key: key, lease: lease}
	o.own = Claim{Hash: requestHash, Node: r.Node, Token: r.Token(), State: Open}
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
			return r.hold(key, o.own), nil, nil
		}
		known, decision := r.decide(ctx, key, *found, requestHash)
		switch decision.Action {
		case Dispatch:
			continue
		case Replay:
			return nil, &known, nil
		default:
			return nil, nil, decision.Refusal
		}
	}
	if o.outcomeUnknown {
		r.RecordVoid(r.hold(key, o.own), now)
	}
	return nil, nil, o.refusal()
}

// openAttempt is the state of opening a claim for one request.
type openAttempt struct {
	registry       *Registry
	key            string
	lease          string
	own            Claim
	rev            uint64
	outcomeUnknown bool
	err            error
}

// create writes the claim at the revision read last. It returns nil unless the
// write is known to have succeeded.
func (o *openAttempt) create(ctx context.Context) *Held {
	body, err := json.Marshal(o.own)
	if err != nil {
		o.err = err
		return nil
	}
	_, err = o.registry.KV.CompareAndSwap(ctx, o.key, body, o.rev, o.lease)
	var mismatch *quetzalpier.RevisionError
	var outcomeUnknown *quetzalpier.OutcomeUnknownError
	switch {
	case err == nil:
		return o.registry.hold(o.key, o.own)
	case errors.As(err, &mismatch):
	case errors.As(err, &outcomeUnknown):
		o.outcomeUnknown = true
	default:
		o.registry.dropLease(o.lease)
		o.err = err
	}
	return nil
}

// read reads the claim back. It returns false if that fails, and no claim if the
// key does not exist.
func (o *openAttempt) read(ctx context.Context) (*Claim, bool) {
	entry, err := o.registry.KV.Get(ctx, o.key)
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
func (r *Registry) decide(ctx context.Context, key string, found Claim, requestHash uint64) (Claim, Decision) {
	decision := Decide(found, requestHash, false)
	if decision.Action != RequestFromHolder {
		return found, decision
	}
	if known, ok := r.RequestClaim(ctx, found.Node, key, found.Token); ok {
		found = known
	}
	return found, Decide(found, requestHash, true)
}

// retentionLease returns the lease whose expiry deletes new claims. A new lease
// is granted every hour, so that claims need no renewals.
func (r *Registry) retentionLease(ctx context.Context, now time.Time) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease != "" && now.Sub(r.leaseGrantedAt) < leaseReuse {
		return r.lease, nil
	}
	lease, err := r.KV.Grant(ctx, Retention+leaseReuse)
	if err != nil {
		return "", err
	}
	r.lease = lease
	r.leaseGrantedAt = now
	return lease, nil
}

func (r *Registry) dropLease(lease string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == lease {
		r.lease = ""
	}
}

func (r *Registry) hold(key string, claim Claim) *Held {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held == nil {
		r.held = map[string]*Held{}
	}
	h := &Held{Key: key, Claim: claim}
	r.held[key+claim.Token] = h
	return h
}

// HeldClaim returns a claim that this node holds, for another node.
func (r *Registry) HeldClaim(key, token string) (Claim, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.held[key+token]
	if !ok {
		return Claim{}, false
	}
	return h.Claim, true
}

// wakeChan returns a channel that signals outcomes to be written.
func (r *Registry) wakeChan() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wake == nil {
		r.wake = make(chan struct{}, 1)
	}
	return r.wake
}

// RecordDone records the response to a claimed request.
func (r *Registry) RecordDone(h *Held, status int, contentType string, body []byte, now time.Time) {
	claim := Claim{State: Done, Status: status, Type: contentType}
	if len(body) <= maxKeptBody {
		claim.Body = body
		claim.Kept = true
	}
	r.recordEnd(h, claim, now)
}

// RecordVoid records that a claimed request is known not to have run.
func (r *Registry) RecordVoid(h *Held, now time.Time) { r.recordEnd(h, Claim{State: Void}, now) }

// RecordLost records that it is unknown whether a claimed request ran.
func (r *Registry) RecordLost(h *Held, now time.Time) { r.recordEnd(h, Claim{State: Lost}, now) }

func (r *Registry) recordEnd(h *Held, end Claim, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end.Hash, end.Node, end.Token = h.Claim.Hash, h.Claim.Node, h.Claim.Token
	h.Claim = end
	h.endedAt = now
	r.pending = append(r.pending, h)
	select {
	case r.wake <- struct{}{}:
	default:
	}
	if extra := len(r.pending) - maxPending; extra > 0 {
		r.Log.Error().Int("count", extra).Msg("claim outcomes dropped because too many wait to be written; retries of their requests get an unknown outcome")
		r.pending = r.pending[extra:]
	}
}

// Run writes the outcomes of claims to the service until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	tick := time.NewTicker(retryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			r.dropEnded(now)
		case <-r.wakeChan():
		}
		if !r.Flush(ctx) {
			sleep.For(ctx, retryInterval)
		}
	}
}

// Flush writes the pending outcomes. It returns false if the service fails.
func (r *Registry) Flush(ctx context.Context) bool {
	for {
		r.mu.Lock()
		if len(r.pending) == 0 {
			r.mu.Unlock()
			return true
		}
		h := r.pending[0]
		claim := h.Claim
		r.mu.Unlock()
		if !r.writeEnd(ctx, h.Key, claim) {
			return false
		}
		r.mu.Lock()
		if len(r.pending) > 0 && r.pending[0] == h {
			r.pending = r.pending[1:]
		}
		r.mu.Unlock()
	}
}

// Pending returns the number of outcomes that are still to be written.
func (r *Registry) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// writeEnd writes a claim's outcome unless the key holds another claim. If the
// key does not exist, it is created, so that a delayed write of the open claim
// fails.
func (r *Registry) writeEnd(ctx context.Context, key string, end Claim) bool {
	entry, err := r.KV.Get(ctx, key)
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
	lease, err := r.retentionLease(ctx, time.Now())
	if err != nil {
		return false
	}
	_, err = r.KV.CompareAndSwap(ctx, key, body, entry.Rev, lease)
	var expired *quetzalpier.LeaseLostError
	if errors.As(err, &expired) {
		r.dropLease(lease)
	}
	return err == nil
}

// dropEnded removes claims from memory after endedRetention.
func (r *Registry) dropEnded(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, h := range r.held {
		if !h.endedAt.IsZero() && now.Sub(h.endedAt) > endedRetention {
			delete(r.held, id)
		}
	}
}
