package cmds

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"quetzalpier/setup"
)

type checkCommand struct {
	Config string `short:"c" long:"config" required:"true" description:"settings file (TOML)"`
}

func addCheck(p *flags.Parser) error {
	return add(p, "check", "Check a settings file", &checkCommand{})
}

// Execute prints every fault of the settings with its place.
func (c *checkCommand) Execute([]string) error {
	if _, err := setup.Read(c.Config); err != nil {
		return err
	}
	fmt.Fprintln(out, c.Config+": ok")
	return nil
}
