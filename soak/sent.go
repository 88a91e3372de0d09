package soak

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"quetzalpier"
	"quetzalpier/platform"
	"quetzalpier/stand"
)

// sentRequests are the requests that clients sent and the tasks and reward calls of jobs, by
// ID. Another job may hold a task again.
type sentRequests struct {
	mu   sync.Mutex
	byID map[string][]stand.Request
}

func (s *sentRequests) add(id string, request stand.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[string][]stand.Request{}
	}
	s.byID[id] = append(s.byID[id], request)
}

// recordSent records a client's request before it is sent.
func (r *Rig) recordSent(req *http.Request) {
	body := ""
	if req.GetBody != nil {
		if reader, err := req.GetBody(); err == nil {
			data, _ := io.ReadAll(reader)
			body = string(data)
		}
	}
	r.sent.add(req.Header.Get(platform.HeaderAttempt), stand.NewRequest(req.Method, req.URL.RequestURI(), req.Header.Get, body))
}

// recordSentJob records the requests that a job asks for before it is submitted.
func (r *Rig) recordSentJob(job quetzalpier.Job) {
	for _, task := range job.Tasks {
		header := func(name string) string { return task.Headers[name] }
		r.sent.add(task.ID, stand.NewRequest(http.MethodPost, task.Path, header, string(task.Body)))
		if reward := task.Reward; reward != nil {
			none := func(string) string { return "" }
			r.sent.add(reward.ID, stand.NewRequest(http.MethodPost, reward.Path, none, string(reward.Body)))
		}
	}
}

// checkSent checks that the workers got only what was sent.
func (r *Rig) checkSent(l *Ledger) {
	for _, w := range r.workers() {
		for _, run := range w.Runs() {
			l.recordReceived()
			if difference := r.sent.difference(run); difference != "" {
				l.recordViolation("%s got request %q at %s: %s", w.ID, run.ID, clock(run.StartedAt), difference)
			}
		}
	}
}

// difference returns how a received request differs from those sent with its ID; empty if it
// is one of them. Only a part of a body need have arrived if the connection was closed.
func (s *sentRequests) difference(run stand.WorkerRun) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.byID[run.ID]
	if len(sent) == 0 {
		return fmt.Sprintf("no client sent it: %s", summary(run.Request))
	}
	if slices.ContainsFunc(sent, func(request stand.Request) bool {
		if run.Partial && strings.HasPrefix(request.Body, run.Request.Body) {
			request.Body = run.Request.Body
		}
		return request == run.Request
	}) {
		return ""
	}
	return fmt.Sprintf("sent as %s, got as %s", summary(sent[0]), summary(run.Request))
}

// maxQuotedBody is how much of a body is quoted.
const maxQuotedBody = 80

func summary(r stand.Request) string {
	return fmt.Sprintf("%s %s, model %q, tokens %q, prompt %q, %d bytes %q",
		r.Method, r.URI, r.Model, r.TokenCounts, r.PromptPrefix, len(r.Body), r.Body[:min(len(r.Body), maxQuotedBody)])
}

func (l *Ledger) recordReceived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Received++
}
