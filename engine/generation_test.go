package engine_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"quetzalpier/engine"
	"quetzalpier/link"
	"quetzalpier/stand"
)

const (
	oneToken  = `data: {"choices":[{"text":"a"}],"version":1,"tokens":1}` + "\n\n"
	lastToken = `data: {"choices":[{"text":"b","finish_reason":"stop"}],"version":1,"tokens":1}` + "\n\n"
	streamEnd = "data: [DONE]\n\n"
)

// run runs a generation on an engine that answers with a status and a body, and returns the
// events that reached the caller.
func run(t *testing.T, g *engine.Generation, status int, body string) (events []string, err error) {
	t.Helper()
	server, err := stand.Serve("127.0.0.1:0", 0, func(c *fasthttp.RequestCtx) {
		c.SetStatusCode(status)
		c.SetBodyString(body)
	})
	require.NoError(t, err)
	defer server.Close()
	links := link.New()
	defer links.Close()
	err = g.Run(context.Background(), &engine.Client{Links: links}, server.Addr, "/v1/completions", nil, func(e engine.Event) error {
		events = append(events, string(e.Data))
		return nil
	})
	return events, err
}

// TestErrorEvent guards against an engine's error in the middle of a caller's stream.
func TestErrorEvent(t *testing.T) {
	for name, event := range map[string]string{
		"object": `data: {"error":{"message":"out of memory","code":500}}`,
		"text":   `data: {"error":"out of memory","choices":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := &engine.Generation{}
			events, err := run(t, g, http.StatusOK, oneToken+event+"\n\n"+streamEnd)
			var cut *engine.CutError
			require.True(t, errors.As(err, &cut), "got %v", err)
			require.Len(t, events, 1, "the error reached the caller")
			require.Equal(t, "a", g.Text.String())
		})
	}
	t.Run("null is no error", func(t *testing.T) {
		_, err := run(t, &engine.Generation{}, http.StatusOK, `data: {"error":null,"choices":[]}`+"\n\n"+lastToken+streamEnd)
		require.NoError(t, err)
	})
}

// TestResumedErrorStatus guards against outputs that end since one engine failed to resume them.
func TestResumedErrorStatus(t *testing.T) {
	begun := func(t *testing.T) *engine.Generation {
		t.Helper()
		g := &engine.Generation{}
		_, err := run(t, g, http.StatusOK, oneToken)
		require.Error(t, err)
		require.Equal(t, 1, g.Tokens)
		return g
	}
	for _, status := range []int{http.StatusRequestTimeout, http.StatusInternalServerError, http.StatusBadGateway} {
		t.Run(http.StatusText(status)+" permits another attempt", func(t *testing.T) {
			_, err := run(t, begun(t), status, "error")
			var failed *engine.ResumeError
			var final *engine.StatusError
			require.True(t, errors.As(err, &failed), "got %v", err)
			_, err = run(t, &engine.Generation{}, status, "error")
			require.True(t, errors.As(err, &final), "the answer to a request without output is the caller's")
		})
	}
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			_, err := run(t, begun(t), status, "error")
			var final *engine.StatusError
			require.True(t, errors.As(err, &final), "got %v", err)
		})
	}
}
