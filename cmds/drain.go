package cmds

import (
	"fmt"

	"github.com/jessevdk/go-flags"
	"github.com/valyala/fasthttp"
)

type drainCommand struct{ operatorClient }

func addDrain(p *flags.Parser) error {
	return addCommand(p, "drain", "Drain a node and stop it", &drainCommand{})
}

// Execute requests the drain. The node stops after the command returns.
func (c *drainCommand) Execute([]string) error {
	if _, err := c.call(fasthttp.MethodPost, "/v1/drain", nil); err != nil {
		return err
	}
	fmt.Fprintln(stdout, "node", c.Node, "is draining")
	return nil
}
