package engine

import (
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"

	"quetzalpier"
)

// Generation gathers an answer over one or more attempts. A later attempt
// resumes where the last one was cut.
type Generation struct {
	Text   strings.Builder
	Tokens int
	Spans  quetzalpier.Spans
	Finish string
	Usage  json.RawMessage
}

type resume struct {
	Text   string            `json:"text"`
	Tokens int               `json:"tokens"`
	Spans  quetzalpier.Spans `json:"spans"`
}

// Run streams the rest of the answer from an engine. fields is the request's
// JSON object; each is called with every event after it was gathered.
func (g *Generation) Run(ctx context.Context, c *Client, addr, path string, fields map[string]json.RawMessage, each func(Event) error) error {
	body, err := g.body(fields)
	if err != nil {
		return err
	}
	stream, err := c.Open(ctx, addr, path, body)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err == io.EOF {
			return g.whole(addr)
		}
		if err != nil {
			return err
		}
		g.add(event)
		if err := each(event); err != nil {
			return err
		}
	}
}

// whole reports an end mark that came before the answer's own end.
func (g *Generation) whole(addr string) error {
	if g.Finish == "" {
		return &CutError{Addr: addr, Err: errors.New("the end mark came before a finish reason")}
	}
	return nil
}

func (g *Generation) add(event Event) {
	g.Text.WriteString(event.Text)
	g.Tokens += event.Tokens
	g.Spans = g.Spans.Append(event.Version, event.Tokens)
	if event.Finish != "" {
		g.Finish = event.Finish
	}
	if len(event.Usage) > 0 {
		g.Usage = event.Usage
	}
}

// Newest is the version of the last token; zero if there is none.
func (g *Generation) Newest() quetzalpier.Version {
	if len(g.Spans) == 0 {
		return 0
	}
	return g.Spans[len(g.Spans)-1].Version
}

func (g *Generation) body(fields map[string]json.RawMessage) ([]byte, error) {
	request := make(map[string]json.RawMessage, len(fields)+2)
	for name, value := range fields {
		request[name] = value
	}
	request["stream"] = json.RawMessage("true")
	if g.Tokens > 0 {
		from, err := json.Marshal(resume{g.Text.String(), g.Tokens, g.Spans})
		if err != nil {
			return nil, errors.Wrap(err, "encode resume")
		}
		request["resume"] = from
	}
	body, err := json.Marshal(request)
	return body, errors.Wrap(err, "encode request")
}
