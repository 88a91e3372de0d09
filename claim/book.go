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
	// Retention is how long a claim is kept at least.
	Retention = 24 * time.Hour
	// leaseLife is how long one retention lease is used for new claims.
	leaseLife = time.Hour
	// keptAnswer is the largest answer kept in a claim, in bytes.
	keptAnswer = 64 << 10
	// maxPending bounds the ends that wait for the service to come back.
	maxPending = 4096
	openTries  = 4
	retryEvery = time.Second
	// refuseAfter is when to come back after the service could not be asked.
	refuseAfter = 2 * time.Second
	// endedKept is how long the book itself remembers ended claims.
	endedKept = 10 * time.Minute
)

// AskFunc asks a node for the claim it holds; false if it can't say.
type AskFunc func(ctx context.Context, node, key, token string) (Claim, bool)

// Book is a node's claims.
type Book struct {
	KV   quetzalpier.KV
	Node string
	Ask  AskFunc
	Log  zerolog.Logger
	// Token makes a token that no other claim has.
	Token func() string

	mu      sync.Mutex
	lease   string
	leaseAt time.Time
	held    map[string]*Held
	pending []*Held
	wake    chan struct{}
}

// Held is a claim that this node has made.
type Held struct {
	Key   string
	Claim Claim

	ended time.Time
}

// Key is where the claim of a request lies.
func Key(pool, caller, idempotency string) string {
	return "claim/" + pool + "/" + strconv.FormatUint(hash.Text(caller+"\x00"+idempotency), 16)
}

// Open claims a request before its dispatch. Exactly one of the results is
// set: the claim held, the claim of an earlier run whose answer was kept, or a
// refusal.
func (b *Book) Open(ctx context.Context, key string, sum uint64, now time.Time) (*Held, *Claim, *quetzalpier.Refusal) {
	lease, err := b.retention(ctx, now)
	if err != nil {
		return nil, nil, outage(err)
	}
	o := opening{book: b, key: key, lease: lease}
	o.mine = Claim{Hash: sum, Node: b.Node, Token: b.Token(), State: Open}
	for range openTries {
		if held := o.create(ctx); held != nil {
			return held, nil, nil
		}
		if o.refused != nil {
			break
		}
		found, ok := o.read(ctx)
		if !ok {
			break
		}
		if found == nil {
			continue
		}
		if found.Token == o.mine.Token {
			return b.hold(key, o.mine), nil, nil
		}
		word, decision := b.decide(ctx, key, *found, sum)
		switch decision.Action {
		case Dispatch:
			continue
		case Replay:
			return nil, &word, nil
		default:
			return nil, nil, decision.Refusal
		}
	}
	if o.unsure {
		b.Void(b.hold(key, o.mine), now)
	}
	return nil, nil, o.giveUp()
}

// opening is one request's way to a claim.
type opening struct {
	book    *Book
	key     string
	lease   string
	mine    Claim
	rev     uint64
	unsure  bool
	refused error
}

// create writes the claim at the revision read last; nil if that did not
// certainly succeed.
func (o *opening) create(ctx context.Context) *Held {
	body, err := json.Marshal(o.mine)
	if err != nil {
		o.refused = err
		return nil
	}
	_, err = o.book.KV.Swap(ctx, o.key, body, o.rev, o.lease)
	var taken *quetzalpier.SwapError
	var unsure *quetzalpier.UnsureError
	switch {
	case err == nil:
		return o.book.hold(o.key, o.mine)
	case errors.As(err, &taken):
	case errors.As(err, &unsure):
		o.unsure = true
	default:
		o.book.forgetLease(o.lease)
		o.refused = err
	}
	return nil
}

// read reads the claim back; false if the service could not be asked, and no
// claim if the key is free.
func (o *opening) read(ctx context.Context) (*Claim, bool) {
	entry, err := o.book.KV.Get(ctx, o.key)
	if err != nil {
		o.refused = err
		return nil, false
	}
	o.rev = entry.Rev
	if entry.Rev == 0 {
		return nil, true
	}
	var found Claim
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		o.refused = err
		return nil, false
	}
	return &found, true
}

func (o *opening) giveUp() *quetzalpier.Refusal {
	if o.refused != nil {
		return outage(o.refused)
	}
	return quetzalpier.Busy("claim", "other copies of the request were faster", quetzalpier.RanUnknown, refuseAfter)
}

// outage refuses a request that could not be claimed. This copy was not
// dispatched, but an earlier one with the same key may have been, and the
// caller is told of the request, not of the copy.
func outage(err error) *quetzalpier.Refusal {
	return quetzalpier.Busy("claim", "the claim could not be made: "+err.Error(), quetzalpier.RanUnknown, refuseAfter)
}

// decide asks the holder where the service's word is not enough. It returns the
// claim on which the decision rests.
func (b *Book) decide(ctx context.Context, key string, found Claim, sum uint64) (Claim, Decision) {
	decision := Decide(found, sum, false)
	if decision.Action != Ask {
		return found, decision
	}
	if word, ok := b.Ask(ctx, found.Node, key, found.Token); ok {
		found = word
	}
	return found, Decide(found, sum, true)
}

// retention returns the lease that bounds new claims' life. It is renewed by
// a new one every hour, so that claims cost no renewals.
func (b *Book) retention(ctx context.Context, now time.Time) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lease != "" && now.Sub(b.leaseAt) < leaseLife {
		return b.lease, nil
	}
	lease, err := b.KV.Grant(ctx, Retention+leaseLife)
	if err != nil {
		return "", err
	}
	b.lease = lease
	b.leaseAt = now
	return lease, nil
}

func (b *Book) forgetLease(lease string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lease == lease {
		b.lease = ""
	}
}

func (b *Book) hold(key string, claim Claim) *Held {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held == nil {
		b.held = map[string]*Held{}
	}
	h := &Held{Key: key, Claim: claim}
	b.held[key+claim.Token] = h
	return h
}

// Answer tells another node about a claim that this node holds.
func (b *Book) Answer(key, token string) (Claim, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.held[key+token]
	if !ok {
		return Claim{}, false
	}
	return h.Claim, true
}

// ended returns a channel that tells of ends to be written.
func (b *Book) ended() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}

// Done records the answer of a claimed request.
func (b *Book) Done(h *Held, status int, contentType string, body []byte, now time.Time) {
	claim := Claim{State: Done, Status: status, Type: contentType}
	if len(body) <= keptAnswer {
		claim.Body = body
		claim.Kept = true
	}
	b.end(h, claim, now)
}

// Void records that a claimed request was certainly not run.
func (b *Book) Void(h *Held, now time.Time) { b.end(h, Claim{State: Void}, now) }

// Lost records that nobody can say whether a claimed request ran.
func (b *Book) Lost(h *Held, now time.Time) { b.end(h, Claim{State: Lost}, now) }

func (b *Book) end(h *Held, end Claim, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	end.Hash, end.Node, end.Token = h.Claim.Hash, h.Claim.Node, h.Claim.Token
	h.Claim = end
	h.ended = now
	b.pending = append(b.pending, h)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	if extra := len(b.pending) - maxPending; extra > 0 {
		b.Log.Error().Int("count", extra).Msg("ends of claims dropped; resends will hear that the outcome is unknown")
		b.pending = b.pending[extra:]
	}
}

// Run writes the ends of claims to the service until ctx ends.
func (b *Book) Run(ctx context.Context) {
	tick := time.NewTicker(retryEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			b.forget(now)
		case <-b.ended():
		}
		if !b.Flush(ctx) {
			sleep.For(ctx, retryEvery)
		}
	}
}

// Flush writes the pending ends; false if the service could not be asked.
func (b *Book) Flush(ctx context.Context) bool {
	for {
		b.mu.Lock()
		if len(b.pending) == 0 {
			b.mu.Unlock()
			return true
		}
		h := b.pending[0]
		claim := h.Claim
		b.mu.Unlock()
		if !b.write(ctx, h.Key, claim) {
			return false
		}
		b.mu.Lock()
		if len(b.pending) > 0 && b.pending[0] == h {
			b.pending = b.pending[1:]
		}
		b.mu.Unlock()
	}
}

// Pending counts the ends that are still to be written.
func (b *Book) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// write records a claim's end if the claim in the service is this one. A
// claim that is not there may still arrive late, so its place is taken.
func (b *Book) write(ctx context.Context, key string, end Claim) bool {
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
	lease, err := b.retention(ctx, time.Now())
	if err != nil {
		return false
	}
	_, err = b.KV.Swap(ctx, key, body, entry.Rev, lease)
	var gone *quetzalpier.LostError
	if errors.As(err, &gone) {
		b.forgetLease(lease)
	}
	return err == nil
}

func (b *Book) forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, h := range b.held {
		if !h.ended.IsZero() && now.Sub(h.ended) > endedKept {
			delete(b.held, id)
		}
	}
}
