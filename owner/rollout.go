package owner

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/engine"
	"quetzalpier/hash"
	"quetzalpier/send"
	"quetzalpier/step"
)

// rollout is one run of a sample.
type rollout struct {
	st         *openStep
	index      int
	run        *step.Run
	group      quetzalpier.Group
	generation engine.Generation
}

func (r *rollout) job(launch step.Launch, ledger *step.Ledger) *send.Job {
	prefix := hash.Text(r.group.Prompt)
	job := &send.Job{
		Pool: ledger.Step.Pool, Class: quetzalpier.ClassRollout, Tenant: r.st.key.Trainer, Idempotent: true,
		Prefix: prefix, Fingerprint: hash.Pair(prefix, strconv.Itoa(r.index)), PreferredVersion: ledger.Version, MinVersion: ledger.MinVersion(),
	}
	if launch.Avoid != "" {
		job.Avoid = map[string]bool{launch.Avoid: true}
	}
	return job
}

func (r *rollout) attempt(ctx context.Context, a *send.Attempt) error {
	fields, err := r.requestFields()
	if err != nil {
		return err
	}
	r.markPlaced(a, time.Now())
	before := r.generation.Tokens
	err = r.generation.Run(ctx, r.st.owner.Engine, a.VM.Addr, "/v1/completions", fields, r.progress)
	a.Units = r.generation.Tokens - before
	a.Version = r.generation.LastVersion()
	return err
}

// markPlaced records the upstream of the attempt. It discards the output from which
// the attempt would resume if that contains tokens of a version below the step's
// minimum.
func (r *rollout) markPlaced(a *send.Attempt, now time.Time) {
	r.st.mu.Lock()
	defer r.st.mu.Unlock()
	if r.run.SlotAt.IsZero() {
		r.st.waiting--
		r.st.signal()
	}
	r.run.SlotAt = now
	r.run.Upstream = a.VM.ID
	if oldest, ok := r.generation.Spans.Oldest(); ok && oldest < r.st.ledger.MinVersion() {
		r.generation = engine.Generation{}
	}
	r.run.Base = r.generation.Tokens
}

func (r *rollout) requestFields() (map[string]json.RawMessage, error) {
	request := struct {
		Model    string `json:"model"`
		Prompt   string `json:"prompt"`
		Max      int    `json:"max_tokens"`
		Priority int    `json:"priority"`
		Seed     int    `json:"seed"`
		Every    int    `json:"every"`
	}{r.st.ledger.Step.Pool, r.group.Prompt, r.group.Tokens, int(quetzalpier.ClassRollout), r.index, tokensPerEvent}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	var fields map[string]json.RawMessage
	return fields, json.Unmarshal(body, &fields)
}

// progress updates the run in the ledger after each event.
func (r *rollout) progress(engine.Event) error {
	r.st.mu.Lock()
	defer r.st.mu.Unlock()
	r.run.Tokens = r.generation.Tokens
	r.run.Spans = append(quetzalpier.Spans(nil), r.generation.Spans...)
	return nil
}

// sample returns the output of the run so far.
func (r *rollout) sample() quetzalpier.Sample {
	return quetzalpier.Sample{
		Index: r.index, Group: r.group.ID, Text: r.generation.Text.String(),
		Tokens: r.generation.Tokens, Spans: r.generation.Spans, FinishReason: r.generation.FinishReason,
	}
}

// retryDelay returns the delay before a failed sample may be retried.
func retryDelay(err error) time.Duration {
	var refusal *quetzalpier.Refusal
	if errors.As(err, &refusal) {
		return max(refusal.RetryAfter, minRetryDelay)
	}
	return minRetryDelay
}
