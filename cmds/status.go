package cmds

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier/gate"
)

type statusCommand struct {
	operatorClient
	JSON bool `long:"json" description:"print JSON"`
}

func addStatus(p *flags.Parser) error {
	return addCommand(p, "status", "Show a node's status, members and upstreams", &statusCommand{})
}

// Execute prints the node's status.
func (c *statusCommand) Execute([]string) error {
	body, err := c.call(fasthttp.MethodGet, "/v1/status", nil)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(body)
	}
	var s gate.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return errors.Wrap(err, "decode status")
	}
	fmt.Fprintf(stdout, "node %s is %s, configuration %d confirmed %s, %d requests in flight\n", s.Node, s.State, s.Number, s.Confirmed, s.InFlight)
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tADDRESS\tDOMAIN\tSTATE")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.ID, m.HTTP, m.Domain, m.State)
	}
	fmt.Fprintln(w, "UPSTREAM\tPOOL\tDOMAIN\tVERSION\tRUNNING\tOWN\tLEAVING\tEJECTED")
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%t\t%t\n", u.ID, u.Pool, u.Domain, u.Version, u.Running, u.Outstanding, u.Leaving, u.Ejected)
	}
	return errors.Wrap(w.Flush(), "print status")
}
