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
	// ChunkTokens is the minimum number of new tokens in a chunk of the stream.
	ChunkTokens int `json:"every"`
	// Seed varies the length of the output.
	Seed   int64        `json:"seed"`
	Resume *resumePoint `json:"resume"`
}

type resumePoint struct {
	Tokens int               `json:"tokens"`
	Spans  quetzalpier.Spans `json:"spans"`
}

// OutputLength returns the number of tokens that an engine generates for a prompt.
// The distribution is heavy-tailed; the number is the same on every engine.
func OutputLength(prompt string, seed int64, maxTokens int) int {
	h := xxhash.Sum64String(prompt + "#" + strconv.FormatInt(seed, 10))
	u := float64(h%10_000)/10_000 + 0.0001
	n := int(float64(maxTokens) / 16 / u)
	return max(1, min(maxTokens, n))
}

// OutputText returns the text of the output tokens for a prompt, from index from
// (inclusive) to index to (exclusive).
func OutputText(prompt string, from, to int) string {
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
	job := e.startJob(req, prompt)
	response := &engineResponse{engine: e, job: job, chat: chat, chunkTokens: max(1, req.ChunkTokens), model: req.Model}
	if !req.Stream {
		response.writeComplete(c)
		return
	}
	c.SetContentType("text/event-stream")
	c.SetBodyStreamWriter(response.writeStream)
}

func (e *Engine) startJob(req generateRequest, prompt string) *engineJob {
	maxTokens := req.MaxTokens
	if maxTokens <= 0 {
		maxTokens = 64
	}
	seq := &model.Seq{
		Priority:     req.Priority,
		PrefixHash:   xxhash.Sum64String(prompt[:min(len(prompt), 256)]),
		PromptTokens: len(prompt) / 4,
		TargetTokens: OutputLength(prompt, req.Seed, maxTokens),
	}
	job := &engineJob{seq: seq, prompt: prompt, crashesEngine: strings.Contains(prompt, CrashMarker), progressCh: make(chan struct{}, 1)}
	if req.Resume != nil {
		seq.GeneratedTokens = min(req.Resume.Tokens, seq.TargetTokens)
		seq.Spans = append(seq.Spans, req.Resume.Spans...)
		job.sentTokens = seq.GeneratedTokens
	}
	e.mu.Lock()
	e.lastID++
	seq.ID = strconv.FormatUint(e.lastID, 10)
	e.runs[prompt]++
	e.lastRun = time.Now()
	e.jobs[seq.ID] = job
	if !seq.Done() {
		e.batch.Add(seq)
	}
	e.mu.Unlock()
	e.wakeRunner()
	return job
}

// waitProgress waits for the next step or heartbeat. It returns the number of
// tokens generated so far, their spans, and whether the engine has crashed or
// stopped.
func (e *Engine) waitProgress(job *engineJob) (generated int, spans quetzalpier.Spans, aborted bool) {
	select {
	case <-job.progressCh:
	case <-e.stopCh:
	case <-time.After(heartbeatEvery):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return job.seq.GeneratedTokens, append(quetzalpier.Spans(nil), job.seq.Spans...), job.aborted || isClosed(e.stopCh)
}

func isClosed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

func (e *Engine) endJob(job *engineJob) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs[job.seq.ID] == job {
		e.batch.Cancel(job.seq.ID)
		delete(e.jobs, job.seq.ID)
	}
}

type engineResponse struct {
	engine      *Engine
	job         *engineJob
	chat        bool
	chunkTokens int
	model       string
}

func (s *engineResponse) writeComplete(c *fasthttp.RequestCtx) {
	defer s.engine.endJob(s.job)
	for {
		generated, spans, aborted := s.engine.waitProgress(s.job)
		if aborted {
			_ = c.Conn().Close()
			return
		}
		if generated >= s.job.seq.TargetTokens {
			c.SetContentType("application/json")
			c.SetBody(s.completionBody(spans))
			return
		}
	}
}

func (s *engineResponse) completionBody(spans quetzalpier.Spans) []byte {
	target := s.job.seq.TargetTokens
	text := OutputText(s.job.prompt, 0, target)
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

func (s *engineResponse) usage() map[string]int {
	prompt, generated := s.job.seq.PromptTokens, s.job.seq.TargetTokens
	return map[string]int{"prompt_tokens": prompt, "completion_tokens": generated, "total_tokens": prompt + generated}
}

func (s *engineResponse) writeStream(w *bufio.Writer) {
	defer s.engine.endJob(s.job)
	for {
		generated, spans, aborted := s.engine.waitProgress(s.job)
		if aborted {
			// The crash resets the connection; the stream must not look complete.
			return
		}
		done := generated >= s.job.seq.TargetTokens
		if !done && generated-s.job.sentTokens < s.chunkTokens {
			if _, err := w.WriteString(": working\n\n"); err != nil || w.Flush() != nil {
				return
			}
			continue
		}
		if s.writeEvents(w, generated, spans, done) != nil || done {
			return
		}
	}
}

// writeEvents writes the tokens generated since the last call, with one event for
// each span of a weight version.
func (s *engineResponse) writeEvents(w *bufio.Writer, generated int, spans quetzalpier.Spans, done bool) error {
	for _, span := range spans {
		from, to := max(span.From, s.job.sentTokens), min(span.To, generated)
		if from >= to {
			continue
		}
		if err := s.writeEvent(w, from, to, span.Version, done && to == generated); err != nil {
			return err
		}
		s.job.sentTokens = to
	}
	if done {
		if _, err := w.WriteString("data: [DONE]\n\n"); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (s *engineResponse) writeEvent(w *bufio.Writer, from, to int, version quetzalpier.Version, last bool) error {
	text := OutputText(s.job.prompt, from, to)
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
