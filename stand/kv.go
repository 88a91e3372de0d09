package stand

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// MaxValue is the largest value the key-value service takes, in bytes.
const MaxValue = 1 << 20

// KVCounts is what the key-value service counted.
type KVCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Waiting int    `json:"waiting"`
}

// KVFaults are the switches of the key-value service.
type KVFaults struct {
	// Out makes every call fail without effect.
	Out bool `json:"out"`
	// Slow delays every call, in milliseconds.
	Slow int `json:"slow"`
	// Lose drops the answers of this many further writes after they took effect.
	Lose int `json:"lose"`
}

// KV is the stand-in for the platform's key-value service.
type KV struct {
	*Server

	mu     sync.Mutex
	rev    uint64
	keys   map[string]*kvEntry
	leases map[string]*kvLease
	counts KVCounts
	faults KVFaults
}

type kvEntry struct {
	value   []byte
	rev     uint64
	lease   string
	changed chan struct{}
}

type kvLease struct {
	ttl  time.Duration
	ends time.Time
}

// NewKV starts the service on addr.
func NewKV(addr string) (*KV, error) {
	k := &KV{keys: map[string]*kvEntry{}, leases: map[string]*kvLease{}}
	server, err := Serve(addr, k.handle)
	if err != nil {
		return nil, err
	}
	k.Server = server
	return k, nil
}

// Counts returns the calls counted so far.
func (k *KV) Counts() KVCounts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// SetFaults sets the switches.
func (k *KV) SetFaults(f KVFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Value reads a key past all switches, for checks from the outside.
func (k *KV) Value(key string) ([]byte, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.keys[key]
	if e == nil {
		return nil, 0
	}
	return e.value, e.rev
}

func (k *KV) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	switch {
	case path == "/faults":
		var f KVFaults
		if json.Unmarshal(c.PostBody(), &f) == nil {
			k.SetFaults(f)
		}
		return
	case path == "/counts":
		body, _ := json.Marshal(k.Counts())
		c.SetBody(body)
		return
	}
	k.mu.Lock()
	faults := k.faults
	k.mu.Unlock()
	time.Sleep(time.Duration(faults.Slow) * time.Millisecond)
	if faults.Out {
		c.Error("out of service", fasthttp.StatusServiceUnavailable)
		return
	}
	key := string(c.QueryArgs().Peek("key"))
	switch path {
	case "/kv":
		k.handleKey(c, key)
	case "/watch":
		k.handleWatch(c, key)
	case "/lease":
		k.handleLease(c)
	default:
		c.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (k *KV) handleKey(c *fasthttp.RequestCtx, key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(time.Now())
	if c.IsGet() {
		k.counts.Reads++
		k.answer(c, k.keys[key])
		return
	}
	k.counts.Writes++
	rev := uint64(c.QueryArgs().GetUintOrZero("rev"))
	e := k.keys[key]
	if current := revOf(e); current != rev {
		c.Response.Header.Set("Rev", strconv.FormatUint(current, 10))
		c.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	if c.IsDelete() {
		k.remove(key)
	} else if !k.put(c, key, e) {
		return
	}
	if k.faults.Lose > 0 {
		k.faults.Lose--
		_ = c.Conn().Close()
	}
}

func (k *KV) put(c *fasthttp.RequestCtx, key string, e *kvEntry) bool {
	if len(c.PostBody()) > MaxValue {
		c.Error("value too large", fasthttp.StatusRequestEntityTooLarge)
		return false
	}
	lease := string(c.QueryArgs().Peek("lease"))
	if lease != "" && k.leases[lease] == nil {
		c.Error("no such lease", fasthttp.StatusGone)
		return false
	}
	if e != nil {
		close(e.changed)
	}
	k.rev++
	k.keys[key] = &kvEntry{
		value:   append([]byte(nil), c.PostBody()...),
		rev:     k.rev,
		lease:   lease,
		changed: make(chan struct{}),
	}
	c.Response.Header.Set("Rev", strconv.FormatUint(k.rev, 10))
	return true
}

func (k *KV) remove(key string) {
	if e := k.keys[key]; e != nil {
		close(e.changed)
		delete(k.keys, key)
	}
}

func (k *KV) answer(c *fasthttp.RequestCtx, e *kvEntry) {
	c.Response.Header.Set("Rev", strconv.FormatUint(revOf(e), 10))
	if e == nil {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	c.SetBody(e.value)
}

func (k *KV) handleWatch(c *fasthttp.RequestCtx, key string) {
	rev := uint64(c.QueryArgs().GetUintOrZero("rev"))
	wait := time.Duration(c.QueryArgs().GetUintOrZero("wait")) * time.Millisecond
	deadline := time.Now().Add(wait)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Watches++
	k.counts.Waiting++
	defer func() { k.counts.Waiting-- }()
	for {
		k.expire(time.Now())
		e := k.keys[key]
		left := time.Until(deadline)
		if revOf(e) != rev || left <= 0 || k.faults.Out {
			k.answer(c, e)
			return
		}
		k.waitChange(e, min(left, 50*time.Millisecond))
	}
}

// waitChange gives up the lock until the entry changes or the time is over.
func (k *KV) waitChange(e *kvEntry, limit time.Duration) {
	var changed chan struct{}
	if e != nil {
		changed = e.changed
	}
	k.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(limit):
	}
	k.mu.Lock()
}

func (k *KV) handleLease(c *fasthttp.RequestCtx) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(time.Now())
	k.counts.Writes++
	if c.IsPost() {
		ttl := time.Duration(c.QueryArgs().GetUintOrZero("ttl")) * time.Millisecond
		k.rev++
		id := "l" + strconv.FormatUint(k.rev, 10)
		k.leases[id] = &kvLease{ttl, time.Now().Add(ttl)}
		c.SetBodyString(id)
		return
	}
	lease := k.leases[string(c.QueryArgs().Peek("id"))]
	if lease == nil {
		c.Error("no such lease", fasthttp.StatusGone)
		return
	}
	lease.ends = time.Now().Add(lease.ttl)
}

// expire ends leases and removes their keys.
func (k *KV) expire(now time.Time) {
	for id, lease := range k.leases {
		if now.Before(lease.ends) {
			continue
		}
		delete(k.leases, id)
		for key, e := range k.keys {
			if e.lease == id {
				k.remove(key)
			}
		}
	}
}

func revOf(e *kvEntry) uint64 {
	if e == nil {
		return 0
	}
	return e.rev
}
