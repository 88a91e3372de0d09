package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
)

// KVFaults are the switches of the key-value service.
type KVFaults struct {
	// Out makes every call fail without effect.
	Out bool `json:"out"`
	// Slow delays every call, in milliseconds.
	Slow int `json:"slow"`
	// Lose drops the answers of this many further writes after they took effect.
	Lose int `json:"lose"`
}

// KV is the stand-in for the platform's key-value service, over HTTP.
type KV struct {
	*Server
	*Memory

	mu     sync.Mutex
	faults KVFaults
}

// NewKV starts the service on addr.
func NewKV(addr string) (*KV, error) {
	k := &KV{Memory: NewMemory()}
	server, err := Serve(addr, 0, k.handle)
	if err != nil {
		return nil, err
	}
	k.Server = server
	return k, nil
}

// SetFaults sets the switches.
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
	time.Sleep(time.Duration(faults.Slow) * time.Millisecond)
	if faults.Out {
		c.Error("out of service", http.StatusServiceUnavailable)
		return
	}
	err := k.call(c, string(c.Method())+" "+string(c.Path()))
	if err != nil {
		writeFault(c, err)
		return
	}
	if !c.IsGet() && k.lose() {
		_ = c.Conn().Close()
	}
}

// lose tells whether the answer of a write that took effect is to be dropped.
func (k *KV) lose() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.Lose == 0 {
		return false
	}
	k.faults.Lose--
	return true
}

func (k *KV) call(c *fasthttp.RequestCtx, name string) error {
	args := c.QueryArgs()
	key := string(args.Peek("key"))
	rev, _ := strconv.ParseUint(string(args.Peek("rev")), 10, 64)
	ctx := context.Background()
	switch name {
	case "GET /kv":
		e, err := k.Get(ctx, key)
		return writeEntry(c, e, err)
	case "PUT /kv":
		next, err := k.Swap(ctx, key, c.PostBody(), rev, string(args.Peek("lease")))
		setRev(c, next)
		return err
	case "DELETE /kv":
		return k.Delete(ctx, key, rev)
	case "GET /watch":
		e, err := k.Watch(ctx, key, rev, millis(args, "wait"))
		return writeEntry(c, e, err)
	case "POST /lease":
		id, err := k.Grant(ctx, millis(args, "ttl"))
		c.SetBodyString(id)
		return err
	case "PUT /lease":
		return k.Renew(ctx, string(args.Peek("id")))
	default:
		return &quetzalpier.RefusedError{Call: name, Reason: "no such call"}
	}
}

func millis(args *fasthttp.Args, name string) time.Duration {
	return time.Duration(args.GetUintOrZero(name)) * time.Millisecond
}

func setRev(c *fasthttp.RequestCtx, rev uint64) {
	c.Response.Header.Set("Rev", strconv.FormatUint(rev, 10))
}

func writeEntry(c *fasthttp.RequestCtx, e quetzalpier.Entry, err error) error {
	setRev(c, e.Rev)
	c.SetBody(e.Value)
	if err == nil && e.Rev == 0 {
		c.SetStatusCode(http.StatusNotFound)
	}
	return err
}

func writeFault(c *fasthttp.RequestCtx, err error) {
	var swap *quetzalpier.SwapError
	var lost *quetzalpier.LostError
	c.Response.ResetBody()
	switch {
	case errors.As(err, &swap):
		setRev(c, swap.Rev)
		c.SetStatusCode(http.StatusConflict)
	case errors.As(err, &lost):
		c.SetStatusCode(http.StatusGone)
	default:
		c.Error(err.Error(), http.StatusBadRequest)
	}
}
