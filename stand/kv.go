package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/platform"
)

// KVFaults are the faults injected into the key-value service.
type KVFaults struct {
	// Unavailable makes every call fail with status 500, which leaves its outcome
	// unknown.
	Unavailable bool `json:"out"`
	// DelayMs is the delay of every call, in milliseconds.
	DelayMs int `json:"slow"`
	// LoseAnswers is the number of further writes whose answer is dropped after they
	// took effect.
	LoseAnswers int `json:"lose"`
	// RefusalStatus is the status that every call gets without any effect, unless it
	// is zero.
	RefusalStatus int `json:"refuse"`
	// Reset makes every call reset its connection, and Silent leaves calls without
	// an answer, both without any effect.
	Reset  bool `json:"reset"`
	Silent bool `json:"silent"`
	// Hang is a prefix of keys: watches of it that begin now never get an answer, and their
	// connections stay open, also once the fault is removed.
	Hang string `json:"hang"`
}

// maxSilentTime is how long a call may wait for the end of Silent.
const maxSilentTime = 10 * time.Second

// KV is the stand-in for the platform's key-value service, over HTTP.
type KV struct {
	*Server
	*MemoryKV

	// Rewrite changes the entries that this address returns; nil for none. It must be set
	// before the first call.
	Rewrite func(quetzalpier.Entry) quetzalpier.Entry

	// shared is the service whose faults apply here, too; nil for the first address.
	shared *KV
	mu     sync.Mutex
	faults KVFaults
	// faultChanges counts the calls to SetFaults, and hung the watches that hang.
	faultChanges int
	hung         int
}

// NewKV starts an empty key-value service on addr.
func NewKV(addr string) (*KV, error) {
	k := &KV{MemoryKV: NewMemoryKV()}
	server, err := Serve(addr, 0, k.handle)
	if err != nil {
		return nil, err
	}
	k.Server = server
	return k, nil
}

// Share serves the same keys at another address, which has faults of its own beside
// those of k.
func (k *KV) Share(addr string) (*KV, error) {
	other := &KV{MemoryKV: k.MemoryKV, shared: k}
	server, err := Serve(addr, 0, other.handle)
	if err != nil {
		return nil, err
	}
	other.Server = server
	return other, nil
}

// SetFaults replaces the injected faults.
func (k *KV) SetFaults(f KVFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	k.faultChanges++
}

// Faults returns the injected faults and how often they were set.
func (k *KV) Faults() (faults KVFaults, changes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults, k.faultChanges
}

// Hung returns the number of watches that were left without an answer because of Hang.
func (k *KV) Hung() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hung
}

func (k *KV) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/faults":
		var f KVFaults
		if err := json.Unmarshal(c.PostBody(), &f); err != nil {
			c.Error(err.Error(), http.StatusBadRequest)
			return
		}
		k.SetFaults(f)
	case "/counts":
		body, _ := json.Marshal(k.Counts())
		c.SetBody(body)
	default:
		k.handleCall(c)
	}
}

func (k *KV) handleCall(c *fasthttp.RequestCtx) {
	if k.failCall(c) || (k.shared != nil && k.shared.failCall(c)) {
		return
	}
	platform.HandleKV(rewritingKV{k.MemoryKV, k.Rewrite}, c)
	if c.IsGet() || c.Response.StatusCode() != http.StatusOK {
		return
	}
	if k.takeLostAnswer() || (k.shared != nil && k.shared.takeLostAnswer()) {
		_ = c.Conn().Close()
	}
}

// failCall injects the faults that concern a call before it takes effect, and reports
// whether the call failed.
func (k *KV) failCall(c *fasthttp.RequestCtx) bool {
	faults, _ := k.Faults()
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	switch {
	case faults.Unavailable:
		c.Error("key-value service is unavailable", http.StatusInternalServerError)
	case faults.RefusalStatus != 0:
		c.Error("the caller is refused", faults.RefusalStatus)
	case faults.Reset:
		_ = c.Conn().Close()
	case faults.Hang != "" && platform.IsWatch(c, faults.Hang):
		k.mu.Lock()
		k.hung++
		k.mu.Unlock()
		k.Server.FaultListener.SilenceConn(c.RemoteAddr())
	case faults.Silent:
		k.waitSilent()
		_ = c.Conn().Close()
	default:
		return false
	}
	return true
}

// waitSilent waits for the end of Silent.
func (k *KV) waitSilent() {
	for end := time.Now().Add(maxSilentTime); time.Now().Before(end); time.Sleep(watchPollInterval) {
		if faults, _ := k.Faults(); !faults.Silent {
			return
		}
	}
}

// takeLostAnswer reports whether to drop the answer to a write that took effect,
// and if so, decrements LoseAnswers.
func (k *KV) takeLostAnswer() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.LoseAnswers == 0 {
		return false
	}
	k.faults.LoseAnswers--
	return true
}

// rewritingKV changes the entries that are read from a key-value service.
type rewritingKV struct {
	quetzalpier.KV
	rewrite func(quetzalpier.Entry) quetzalpier.Entry
}

// Range implements quetzalpier.KV.
func (k rewritingKV) Range(ctx context.Context, prefix string, allowStale bool) (quetzalpier.Changes, error) {
	changes, err := k.KV.Range(ctx, prefix, allowStale)
	return k.changed(changes), err
}

// RangeFrom implements quetzalpier.KV.
func (k rewritingKV) RangeFrom(ctx context.Context, prefix, after string, allowStale bool) (quetzalpier.Changes, bool, error) {
	changes, more, err := k.KV.RangeFrom(ctx, prefix, after, allowStale)
	return k.changed(changes), more, err
}

// WatchPrefix implements quetzalpier.KV.
func (k rewritingKV) WatchPrefix(ctx context.Context, prefix string, rev uint64, wait time.Duration) (quetzalpier.Changes, error) {
	changes, err := k.KV.WatchPrefix(ctx, prefix, rev, wait)
	return k.changed(changes), err
}

func (k rewritingKV) changed(changes quetzalpier.Changes) quetzalpier.Changes {
	if k.rewrite == nil {
		return changes
	}
	entries := make([]quetzalpier.Entry, 0, len(changes.Entries))
	for _, entry := range changes.Entries {
		entries = append(entries, k.rewrite(entry))
	}
	changes.Entries = entries
	return changes
}
