package cmds

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"quetzalpier/node"
)

type versionCommand struct{}

func addVersion(p *flags.Parser) error {
	return addCommand(p, "version", "Print the version", &versionCommand{})
}

// Execute prints the version.
func (*versionCommand) Execute([]string) error {
	fmt.Fprintln(stdout, "quetzalpier", node.Version)
	return nil
}
