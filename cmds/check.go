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
	return addCommand(p, "check", "Check a settings file", &checkCommand{})
}

// Execute reads the settings file. The error lists every problem found in it.
func (c *checkCommand) Execute([]string) error {
	if _, err := setup.Read(c.Config); err != nil {
		return err
	}
	fmt.Fprintln(stdout, c.Config+": ok")
	return nil
}
