// Package lease holds leases on names in the platform's key-value service. The
// revision at which a name was acquired is its fencing token: it rises with
// each holder and is never used twice.
package lease

import (
	"context"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"quetzalpier"
)

const (
	// DefaultTTL is how long a lease lasts after its last renewal.
	DefaultTTL = 9 * time.Second
	// defaultRenewInterval is the time between renewals.
	defaultRenewInterval = 2500 * time.Millisecond
	// defaultMargin is how long before its expiry a lease counts as invalid.
	defaultMargin = 2 * time.Second
)

// Holder holds names under one lease of the key-value service, so that one
// renewal serves all of them.
type Holder struct {
	KV   quetzalpier.KV
	Node string
	// Prefix is the prefix of the names' keys; "lease/" if empty.
	Prefix string
	// TTL is how long the lease lasts after its last renewal, RenewInterval the
	// time between renewals, and Margin how long before its expiry the lease
	// counts as invalid. Zero fields have the package's defaults.
	TTL           time.Duration
	RenewInterval time.Duration
	Margin        time.Duration
	// IdleTTL and IdleRenewInterval replace TTL and RenewInterval while no name
	// is held: no other node waits for such a lease to expire, and each renewal
	// is a call that the platform counts. Zero fields have the values of TTL and
	// RenewInterval.
	IdleTTL           time.Duration
	IdleRenewInterval time.Duration

	mu         sync.Mutex
	lease      string
	validUntil time.Time
	renewedAt  time.Time
	fences     map[string]uint64
	// idle reports whether the lease was granted with IdleTTL, and lastRequest
	// is when a lease for names was last requested.
	idle        bool
	lastRequest time.Time
}

func (h *Holder) ttl(idle bool) time.Duration {
	ttl := orDefault(h.TTL, DefaultTTL)
	if idle {
		return orDefault(h.IdleTTL, ttl)
	}
	return ttl
}

func (h *Holder) renewInterval(idle bool) time.Duration {
	interval := orDefault(h.RenewInterval, defaultRenewInterval)
	if idle {
		return orDefault(h.IdleRenewInterval, interval)
	}
	return interval
}

func (h *Holder) safetyMargin() time.Duration { return orDefault(h.Margin, defaultMargin) }

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// validAt reports whether the lease is valid at now by both clocks: the
// monotonic clock stops while a VM is suspended, and the wall clock may jump.
func (h *Holder) validAt(now time.Time) bool {
	return now.Before(h.validUntil) && now.Round(0).Before(h.validUntil.Round(0))
}

// Lease returns the current lease and whether it is valid at now.
func (h *Holder) Lease(now time.Time) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease, h.lease != "" && h.validAt(now)
}

// Grant returns a valid lease for names, and requests one if there is none.
func (h *Holder) Grant(ctx context.Context, now time.Time) (string, error) {
	h.mu.Lock()
	h.lastRequest = now
	lease, valid := h.lease, h.validAt(now) && !h.idle
	h.mu.Unlock()
	if valid {
		return lease, nil
	}
	return h.grant(ctx, now, false)
}

// GrantIdle returns a valid lease, whether or not names are held. It replaces a
// lease for names by an idle one if no name is held and no lease for names was
// requested within the last TTL.
func (h *Holder) GrantIdle(ctx context.Context, now time.Time) (string, error) {
	h.mu.Lock()
	lease := h.lease
	toIdle := !h.idle && len(h.fences) == 0 && now.Sub(h.lastRequest) > h.ttl(false)
	valid := h.validAt(now) && !toIdle
	h.mu.Unlock()
	if valid {
		return lease, nil
	}
	return h.grant(ctx, now, toIdle)
}

// Forget drops a name locally, after another node was seen to hold it or its
// key was deleted.
func (h *Holder) Forget(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.fences, name)
}

// Fence returns the fencing token of a name if its lease is valid at now. It
// must be called before each action. A process that is suspended after the call
// may act late; the upstream detects that by checking the token, or the node by
// reading the upstream's state back.
func (h *Holder) Fence(name string, now time.Time) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.validAt(now) {
		return 0, false
	}
	fence, ok := h.fences[name]
	return fence, ok
}

// RenewIfDue renews the lease if the renewal is due. If the lease has expired,
// it is dropped with all its names.
func (h *Holder) RenewIfDue(ctx context.Context, now time.Time) error {
	h.mu.Lock()
	lease := h.lease
	due := lease != "" && now.Sub(h.renewedAt) >= h.renewInterval(h.idle)
	h.mu.Unlock()
	if !due {
		return nil
	}
	// The new expiry counts from before the call, since the service may have
	// renewed the lease at any time since then.
	err := h.KV.Renew(ctx, lease)
	h.mu.Lock()
	defer h.mu.Unlock()
	var lost *quetzalpier.LeaseLostError
	switch {
	case err == nil:
		h.renewedAt = now
		h.validUntil = now.Add(h.ttl(h.idle) - h.safetyMargin())
	case errors.As(err, &lost):
		h.reset()
	}
	return err
}

// Take tries to acquire a name. It returns false if another node holds it.
func (h *Holder) Take(ctx context.Context, name string, now time.Time) (bool, error) {
	if _, ok := h.Fence(name, now); ok {
		return true, nil
	}
	lease, err := h.Grant(ctx, now)
	if err != nil {
		return false, err
	}
	fence, err := h.KV.CompareAndSwap(ctx, h.key(name), h.value(lease), 0, lease)
	var conflict *quetzalpier.RevisionError
	var unknown *quetzalpier.OutcomeUnknownError
	switch {
	case errors.As(err, &conflict), errors.As(err, &unknown):
		return h.readBack(ctx, name, lease)
	case err != nil:
		return false, err
	}
	h.setFence(name, lease, fence)
	return true, nil
}

// readBack reads the name's key to determine the outcome of a Take that
// conflicted or whose reply was lost.
func (h *Holder) readBack(ctx context.Context, name, lease string) (bool, error) {
	entry, err := h.KV.Get(ctx, h.key(name))
	if err != nil || entry.Rev == 0 {
		return false, err
	}
	if string(entry.Value) == string(h.value(lease)) {
		h.setFence(name, lease, entry.Rev)
		return true, nil
	}
	if owner := Owner(entry.Value); owner != h.Node && owner != "" {
		return false, nil
	}
	// An earlier process of this node held the name, or no node wrote the key. A key without
	// a lease would never expire.
	return h.Replace(ctx, name, entry.Rev, lease)
}

// Replace takes over a name that is held at revision rev by a process that is
// known to be gone.
func (h *Holder) Replace(ctx context.Context, name string, rev uint64, lease string) (bool, error) {
	fence, err := h.KV.CompareAndSwap(ctx, h.key(name), h.value(lease), rev, lease)
	var conflict *quetzalpier.RevisionError
	if errors.As(err, &conflict) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	h.setFence(name, lease, fence)
	return true, nil
}

// Invalidate drops a lease that the key-value service no longer knows, with all its
// names.
func (h *Holder) Invalidate(lease string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease == lease {
		h.reset()
	}
}

// Release releases a name before its lease expires, as in a graceful shutdown.
func (h *Holder) Release(ctx context.Context, name string) error {
	h.mu.Lock()
	fence, ok := h.fences[name]
	delete(h.fences, name)
	h.mu.Unlock()
	if !ok {
		return nil
	}
	return h.KV.Delete(ctx, h.key(name), fence)
}

// Names returns the names held, whether or not their lease is still valid.
func (h *Holder) Names() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.fences))
	for name := range h.fences {
		names = append(names, name)
	}
	return names
}

// grant requests a new lease. It replaces the previous one, which expires
// together with its names.
func (h *Holder) grant(ctx context.Context, now time.Time, idle bool) (string, error) {
	lease, err := h.KV.Grant(ctx, h.ttl(idle))
	if err != nil {
		return "", err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reset()
	h.lease = lease
	h.idle = idle
	h.renewedAt = now
	h.validUntil = now.Add(h.ttl(h.idle) - h.safetyMargin())
	return lease, nil
}

func (h *Holder) setFence(name, lease string, fence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease != lease {
		return
	}
	if h.fences == nil {
		h.fences = map[string]uint64{}
	}
	h.fences[name] = fence
}

func (h *Holder) reset() {
	h.lease = ""
	h.validUntil = time.Time{}
	h.fences = nil
	h.idle = false
}

func (h *Holder) key(name string) string {
	if h.Prefix == "" {
		return "lease/" + name
	}
	return h.Prefix + name
}

func (h *Holder) value(lease string) []byte { return []byte(h.Node + " " + lease) }

// Owner returns the node that wrote the value of a name's key; an empty string if none did.
func Owner(value []byte) string {
	node, lease, _ := strings.Cut(string(value), " ")
	if lease == "" || len(node) > quetzalpier.MaxNameBytes || !utf8.ValidString(node) {
		return ""
	}
	return node
}
