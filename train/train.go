// Package train is the trainers' client. It keeps what the trainer has of its
// step, asks other nodes when one does not answer, and takes each sample once
// and only while it is fresh enough.
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
	// retryPause is the wait before another node is asked.
	retryPause = 100 * time.Millisecond
)

// Client speaks for one trainer. It is not safe for concurrent use.
type Client struct {
	Trainer string
	// Version is the newest version that the trainer has published.
	Version quetzalpier.Version
	Bound   uint64

	step  quetzalpier.Step
	have  quetzalpier.Bitmap
	nodes *find.Nodes
	http  *fasthttp.Client
	// Retries counts the calls that had to be made again.
	Retries int
}

// New returns a client that knows the addresses of some nodes.
func New(trainer string, seeds []string) *Client {
	http := client.Single()
	http.MaxIdleConnDuration = 2 * time.Second
	return &Client{Trainer: trainer, nodes: &find.Nodes{Caller: trainer, Seeds: seeds}, http: http}
}

// Put opens a step.
func (c *Client) Put(ctx context.Context, s quetzalpier.Step) error {
	s.Trainer = c.Trainer
	s.Version = c.Version
	s.MaxAge = c.Bound
	c.step = s
	c.have = nil
	return c.put(ctx)
}

// Restore takes over what the trainer's checkpoint has of the step.
func (c *Client) Restore(s quetzalpier.Step, have quetzalpier.Bitmap) {
	s.Trainer = c.Trainer
	s.Version = c.Version
	s.MaxAge = c.Bound
	c.step = s
	c.have = append(quetzalpier.Bitmap(nil), have...)
}

// Have returns the samples that the trainer holds.
func (c *Client) Have() quetzalpier.Bitmap { return append(quetzalpier.Bitmap(nil), c.have...) }

func (c *Client) put(ctx context.Context) error {
	_, err := c.call(ctx, fasthttp.MethodPut, c.stepPath(""), c.step, callTimeout)
	return err
}

// Pull asks for finished samples and returns the new ones, and how many are
// still to come.
func (c *Client) Pull(ctx context.Context, wait time.Duration) ([]quetzalpier.Sample, int, error) {
	bound := c.Bound
	body, err := c.call(ctx, fasthttp.MethodPost, c.stepPath("/pull"), quetzalpier.Pull{
		Have: c.have, Version: c.Version, MaxAge: &bound, WaitMillis: wait.Milliseconds(),
	}, wait+callTimeout)
	if err != nil {
		return nil, c.Left(), err
	}
	var batch quetzalpier.Batch
	if err := json.Unmarshal(body, &batch); err != nil {
		return nil, c.Left(), errors.Wrap(err, "decode batch")
	}
	return c.take(batch), c.Left(), nil
}

// take keeps the samples that are new and fresh enough. The answer may have
// been under way for long, so freshness is judged again.
func (c *Client) take(batch quetzalpier.Batch) []quetzalpier.Sample {
	var samples []quetzalpier.Sample
	for _, sample := range batch.Samples {
		if c.have.Has(sample.Index) || sample.Index >= c.step.Samples() || !sample.Fresh(c.Version, c.Bound) {
			continue
		}
		c.have = c.have.Set(sample.Index)
		samples = append(samples, sample)
	}
	return samples
}

// Left counts the samples of the step that the trainer lacks.
func (c *Client) Left() int { return c.step.Samples() - c.have.Count() }

// Publish announces a new version of the pool's weights.
func (c *Client) Publish(ctx context.Context, pool string, version quetzalpier.Version) error {
	c.Version = max(c.Version, version)
	_, err := c.call(ctx, fasthttp.MethodPost, "/v1/trainers/"+c.Trainer+"/publish", quetzalpier.Publish{Pool: pool, Version: version}, callTimeout)
	return err
}

// Close ends the step.
func (c *Client) Close(ctx context.Context) error {
	_, err := c.call(ctx, fasthttp.MethodDelete, c.stepPath(""), nil, callTimeout)
	return err
}

func (c *Client) stepPath(suffix string) string {
	return "/v1/trainers/" + c.Trainer + "/steps/" + strconv.FormatUint(c.step.Number, 10) + suffix
}

// call makes a call at one node after the other until one answers. All calls
// of a trainer may be repeated.
func (c *Client) call(ctx context.Context, method, path string, value any, timeout time.Duration) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode call")
	}
	for {
		addr := c.nodes.Addr(time.Now())
		status, answer, after, err := c.once(method, addr+path, body, timeout)
		if err == nil && status == http.StatusOK {
			return answer, nil
		}
		if err == nil && status == http.StatusNotFound && method != fasthttp.MethodPut {
			if err := c.put(ctx); err != nil {
				return nil, err
			}
			if !sleep.For(ctx, retryPause) {
				return nil, errors.Wrapf(ctx.Err(), "%s %s", method, path)
			}
			continue
		}
		if err == nil && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
			return nil, refusal(status, answer)
		}
		c.Retries++
		c.nodes.Failed(addr)
		if !sleep.For(ctx, max(after, retryPause)) {
			return nil, errors.Wrapf(ctx.Err(), "%s %s: last answer %d, %v", method, path, status, err)
		}
	}
}

func (c *Client) once(method, url string, body []byte, timeout time.Duration) (int, []byte, time.Duration, error) {
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

func refusal(status int, body []byte) error {
	r := &quetzalpier.Refusal{Status: status}
	if err := json.Unmarshal(body, r); err != nil {
		return errors.Errorf("status %d: %s", status, body)
	}
	return r
}
