// Package lease holds leases on names in the platform's key-value service.
// The revision at which a name was taken is its fencing number: it rises with
// each holder and is never used twice.
package lease

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
)

const (
	// TTL is how long a lease lasts after its last renewal.
	TTL = 9 * time.Second
	// renewEvery is the time between renewals.
	renewEvery = 2500 * time.Millisecond
	// margin is how long before its end a lease is no longer acted on.
	margin = 2 * time.Second
)

// Holder holds names under one KV lease, which is renewed for all together.
type Holder struct {
	KV   quetzalpier.KV
	Node string
	// Prefix starts the keys of the names; "lease/" if empty.
	Prefix string
	// Life is how long the lease lasts after its last renewal, Every the time
	// between renewals and Margin how long before its end the lease is no
	// longer acted on. Zero fields have the package's defaults.
	Life   time.Duration
	Every  time.Duration
	Margin time.Duration
	// RestLife and RestEvery stand in for Life and Every while no name is held:
	// nobody waits for the end of such a lease, and each renewal is a call that
	// the platform counts. Zero fields have the values of Life and Every.
	RestLife  time.Duration
	RestEvery time.Duration

	mu      sync.Mutex
	lease   string
	until   time.Time
	renewed time.Time
	fences  map[string]uint64
	// resting tells that the lease has RestLife, and wanted is when a lease for
	// names was last asked for.
	resting bool
	wanted  time.Time
}

func (h *Holder) life(resting bool) time.Duration {
	life := orDefault(h.Life, TTL)
	if resting {
		return orDefault(h.RestLife, life)
	}
	return life
}

func (h *Holder) every(resting bool) time.Duration {
	every := orDefault(h.Every, renewEvery)
	if resting {
		return orDefault(h.RestEvery, every)
	}
	return every
}

func (h *Holder) margin() time.Duration { return orDefault(h.Margin, margin) }

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

// alive tells whether the lease holds at now by both clocks: the steady clock
// stands still while a VM is suspended, and the time of day may jump.
func (h *Holder) alive(now time.Time) bool {
	return now.Before(h.until) && now.Round(0).Before(h.until.Round(0))
}

// Lease returns the present lease; false if there is none that holds at now.
func (h *Holder) Lease(now time.Time) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease, h.lease != "" && h.alive(now)
}

// Grant makes sure of a lease for names and returns it.
func (h *Holder) Grant(ctx context.Context, now time.Time) (string, error) {
	h.mu.Lock()
	h.wanted = now
	lease, fits := h.lease, h.alive(now) && !h.resting
	h.mu.Unlock()
	if fits {
		return lease, nil
	}
	return h.grant(ctx, now, false)
}

// Rest makes sure of a lease, whether or not names are held, and returns it. A
// lease for names turns into one at rest when none has been held or asked for
// during the life of a lease.
func (h *Holder) Rest(ctx context.Context, now time.Time) (string, error) {
	h.mu.Lock()
	lease := h.lease
	needless := !h.resting && len(h.fences) == 0 && now.Sub(h.wanted) > h.life(false)
	fits := h.alive(now) && !needless
	h.mu.Unlock()
	if fits {
		return lease, nil
	}
	return h.grant(ctx, now, needless)
}

// Forget gives a name up that another node was seen to hold, or that is gone.
func (h *Holder) Forget(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.fences, name)
}

// Fence returns the fencing number of a name if its lease still holds at now.
// It must be asked before each act. A process that freezes after asking may
// act late; the upstream's check of the number, or the reading back of its
// state, catches that.
func (h *Holder) Fence(name string, now time.Time) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.alive(now) {
		return 0, false
	}
	fence, ok := h.fences[name]
	return fence, ok
}

// Keep renews the lease if it is time to. A lease that ended is forgotten
// with all its names.
func (h *Holder) Keep(ctx context.Context, now time.Time) error {
	h.mu.Lock()
	lease := h.lease
	due := lease != "" && now.Sub(h.renewed) >= h.every(h.resting)
	h.mu.Unlock()
	if !due {
		return nil
	}
	// The time before the call counts: the service may have renewed then.
	err := h.KV.Renew(ctx, lease)
	h.mu.Lock()
	defer h.mu.Unlock()
	var lost *quetzalpier.LostError
	switch {
	case err == nil:
		h.renewed = now
		h.until = now.Add(h.life(h.resting) - h.margin())
	case errors.As(err, &lost):
		h.drop()
	}
	return err
}

// Take tries to take a name; false if another node holds it.
func (h *Holder) Take(ctx context.Context, name string, now time.Time) (bool, error) {
	if _, ok := h.Fence(name, now); ok {
		return true, nil
	}
	lease, err := h.Grant(ctx, now)
	if err != nil {
		return false, err
	}
	fence, err := h.KV.Swap(ctx, h.key(name), h.value(lease), 0, lease)
	var taken *quetzalpier.SwapError
	var unsure *quetzalpier.UnsureError
	switch {
	case errors.As(err, &taken), errors.As(err, &unsure):
		return h.readBack(ctx, name, lease)
	case err != nil:
		return false, err
	}
	h.hold(name, lease, fence)
	return true, nil
}

// readBack settles a take whose answer was lost.
func (h *Holder) readBack(ctx context.Context, name, lease string) (bool, error) {
	entry, err := h.KV.Get(ctx, h.key(name))
	if err != nil || entry.Rev == 0 {
		return false, err
	}
	if string(entry.Value) == string(h.value(lease)) {
		h.hold(name, lease, entry.Rev)
		return true, nil
	}
	if Owner(entry.Value) != h.Node {
		return false, nil
	}
	// An earlier process of this node held the name.
	return h.Replace(ctx, name, entry.Rev, lease)
}

// Replace takes a name over that is held at revision rev by a process which
// is known to be gone.
func (h *Holder) Replace(ctx context.Context, name string, rev uint64, lease string) (bool, error) {
	fence, err := h.KV.Swap(ctx, h.key(name), h.value(lease), rev, lease)
	var taken *quetzalpier.SwapError
	if errors.As(err, &taken) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	h.hold(name, lease, fence)
	return true, nil
}

// Release gives a name up at once, as at a planned stop.
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

// Names returns the names held, whether or not their lease still holds.
func (h *Holder) Names() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.fences))
	for name := range h.fences {
		names = append(names, name)
	}
	return names
}

// grant asks for a new lease in the place of the one before, which lapses with
// its names.
func (h *Holder) grant(ctx context.Context, now time.Time, resting bool) (string, error) {
	lease, err := h.KV.Grant(ctx, h.life(resting))
	if err != nil {
		return "", err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop()
	h.lease = lease
	h.resting = resting
	h.renewed = now
	h.until = now.Add(h.life(h.resting) - h.margin())
	return lease, nil
}

func (h *Holder) hold(name, lease string, fence uint64) {
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

func (h *Holder) drop() {
	h.lease = ""
	h.until = time.Time{}
	h.fences = nil
	h.resting = false
}

func (h *Holder) key(name string) string {
	if h.Prefix == "" {
		return "lease/" + name
	}
	return h.Prefix + name
}

func (h *Holder) value(lease string) []byte { return []byte(h.Node + " " + lease) }

// Owner returns the node that wrote a name's value.
func Owner(value []byte) string {
	node, _, _ := strings.Cut(string(value), " ")
	return node
}
