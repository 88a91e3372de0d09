package stand

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

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
}

// KV is the stand-in for the platform's key-value service, over HTTP.
type KV struct {
	*Server
	*MemoryKV

	mu     sync.Mutex
	faults KVFaults
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

// SetFaults replaces the injected faults.
func (k *KV) SetFaults(f KVFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
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
	k.mu.Lock()
	faults := k.faults
	k.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	if faults.Unavailable {
		c.Error("key-value service is unavailable", http.StatusInternalServerError)
		return
	}
	platform.HandleKV(k.MemoryKV, c)
	if !c.IsGet() && c.Response.StatusCode() == http.StatusOK && k.takeLostAnswer() {
		_ = c.Conn().Close()
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
