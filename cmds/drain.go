package cmds

import (
	"fmt"

	"github.com/jessevdk/go-flags"
	"github.com/valyala/fasthttp"
)

type drainCommand struct{ operator }

func addDrain(p *flags.Parser) error {
	return add(p, "drain", "Stop a node as planned", &drainCommand{})
}

// Execute asks the node to drain.
func (c *drainCommand) Execute([]string) error {
	if _, err := c.call(fasthttp.MethodPost, "/v1/drain", nil); err != nil {
		return err
	}
	fmt.Fprintln(out, "node", c.Node, "drains")
	return nil
}
