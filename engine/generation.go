package engine

import (
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"

	"quetzalpier"
)

// Generation accumulates the output of one request over one or more attempts.
// Each attempt resumes after the tokens that the earlier ones returned.
type Generation struct {
	Text         strings.Builder
	Tokens       int
	Spans        quetzalpier.Spans
	FinishReason string
	Usage        json.RawMessage
}

type resumeState struct {
	Text   string            `json:"text"`
	Tokens int               `json:"tokens"`
	Spans  quetzalpier.Spans `json:"spans"`
}

// Run streams the rest of the output from an engine. fields is the request's JSON
// object; onEvent is called with each event after it was added to g.
func (g *Generation) Run(ctx context.Context, c *Client, addr, path string, fields map[string]json.RawMessage, onEvent func(Event) error) error {
	body, err := g.requestBody(fields)
	if err != nil {
		return err
	}
	stream, err := c.Open(ctx, addr, path, body)
	var status *StatusError
	if errors.As(err, &status) && g.Tokens > 0 {
		return ToResume(status)
	}
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err == io.EOF {
			return g.checkComplete(addr)
		}
		if err != nil {
			return err
		}
		g.addEvent(event)
		if err := onEvent(event); err != nil {
			return err
		}
	}
}

// checkComplete returns a CutError if the stream ended without a finish reason.
func (g *Generation) checkComplete(addr string) error {
	if g.FinishReason == "" {
		return &CutError{Addr: addr, Err: errors.New("[DONE] event before a finish reason")}
	}
	return nil
}

func (g *Generation) addEvent(event Event) {
	g.Text.WriteString(event.Text)
	g.Tokens += event.Tokens
	g.Spans = g.Spans.Append(event.Version, event.Tokens)
	if event.FinishReason != "" {
		g.FinishReason = event.FinishReason
	}
	if len(event.Usage) > 0 {
		g.Usage = event.Usage
	}
}

// LastVersion returns the weight version of the last token, or zero without
// tokens.
func (g *Generation) LastVersion() quetzalpier.Version {
	if len(g.Spans) == 0 {
		return 0
	}
	return g.Spans[len(g.Spans)-1].Version
}

func (g *Generation) requestBody(fields map[string]json.RawMessage) ([]byte, error) {
	request := make(map[string]json.RawMessage, len(fields)+2)
	for name, value := range fields {
		request[name] = value
	}
	request["stream"] = json.RawMessage("true")
	if g.Tokens > 0 {
		state, err := json.Marshal(resumeState{g.Text.String(), g.Tokens, g.Spans})
		if err != nil {
			return nil, errors.Wrap(err, "encode resume state")
		}
		request["resume"] = state
	}
	body, err := json.Marshal(request)
	return body, errors.Wrap(err, "encode request")
}
