package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/model"
)

type generateRequest struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	Priority  int  `json:"priority"`
	// Every is how many tokens a chunk of the stream holds.
	Every int `json:"every"`
	// Seed varies the length of the answer.
	Seed   int64         `json:"seed"`
	Resume *resumeTokens `json:"resume"`
}

type resumeTokens struct {
	Tokens int               `json:"tokens"`
	Spans  quetzalpier.Spans `json:"spans"`
}

// Length is how many tokens the engine makes for a prompt: heavy-tailed, and
// the same at every engine.
func Length(prompt string, seed int64, most int) int {
	h := xxhash.Sum64String(prompt + "#" + strconv.FormatInt(seed, 10))
	u := float64(h%10_000)/10_000 + 0.0001
	n := int(float64(most) / 16 / u)
	return max(1, min(most, n))
}

// Words returns the tokens from (included) to to (excluded) of a prompt's answer.
func Words(prompt string, from, to int) string {
	var b strings.Builder
	sum := xxhash.Sum64String(prompt) % 0xffff
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "%x.%d ", sum, i)
	}
	return b.String()
}

func (e *Engine) handleGenerate(c *fasthttp.RequestCtx) {
	var req generateRequest
	if err := json.Unmarshal(c.PostBody(), &req); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	chat := strings.HasSuffix(string(c.Path()), "/chat/completions")
	prompt := req.Prompt
	for _, m := range req.Messages {
		prompt += m.Role + ":" + m.Content + "\n"
	}
	job := e.start(req, prompt)
	out := &engineStream{engine: e, job: job, chat: chat, every: max(1, req.Every), model: req.Model}
	if !req.Stream {
		out.whole(c)
		return
	}
	c.SetContentType("text/event-stream")
	c.SetBodyStreamWriter(out.stream)
}

func (e *Engine) start(req generateRequest, prompt string) *engineJob {
	most := req.MaxTokens
	if most <= 0 {
		most = 64
	}
	seq := &model.Seq{
		Priority: req.Priority,
		Prefix:   xxhash.Sum64String(prompt[:min(len(prompt), 256)]),
		Prompt:   len(prompt) / 4,
		Want:     Length(prompt, req.Seed, most),
	}
	job := &engineJob{seq: seq, prompt: prompt, poison: strings.Contains(prompt, CrashMark), event: make(chan struct{}, 1)}
	if req.Resume != nil {
		seq.Made = min(req.Resume.Tokens, seq.Want)
		seq.Spans = append(seq.Spans, req.Resume.Spans...)
		job.sent = seq.Made
	}
	e.mu.Lock()
	e.serial++
	seq.ID = strconv.FormatUint(e.serial, 10)
	e.runs[prompt]++
	e.lastRun = time.Now()
	e.jobs[seq.ID] = job
	if !seq.Done() {
		e.batch.Add(seq)
	}
	e.mu.Unlock()
	e.signal()
	return job
}

// progress waits for tokens; it returns how many are made, whether the
// sequence has ended, and whether the engine has crashed meanwhile.
func (e *Engine) progress(job *engineJob) (made int, spans quetzalpier.Spans, gone bool) {
	select {
	case <-job.event:
	case <-e.stop:
	case <-time.After(heartbeatEvery):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return job.seq.Made, append(quetzalpier.Spans(nil), job.seq.Spans...), job.gone || stopped(e.stop)
}

func stopped(stop chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

func (e *Engine) end(job *engineJob) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs[job.seq.ID] == job {
		e.batch.Cancel(job.seq.ID)
		delete(e.jobs, job.seq.ID)
	}
}

type engineStream struct {
	engine *Engine
	job    *engineJob
	chat   bool
	every  int
	model  string
}

func (s *engineStream) whole(c *fasthttp.RequestCtx) {
	defer s.engine.end(s.job)
	for {
		made, spans, gone := s.engine.progress(s.job)
		if gone {
			_ = c.Conn().Close()
			return
		}
		if made >= s.job.seq.Want {
			c.SetContentType("application/json")
			c.SetBody(s.answer(spans))
			return
		}
	}
}

func (s *engineStream) answer(spans quetzalpier.Spans) []byte {
	want := s.job.seq.Want
	text := Words(s.job.prompt, 0, want)
	choice := map[string]any{"index": 0, "finish_reason": "stop", "text": text}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		choice = map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]string{"role": "assistant", "content": text}}
	}
	body, _ := json.Marshal(map[string]any{
		"id": "cmpl-" + s.job.seq.ID, "object": object, "created": 0, "model": s.model,
		"choices": []any{choice}, "spans": spans,
		"usage": s.usage(),
	})
	return body
}

func (s *engineStream) usage() map[string]int {
	prompt, made := s.job.seq.Prompt, s.job.seq.Want
	return map[string]int{"prompt_tokens": prompt, "completion_tokens": made, "total_tokens": prompt + made}
}

func (s *engineStream) stream(w *bufio.Writer) {
	defer s.engine.end(s.job)
	for {
		made, spans, gone := s.engine.progress(s.job)
		if gone {
			// The connection is cut by the crash; nothing may look like an end.
			return
		}
		done := made >= s.job.seq.Want
		if !done && made-s.job.sent < s.every {
			if _, err := w.WriteString(": working\n\n"); err != nil || w.Flush() != nil {
				return
			}
			continue
		}
		if s.events(w, made, spans, done) != nil || done {
			return
		}
	}
}

// events writes the tokens made since the last call, one event a version.
func (s *engineStream) events(w *bufio.Writer, made int, spans quetzalpier.Spans, done bool) error {
	for _, span := range spans {
		from, to := max(span.From, s.job.sent), min(span.To, made)
		if from >= to {
			continue
		}
		if err := s.event(w, from, to, span.Version, done && to == made); err != nil {
			return err
		}
		s.job.sent = to
	}
	if done {
		if _, err := w.WriteString("data: [DONE]\n\n"); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (s *engineStream) event(w *bufio.Writer, from, to int, version quetzalpier.Version, last bool) error {
	text := Words(s.job.prompt, from, to)
	var finish any
	if last {
		finish = "stop"
	}
	choice := map[string]any{"index": 0, "finish_reason": finish, "text": text}
	object := "text_completion"
	if s.chat {
		object = "chat.completion.chunk"
		choice = map[string]any{"index": 0, "finish_reason": finish, "delta": map[string]string{"role": "assistant", "content": text}}
	}
	fields := map[string]any{
		"id": "cmpl-" + s.job.seq.ID, "object": object, "created": 0, "model": s.model,
		"choices": []any{choice}, "version": version, "tokens": to - from,
	}
	if last {
		fields["usage"] = s.usage()
	}
	body, _ := json.Marshal(fields)
	_, err := fmt.Fprintf(w, "data: %s\n\n", body)
	return err
}
