package cmds

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/client"
)

const operatorTimeout = 15 * time.Second

// operator is a connection to a node for operators' calls.
type operator struct {
	Node  string `short:"n" long:"node" required:"true" description:"address of a node (IP:port)"`
	Token string `long:"token" description:"file with the operators' token"`
}

// call makes an operators' call; headers are names and values in turn.
func (o operator) call(method, path string, body []byte, headers ...string) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + o.Node + path)
	req.Header.SetMethod(method)
	req.SetBody(body)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	if o.Token != "" {
		token, err := os.ReadFile(o.Token)
		if err != nil {
			return nil, errors.Wrap(err, "read token")
		}
		req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	if err := client.Single().DoTimeout(req, resp, operatorTimeout); err != nil {
		return nil, errors.Wrapf(err, "call node %s", o.Node)
	}
	answer := append([]byte(nil), resp.Body()...)
	if resp.StatusCode() < fasthttp.StatusBadRequest {
		return answer, nil
	}
	refusal := &quetzalpier.Refusal{}
	if err := json.Unmarshal(answer, refusal); err != nil {
		return nil, errors.Errorf("node %s answered %d: %s", o.Node, resp.StatusCode(), answer)
	}
	return nil, refusal
}

// printJSON prints an answer indented.
func printJSON(data []byte) error {
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	fmt.Fprintln(out, string(text))
	return nil
}
