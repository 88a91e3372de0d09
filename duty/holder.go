package duty

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/lease"
	"quetzalpier/meter"
	"quetzalpier/sleep"
	"quetzalpier/vault"
)

const (
	// Key is the key of the holder. Its revision is the holder's fencing token.
	Key = vault.Duties + "holder"
	// checkInterval is the time between two checks whether the node owns the pool.
	checkInterval = 100 * time.Millisecond
	// callTimeout limits a call to the store.
	callTimeout = 1500 * time.Millisecond
)

// Holder tells whether this node holds the platform's duties. All its methods may be called
// concurrently.
type Holder struct {
	Board *board.Board
	KV    quetzalpier.KV
	Lease *lease.Holder
	Meter *meter.Meter
	Log   zerolog.Logger

	mu      sync.Mutex
	machine Machine
}

// NewHolder returns a Holder for a process of the node, which begins now. pause is the
// least time between calls of two processes.
func NewHolder(node string, pause time.Duration, now time.Time) *Holder {
	return &Holder{machine: Machine{Node: node, Process: strconv.FormatInt(now.UnixNano(), 36), Pause: pause}}
}

// Turn returns the right to make a call now. It must be requested before each call, and
// the outcome be recorded with Observe.
func (h *Holder) Turn(now time.Time) (quetzalpier.Turn, bool) {
	own := h.ownership(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.Turn(own, now)
}

// Token returns the token and since when this node has held the duties without a gap. It
// returns false if it does not hold them. Unlike Turn it does not allow calls to the platform, only to the store,
// in transactions that expect the token as the revision of Key.
func (h *Holder) Token(now time.Time) (token uint64, since time.Time, ok bool) {
	own := h.ownership(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.Token(own)
}

// Valid reports whether a call with the token may be sent now.
func (h *Holder) Valid(token uint64, now time.Time) bool {
	turn, ok := h.Turn(now)
	return ok && turn.Token == token
}

// Observe records the outcome of a call to the platform. After StaleFenceError the token is
// not used again; if no other node has written the key, a newer one follows without a pause.
func (h *Holder) Observe(turn quetzalpier.Turn, err error, now time.Time) {
	var stale *quetzalpier.StaleFenceError
	var refused *quetzalpier.RefusedError
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.machine.Accepted(turn.Token)
	case errors.As(err, &stale):
		h.machine.Refused(turn.Token, now)
		h.Log.Warn().Uint64("token", turn.Token).Err(err).Msg("fencing token was refused")
	case errors.As(err, &refused) && refused.RateLimited:
		h.machine.Limited(now)
		h.Log.Warn().Err(err).Msg("duties pause")
	}
}

// Superseded records that the store has a newer token than this one.
func (h *Holder) Superseded(token uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.machine.Superseded(token)
}

// ownership returns the node's ownership of the pool of the duties.
func (h *Holder) ownership(now time.Time) Ownership {
	var own Ownership
	h.Board.Do(func(s *board.State) { own.Pool = Pool(s) })
	if own.Pool == "" {
		return Ownership{}
	}
	fence, ok := h.Lease.Fence(own.Pool, now)
	if !ok {
		return Ownership{}
	}
	own.Fence = fence
	return own
}

// Run claims the duties whenever this node owns their pool, until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	for sleep.For(ctx, checkInterval) {
		h.Step(ctx, time.Now())
	}
}

// Step makes the next call for the claim, if one is due at now.
func (h *Holder) Step(ctx context.Context, now time.Time) {
	own := h.ownership(now)
	h.mu.Lock()
	step := h.machine.Next(own, now)
	token, _, ok := h.machine.Token(own)
	h.mu.Unlock()
	if !ok {
		token = 0
	}
	h.Meter.DutyToken.Set(float64(token))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch step.Action {
	case Read:
		entry, err := h.KV.Get(ctx, Key)
		h.hasRead(own, entry, err, now)
	case Claim:
		rev, err := h.KV.Commit(ctx, quetzalpier.Txn{
			Expect: map[string]uint64{Key: step.Expect, vault.Owners + own.Pool: own.Fence},
			Writes: []quetzalpier.Write{{Key: Key, Value: step.Value}},
		})
		h.hasClaimed(own, rev, err, now)
	}
}

func (h *Holder) hasRead(own Ownership, entry quetzalpier.Entry, err error, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.machine.Failed(now)
		h.Log.Warn().Err(err).Msg("holder of the duties could not be read")
		return
	}
	h.machine.HasRead(own, entry)
}

func (h *Holder) hasClaimed(own Ownership, rev uint64, err error, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.machine.Failed(now)
		h.Log.Warn().Str("pool", own.Pool).Err(err).Msg("duties could not be claimed")
		return
	}
	node, _, _ := parseValue(h.machine.entry.Value)
	h.machine.Claimed(own, rev, now)
	h.Log.Info().Str("pool", own.Pool).Uint64("token", rev).Str("before", node).Dur("pause_ms", max(0, h.machine.from.Sub(now))).
		Msg("this node holds the duties")
}
