// Package train is the client library of trainers. It tracks which samples of the
// step the trainer has received, retries failed calls at other nodes, and returns
// each sample only once and only if its weights are recent enough.
package train

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/client"
	"quetzalpier/find"
	"quetzalpier/sleep"
)

const (
	callTimeout = 10 * time.Second
	// retryDelay is the least delay before a call is retried.
	retryDelay = 100 * time.Millisecond
)

// Client makes the calls of one trainer. It is not safe for concurrent use.
type Client struct {
	Trainer string
	// Version is the newest version that the trainer has published.
	Version quetzalpier.Version
	// MaxAge is the largest age of a sample, in weight versions.
	MaxAge uint64

	step     quetzalpier.Step
	received quetzalpier.Bitmap
	resolver *find.Resolver
	http     *fasthttp.Client
	// Retries counts the attempts that failed and were retried at the next node.
	Retries int
}

// New returns a client of a trainer; seeds are the addresses of some nodes.
func New(trainer string, seeds []string) *Client {
	http := client.NewSingleAttempt()
	http.MaxIdleConnDuration = 2 * time.Second
	return &Client{Trainer: trainer, resolver: &find.Resolver{Caller: trainer, Seeds: seeds}, http: http}
}

// OpenStep opens a step without any received samples.
func (c *Client) OpenStep(ctx context.Context, s quetzalpier.Step) error {
	s.Trainer = c.Trainer
	s.Version = c.Version
	s.MaxAge = c.MaxAge
	c.step = s
	c.received = nil
	return c.putStep(ctx)
}

// Restore sets the step and its received samples from a checkpoint of the trainer.
func (c *Client) Restore(s quetzalpier.Step, received quetzalpier.Bitmap) {
	s.Trainer = c.Trainer
	s.Version = c.Version
	s.MaxAge = c.MaxAge
	c.step = s
	c.received = append(quetzalpier.Bitmap(nil), received...)
}

// Received returns the set of samples that the trainer has received.
func (c *Client) Received() quetzalpier.Bitmap { return append(quetzalpier.Bitmap(nil), c.received...) }

func (c *Client) putStep(ctx context.Context) error {
	_, err := c.call(ctx, fasthttp.MethodPut, c.stepPath(""), c.step, callTimeout)
	return err
}

// Pull waits up to wait for finished samples and returns the new ones and the
// number of samples that have not been received.
func (c *Client) Pull(ctx context.Context, wait time.Duration) ([]quetzalpier.Sample, int, error) {
	maxAge := c.MaxAge
	body, err := c.call(ctx, fasthttp.MethodPost, c.stepPath("/pull"), quetzalpier.Pull{
		Have: c.received, Version: c.Version, MaxAge: &maxAge, WaitMillis: wait.Milliseconds(),
	}, wait+callTimeout)
	if err != nil {
		return nil, c.Remaining(), err
	}
	var batch quetzalpier.Batch
	if err := json.Unmarshal(body, &batch); err != nil {
		return nil, c.Remaining(), errors.Wrap(err, "decode batch")
	}
	return c.acceptNew(batch), c.Remaining(), nil
}

// acceptNew records and returns the samples that are new and recent enough. The
// age is checked again here, because the response may have been delayed.
func (c *Client) acceptNew(batch quetzalpier.Batch) []quetzalpier.Sample {
	var samples []quetzalpier.Sample
	for _, sample := range batch.Samples {
		if c.received.Has(sample.Index) || sample.Index >= c.step.Samples() || !sample.Fresh(c.Version, c.MaxAge) {
			continue
		}
		c.received = c.received.Set(sample.Index)
		samples = append(samples, sample)
	}
	return samples
}

// Remaining returns the number of samples of the step that have not been received.
func (c *Client) Remaining() int { return c.step.Samples() - c.received.Count() }

// Publish announces a new version of the pool's weights to the service.
func (c *Client) Publish(ctx context.Context, pool string, version quetzalpier.Version) error {
	c.Version = max(c.Version, version)
	_, err := c.call(ctx, fasthttp.MethodPost, "/v1/trainers/"+c.Trainer+"/publish", quetzalpier.Publish{Pool: pool, Version: version}, callTimeout)
	return err
}

// CloseStep closes the step at the service.
func (c *Client) CloseStep(ctx context.Context) error {
	_, err := c.call(ctx, fasthttp.MethodDelete, c.stepPath(""), nil, callTimeout)
	return err
}

func (c *Client) stepPath(suffix string) string {
	return "/v1/trainers/" + c.Trainer + "/steps/" + strconv.FormatUint(c.step.Number, 10) + suffix
}

// call sends a request to one node after another until one returns a final
// response. If the step is not found, it is opened again before the retry. All
// calls of a trainer are idempotent, so they may be retried.
func (c *Client) call(ctx context.Context, method, path string, value any, timeout time.Duration) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode request body")
	}
	for {
		addr := c.resolver.Addr(time.Now())
		status, response, retryAfter, err := c.callOnce(method, addr+path, body, timeout)
		if err == nil && status == http.StatusOK {
			return response, nil
		}
		if err == nil && status == http.StatusNotFound && method != fasthttp.MethodPut {
			if err := c.putStep(ctx); err != nil {
				return nil, err
			}
			if !sleep.For(ctx, retryDelay) {
				return nil, errors.Wrapf(ctx.Err(), "%s %s", method, path)
			}
			continue
		}
		if err == nil && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
			return nil, parseRefusal(status, response)
		}
		c.Retries++
		c.resolver.MarkFailed(addr)
		if !sleep.For(ctx, max(retryAfter, retryDelay)) {
			return nil, errors.Wrapf(ctx.Err(), "%s %s: last HTTP status %d, error: %v", method, path, status, err)
		}
	}
}

func (c *Client) callOnce(method, url string, body []byte, timeout time.Duration) (int, []byte, time.Duration, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + url)
	req.Header.SetMethod(method)
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return 0, nil, 0, err
	}
	seconds, _ := strconv.Atoi(string(resp.Header.Peek("Retry-After")))
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), time.Duration(seconds) * time.Second, nil
}

func parseRefusal(status int, body []byte) error {
	r := &quetzalpier.Refusal{Status: status}
	if err := json.Unmarshal(body, r); err != nil {
		return errors.Errorf("HTTP status %d: %s", status, body)
	}
	return r
}
