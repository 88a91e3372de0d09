package plat

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
)

// KV is a client of the platform's key-value service.
type KV struct {
	base string
	caller
}

// NewKV returns a client of the service at addr.
func NewKV(addr string) *KV { return &KV{base: "http://" + addr, caller: newCaller()} }

var _ quetzalpier.KV = (*KV)(nil)

// Get implements quetzalpier.KV.
func (k *KV) Get(ctx context.Context, key string) (quetzalpier.Entry, error) {
	r, err := k.do(ctx, http.MethodGet, k.url("/kv", "key", key), nil)
	if err != nil {
		return quetzalpier.Entry{}, err
	}
	return entry(key, r)
}

// Swap implements quetzalpier.KV.
func (k *KV) Swap(ctx context.Context, key string, value []byte, rev uint64, lease string) (uint64, error) {
	r, err := k.do(ctx, http.MethodPut, k.url("/kv", "key", key, "rev", format(rev), "lease", lease), value)
	if err != nil {
		return 0, err
	}
	if err := r.fault("swap", key); err != nil {
		return 0, err
	}
	return parse(r.rev)
}

// Delete implements quetzalpier.KV.
func (k *KV) Delete(ctx context.Context, key string, rev uint64) error {
	r, err := k.do(ctx, http.MethodDelete, k.url("/kv", "key", key, "rev", format(rev)), nil)
	if err != nil {
		return err
	}
	return r.fault("delete", key)
}

// Watch implements quetzalpier.KV.
func (k *KV) Watch(ctx context.Context, key string, rev uint64, wait time.Duration) (quetzalpier.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	millis := strconv.FormatInt(wait.Milliseconds(), 10)
	r, err := k.do(ctx, http.MethodGet, k.url("/watch", "key", key, "rev", format(rev), "wait", millis), nil)
	if err != nil {
		return quetzalpier.Entry{}, err
	}
	return entry(key, r)
}

// Grant implements quetzalpier.KV.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	r, err := k.do(ctx, http.MethodPost, k.url("/lease", "ttl", strconv.FormatInt(ttl.Milliseconds(), 10)), nil)
	if err != nil {
		return "", err
	}
	return string(r.body), r.fault("grant", "")
}

// Renew implements quetzalpier.KV.
func (k *KV) Renew(ctx context.Context, lease string) error {
	r, err := k.do(ctx, http.MethodPut, k.url("/lease", "id", lease), nil)
	if err != nil {
		return err
	}
	return r.fault("renew", lease)
}

func (k *KV) url(path string, args ...string) string {
	values := url.Values{}
	for i := 0; i < len(args); i += 2 {
		values.Set(args[i], args[i+1])
	}
	return k.base + path + "?" + values.Encode()
}

// fault maps a reply's status to the three outcomes. A status that proves
// nothing is unsure.
func (r reply) fault(call, key string) error {
	switch r.status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		rev, err := parse(r.rev)
		if err != nil {
			return &quetzalpier.UnsureError{Call: call, Reason: err.Error()}
		}
		return &quetzalpier.SwapError{Key: key, Rev: rev}
	case http.StatusGone:
		return &quetzalpier.LostError{Lease: key}
	case http.StatusRequestEntityTooLarge, http.StatusBadRequest, http.StatusNotFound:
		return &quetzalpier.RefusedError{Call: call, Reason: string(r.body)}
	default:
		return &quetzalpier.UnsureError{Call: call, Reason: "status " + strconv.Itoa(r.status)}
	}
}

func entry(key string, r reply) (quetzalpier.Entry, error) {
	if r.status == http.StatusNotFound {
		return quetzalpier.Entry{Key: key}, nil
	}
	if err := r.fault("get", key); err != nil {
		return quetzalpier.Entry{}, err
	}
	rev, err := parse(r.rev)
	return quetzalpier.Entry{Key: key, Value: r.body, Rev: rev}, err
}

func format(n uint64) string { return strconv.FormatUint(n, 10) }

func parse(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	return n, errors.Wrap(err, "revision")
}

// unsent tells whether the error proves that no byte of the call was sent.
func unsent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
