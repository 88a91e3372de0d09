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

// request is one request of a caller.
type request struct {
	caller Caller
	key    string
	prompt string
}

// outcome is how a request ended.
type outcome string

const (
	outcomeOK      outcome = "ok"
	outcomeNo      outcome = "no"
	outcomeUnknown outcome = "unknown"
	outcomeRan     outcome = "ran"
	outcomeCut     outcome = "cut"
	outcomeWrong   outcome = "wrong"
	outcomeFailed  outcome = "failed"
)

const defaultTimeout = 10 * time.Second

func newRequest(c Caller, n int, rnd *rand.Rand) request {
	start := rnd.IntN(max(1, c.Prompts))
	return request{
		caller: c, key: fmt.Sprintf("%s-%d", c.Name, n),
		prompt: strings.Repeat(fmt.Sprintf("prompt %d of %s. ", start, c.Name), 12) + strconv.Itoa(n),
	}
}

// send sends the request, and again as often as its caller does.
func (r *run) send(req request, nodes *find.Nodes, o *Outcomes) {
	start := time.Now()
	var last outcome
	for try := 0; try <= req.caller.Resend; try++ {
		var after time.Duration
		last, after = r.once(req, nodes)
		if last == outcomeOK || last == outcomeWrong || last == outcomeRan {
			break
		}
		time.Sleep(max(after, 50*time.Millisecond))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o.count(last, time.Since(start))
	if req.caller.Kind != "once" {
		return
	}
	switch last {
	case outcomeOK:
		r.report.Answered = append(r.report.Answered, req.key)
	case outcomeNo:
		r.report.Refused = append(r.report.Refused, req.key)
	}
}

func (o *Outcomes) count(last outcome, took time.Duration) {
	o.Sent++
	_ = o.hist.RecordValue(took.Microseconds())
	switch last {
	case outcomeOK:
		o.OK++
	case outcomeNo:
		o.No++
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

// once makes one try at the node in use.
func (r *run) once(req request, nodes *find.Nodes) (outcome, time.Duration) {
	addr := nodes.Addr(time.Now())
	call := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(call)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	timeout := req.caller.Timeout.D()
	if timeout == 0 {
		timeout = defaultTimeout
	}
	req.fill(call, addr, timeout)
	started := time.Now()
	err := r.http.DoTimeout(call, resp, timeout+5*time.Second)
	if err != nil {
		nodes.Failed(addr)
		if !errors.Is(err, fasthttp.ErrTimeout) {
			r.broke(addr, started)
		}
		return outcomeFailed, 0
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		return r.refused(resp, nodes, addr)
	}
	result := req.check(resp)
	if result == outcomeCut {
		r.broke(addr, started)
	}
	return result, 0
}

func (r *run) broke(addr string, started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Broken[addr] = append(r.report.Broken[addr], started)
}

func (r *run) refused(resp *fasthttp.Response, nodes *find.Nodes, addr string) (outcome, time.Duration) {
	body, err := io.ReadAll(resp.BodyStream())
	var refusal quetzalpier.Refusal
	if err != nil || json.Unmarshal(body, &refusal) != nil {
		return outcomeFailed, 0
	}
	millis, _ := strconv.Atoi(string(resp.Header.Peek("Retry-After-Ms")))
	after := time.Duration(millis) * time.Millisecond
	if refusal.Type == "stale" || refusal.Type == "draining" {
		nodes.Failed(addr)
	}
	switch refusal.Ran {
	case quetzalpier.RanNo:
		return outcomeNo, after
	case quetzalpier.RanYes:
		return outcomeRan, after
	default:
		return outcomeUnknown, after
	}
}

func (q request) fill(call *fasthttp.Request, addr string, timeout time.Duration) {
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

// check tells whether the answer is whole and the request's own.
func (q request) check(resp *fasthttp.Response) outcome {
	body, err := io.ReadAll(resp.BodyStream())
	if err != nil {
		return outcomeCut
	}
	want := stand.Words(q.prompt, 0, stand.Length(q.prompt, 0, max(q.caller.Tokens, 1)))
	var got string
	switch q.caller.Kind {
	case "whole":
		var answer struct{ Choices []struct{ Text string } }
		if json.Unmarshal(body, &answer) != nil || len(answer.Choices) != 1 {
			return outcomeWrong
		}
		got = answer.Choices[0].Text
	case "stream":
		text, ended := streamed(body)
		if !ended {
			return outcomeWrong
		}
		got = text
	default:
		want, got = q.key, q.echoed(body)
	}
	if got != want {
		return outcomeWrong
	}
	return outcomeOK
}

// echoed is the key that a plain service's answer names.
func (q request) echoed(body []byte) string {
	var answer struct{ Path, Key string }
	if json.Unmarshal(body, &answer) != nil {
		return ""
	}
	if q.caller.Kind == "read" {
		return strings.TrimPrefix(answer.Path, "/jobs/")
	}
	return answer.Key
}

// streamed joins the events' texts; false if the end mark is missing.
func streamed(body []byte) (string, bool) {
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
