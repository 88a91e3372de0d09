package proof_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"quetzalpier/stand"
)

func openAI(addr string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+addr+"/v1/"), option.WithAPIKey("app"), option.WithMaxRetries(0))
}

func chatParams(prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: "m", MaxTokens: openai.Int(64),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// expectedText returns the text that the stand-in engine generates for a user
// message.
func expectedText(prompt string) string {
	text := "user:" + prompt + "\n"
	return stand.OutputText(text, 0, stand.OutputLength(text, 0, 64))
}

func TestOpenAIClient(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{engines: 2})
	r.start(nil, 1)
	client := openAI(r.nodes[1].addr)
	t.Run("not streamed", func(t *testing.T) {
		got, err := client.Chat.Completions.New(t.Context(), chatParams("hello"))
		require.NoError(t, err)
		require.Equal(t, expectedText("hello"), got.Choices[0].Message.Content)
		require.Positive(t, got.Usage.CompletionTokens)
	})
	t.Run("streamed", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("hello again"))
		var text strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		require.NoError(t, stream.Err())
		require.Equal(t, expectedText("hello again"), text.String())
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		require.NoError(t, err)
		require.Len(t, page.Data, 1)
	})
	t.Run("unknown model", func(t *testing.T) {
		params := chatParams("x")
		params.Model = "other"
		_, err := client.Chat.Completions.New(t.Context(), params)
		require.ErrorContains(t, err, "404")
	})
}

func TestBadRequests(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{engines: 1, plains: 1})
	r.start(nil, 1)
	cases := []struct {
		name, method, path, body, field string
		status                          int
	}{
		{"not JSON", "POST", "/v1/completions", "{", "body", 400},
		{"no model", "POST", "/v1/completions", `{"prompt":"x"}`, "model", 400},
		{"no prompt", "POST", "/v1/completions", `{"model":"m"}`, "prompt", 400},
		{"model of a wrong type", "POST", "/v1/completions", `{"model":3,"prompt":"x"}`, "model", 400},
		{"step without groups", "PUT", "/v1/trainers/t/steps/1", `{"pool":"m"}`, "groups", 400},
		{"group without samples", "PUT", "/v1/trainers/t/steps/1", `{"pool":"m","groups":[{"count":0,"tokens":1}]}`, "groups[0].count", 400},
		{"step number not numeric", "PUT", "/v1/trainers/t/steps/x", `{}`, "step", 400},
		{"invalid trainer name", "PUT", "/v1/trainers/a%20b/steps/1", `{}`, "trainer", 400},
		{"negative wait of a pull", "POST", "/v1/trainers/t/steps/1/pull", `{"wait":-1}`, "wait", 400},
		{"version of another trainer's pool", "POST", "/v1/trainers/u/publish", `{"pool":"m","version":2}`, "pool", 400},
		{"patch without a number", "PATCH", "/v1/config", `{}`, "If-Match", 400},
		{"no such pool", "GET", "/svc/none/x", "", "", 404},
		{"no such path", "GET", "/v2", "", "", 404},
		{"body too large", "POST", "/v1/completions", strings.Repeat("x", 5<<20), "", 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := sendOnce(r.nodes[1].addr, c.method, c.path, c.body)
			require.NoError(t, a.err)
			require.Equal(t, c.status, a.status, a.body)
			require.Equal(t, c.field, a.refusal.Field)
			require.Equal(t, "no", string(a.refusal.Ran))
		})
	}
}

func TestWholeAnswers(t *testing.T) {
	t.Parallel()
	t.Run("a stream whose engine crashes is resumed on another engine", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigOptions{engines: 2})
		r.start(nil, 1)
		client := openAI(r.nodes[1].addr)
		stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams(longPrompt))
		var text strings.Builder
		crashed := false
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Delta.Content)
			if !crashed && text.Len() > 20 {
				crashed = true
				r.crashBusyEngine(time.Minute)
			}
		}
		require.NoError(t, stream.Err())
		require.Equal(t, expectedText(longPrompt), text.String())
	})
	t.Run("an interrupted stream ends with an error", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigOptions{engines: 1})
		r.start(nil, 1)
		client := openAI(r.nodes[1].addr)
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		defer cancel()
		stream := client.Chat.Completions.NewStreaming(ctx, chatParams(longPrompt))
		require.True(t, stream.Next())
		r.engines[0].Crash(time.Hour)
		for stream.Next() {
			continue
		}
		require.Error(t, stream.Err())
	})
	t.Run("a stream on a silent connection is resumed on a new connection", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigOptions{engines: 1})
		r.start(nil, 1)
		client := openAI(r.nodes[1].addr)
		stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams(longPrompt))
		require.True(t, stream.Next())
		text := stream.Current().Choices[0].Delta.Content
		r.engines[0].FaultListener().Silence()
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		require.NoError(t, stream.Err())
		require.Equal(t, expectedText(longPrompt), text)
	})
}

// longPrompt is a prompt whose response has all 64 tokens that chatParams allows.
var longPrompt = findLongPrompt()

func findLongPrompt() string {
	for i := 0; ; i++ {
		prompt := strings.Repeat("long ", i)
		if stand.OutputLength("user:"+prompt+"\n", 0, 64) == 64 {
			return prompt
		}
	}
}

// crashBusyEngine crashes an engine that has requests in flight.
func (r *rig) crashBusyEngine(down time.Duration) {
	for _, e := range r.engines {
		if e.SequenceCount() > 0 {
			e.Crash(down)
			return
		}
	}
}

func TestAddresses(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{})
	r.start(nil, 1, 2, 3)
	t.Run("callers get the addresses in different orders", func(t *testing.T) {
		first := map[string]bool{}
		for _, caller := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			a := sendOnce(r.nodes[1].addr, "GET", "/v1/nodes?caller="+caller, "")
			require.Equal(t, http.StatusOK, a.status)
			first[a.body[:strings.Index(a.body, ",")]] = true
		}
		require.Greater(t, len(first), 1)
	})
	t.Run("a draining node's address is withdrawn", func(*testing.T) {
		withdrawn := r.nodes[3].addr
		r.nodes[3].drain()
		r.eventually("address to be withdrawn", func() bool {
			return !strings.Contains(sendOnce(r.nodes[1].addr, "GET", "/v1/nodes", "").body, withdrawn)
		})
	})
}
