package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/find"
	"quetzalpier/stand"
)

// request is one request of a caller, with the key that identifies it.
type request struct {
	caller Caller
	key    string
	prompt string
}

// outcome is how a request ended: answered, refused as not run, refused while it
// is unknown whether it ran, refused although it ran, cut off during the response,
// answered with a wrong body, or failed without a valid response.
type outcome string

const (
	outcomeOK      outcome = "ok"
	outcomeNotRun  outcome = "no"
	outcomeUnknown outcome = "unknown"
	outcomeRan     outcome = "ran"
	outcomeCut     outcome = "cut"
	outcomeWrong   outcome = "wrong"
	outcomeFailed  outcome = "failed"
)

const defaultTimeout = 10 * time.Second

func newRequest(c Caller, n int, rnd *rand.Rand) request {
	promptIndex := rnd.IntN(max(1, c.Prompts))
	return request{
		caller: c, key: fmt.Sprintf("%s-%d", c.Name, n),
		prompt: strings.Repeat(fmt.Sprintf("prompt %d of %s. ", promptIndex, c.Name), 12) + strconv.Itoa(n),
	}
}

// send sends the request, retries it up to the caller's limit and records the last
// outcome.
func (r *run) send(req request, resolver *find.Resolver, o *Outcomes) {
	start := time.Now()
	var last outcome
	for n := 0; n <= req.caller.Retries; n++ {
		var retryAfter time.Duration
		last, retryAfter = r.attempt(req, resolver)
		if last == outcomeOK || last == outcomeWrong || last == outcomeRan {
			break
		}
		time.Sleep(max(retryAfter, 50*time.Millisecond))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o.record(last, time.Since(start))
	if req.caller.Kind != "once" {
		return
	}
	switch last {
	case outcomeOK:
		r.report.AnsweredKeys = append(r.report.AnsweredKeys, req.key)
	case outcomeNotRun:
		r.report.RefusedKeys = append(r.report.RefusedKeys, req.key)
	}
}

func (o *Outcomes) record(last outcome, took time.Duration) {
	o.Sent++
	_ = o.histogram.RecordValue(took.Microseconds())
	switch last {
	case outcomeOK:
		o.OK++
	case outcomeNotRun:
		o.NotRun++
	case outcomeUnknown:
		o.Unknown++
	case outcomeRan:
		o.Ran++
	case outcomeCut:
		o.Cut++
	case outcomeWrong:
		o.Wrong++
	default:
		o.Failed++
	}
}

// attempt sends the request once to the current node. It also returns the delay
// that a refusal requests.
func (r *run) attempt(req request, resolver *find.Resolver) (outcome, time.Duration) {
	addr := resolver.Addr(time.Now())
	call := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(call)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	timeout := req.caller.Timeout.D()
	if timeout == 0 {
		timeout = defaultTimeout
	}
	req.encode(call, addr, timeout)
	started := time.Now()
	err := r.http.DoTimeout(call, resp, timeout+5*time.Second)
	if err != nil {
		resolver.MarkFailed(addr)
		if !errors.Is(err, fasthttp.ErrTimeout) {
			r.recordBrokenConn(addr, started)
		}
		return outcomeFailed, 0
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		return r.readRefusal(resp, resolver, addr)
	}
	result := req.verify(resp)
	if result == outcomeCut {
		r.recordBrokenConn(addr, started)
	}
	return result, 0
}

func (r *run) recordBrokenConn(addr string, started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.BrokenConns[addr] = append(r.report.BrokenConns[addr], started)
}

func (r *run) readRefusal(resp *fasthttp.Response, resolver *find.Resolver, addr string) (outcome, time.Duration) {
	body, err := io.ReadAll(resp.BodyStream())
	var refusal quetzalpier.Refusal
	if err != nil || json.Unmarshal(body, &refusal) != nil {
		return outcomeFailed, 0
	}
	millis, _ := strconv.Atoi(string(resp.Header.Peek("Retry-After-Ms")))
	retryAfter := time.Duration(millis) * time.Millisecond
	if refusal.Type == "stale" || refusal.Type == "draining" {
		resolver.MarkFailed(addr)
	}
	switch refusal.Ran {
	case quetzalpier.RanNo:
		return outcomeNotRun, retryAfter
	case quetzalpier.RanYes:
		return outcomeRan, retryAfter
	default:
		return outcomeUnknown, retryAfter
	}
}

func (q request) encode(call *fasthttp.Request, addr string, timeout time.Duration) {
	c := q.caller
	call.Header.Set("Quetzalpier-Caller", c.Name)
	call.Header.Set("Quetzalpier-Timeout", timeout.String())
	switch c.Kind {
	case "whole", "stream":
		body, _ := json.Marshal(map[string]any{"model": c.Pool, "prompt": q.prompt, "max_tokens": c.Tokens, "stream": c.Kind == "stream"})
		call.SetRequestURI("http://" + addr + "/v1/completions")
		call.Header.SetMethod(fasthttp.MethodPost)
		call.SetBody(body)
	case "read":
		call.SetRequestURI("http://" + addr + "/svc/" + c.Pool + "/jobs/" + q.key)
	default:
		call.SetRequestURI("http://" + addr + "/svc/" + c.Pool + "/payouts")
		call.Header.SetMethod(fasthttp.MethodPost)
		call.Header.Set("Idempotency-Key", q.key)
		call.SetBodyString(q.key)
	}
}

// verify checks that the response is complete and belongs to the request.
func (q request) verify(resp *fasthttp.Response) outcome {
	body, err := io.ReadAll(resp.BodyStream())
	if err != nil {
		return outcomeCut
	}
	want := stand.OutputText(q.prompt, 0, stand.OutputLength(q.prompt, 0, max(q.caller.Tokens, 1)))
	var got string
	switch q.caller.Kind {
	case "whole":
		var answer struct{ Choices []struct{ Text string } }
		if json.Unmarshal(body, &answer) != nil || len(answer.Choices) != 1 {
			return outcomeWrong
		}
		got = answer.Choices[0].Text
	case "stream":
		text, ended := streamText(body)
		if !ended {
			return outcomeWrong
		}
		got = text
	default:
		want, got = q.key, q.echoedKey(body)
	}
	if got != want {
		return outcomeWrong
	}
	return outcomeOK
}

// echoedKey returns the key in a plain service's response.
func (q request) echoedKey(body []byte) string {
	var answer struct{ Path, Key string }
	if json.Unmarshal(body, &answer) != nil {
		return ""
	}
	if q.caller.Kind == "read" {
		return strings.TrimPrefix(answer.Path, "/jobs/")
	}
	return answer.Key
}

// streamText joins the texts of the events and reports whether the end marker was
// found.
func streamText(body []byte) (string, bool) {
	var text strings.Builder
	scanner := bufio.NewScanner(bytes.NewReader(body))
	scanner.Buffer(nil, len(body)+1)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var event struct{ Choices []struct{ Text string } }
		if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			text.WriteString(event.Choices[0].Text)
		}
	}
	return text.String(), false
}
