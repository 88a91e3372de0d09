// Package lease holds leases on names in the platform's key-value service.
// The revision at which a name was taken is its fencing number: it rises with
// each holder and is never used twice.
package lease

import (
	"context"
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

	mu      sync.Mutex
	lease   string
	until   time.Time
	renewed time.Time
	fences  map[string]uint64
}

// Fence returns the fencing number of a name if its lease still holds at now.
// It must be asked before each act. A process that freezes after asking may
// act late; the upstream's check of the number, or the reading back of its
// state, catches that.
func (h *Holder) Fence(name string, now time.Time) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !now.Before(h.until) {
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
	due := lease != "" && now.Sub(h.renewed) >= renewEvery
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
		h.until = now.Add(TTL - margin)
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
	lease, err := h.grant(ctx, now)
	if err != nil {
		return false, err
	}
	fence, err := h.KV.Swap(ctx, key(name), []byte(h.Node+" "+lease), 0, lease)
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
	entry, err := h.KV.Get(ctx, key(name))
	if err != nil {
		return false, err
	}
	if entry.Rev == 0 || string(entry.Value) != h.Node+" "+lease {
		return false, nil
	}
	h.hold(name, lease, entry.Rev)
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
	return h.KV.Delete(ctx, key(name), fence)
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

func (h *Holder) grant(ctx context.Context, now time.Time) (string, error) {
	h.mu.Lock()
	lease := h.lease
	alive := now.Before(h.until)
	h.mu.Unlock()
	if lease != "" && alive {
		return lease, nil
	}
	lease, err := h.KV.Grant(ctx, TTL)
	if err != nil {
		return "", err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop()
	h.lease = lease
	h.renewed = now
	h.until = now.Add(TTL - margin)
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
}

func key(name string) string { return "lease/" + name }
