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

const callTimeout = 15 * time.Second

// operatorClient sends requests to a node's operator API.
type operatorClient struct {
	Node  string `short:"n" long:"node" required:"true" description:"address of a node (IP:port)"`
	Token string `long:"token" description:"file with the operators' token"`
}

// call sends a request and returns the response body, or the refusal as an error.
// headers alternates names and values.
func (o operatorClient) call(method, path string, body []byte, headers ...string) ([]byte, error) {
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
	if err := client.NewSingleAttempt().DoTimeout(req, resp, callTimeout); err != nil {
		return nil, errors.Wrapf(err, "call node %s", o.Node)
	}
	respBody := append([]byte(nil), resp.Body()...)
	if resp.StatusCode() < fasthttp.StatusBadRequest {
		return respBody, nil
	}
	refusal := &quetzalpier.Refusal{}
	if err := json.Unmarshal(respBody, refusal); err != nil {
		return nil, errors.Errorf("node %s responded with status %d: %s", o.Node, resp.StatusCode(), respBody)
	}
	return nil, refusal
}

// printJSON prints JSON data indented.
func printJSON(data []byte) error {
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		return errors.Wrap(err, "decode JSON output")
	}
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode JSON output")
	}
	fmt.Fprintln(stdout, string(text))
	return nil
}
