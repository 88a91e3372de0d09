package cmds

import (
	"encoding/json"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalpier/audit"
)

type auditCommand struct {
	File string `short:"f" long:"file" required:"true" description:"file that lists the load report and the addresses to query (JSON)"`
}

func addAudit(p *flags.Parser) error {
	return addCommand(p, "audit", "Check from the outside that a run met the service's guarantees", &auditCommand{})
}

// Execute prints one row for each guarantee.
func (c *auditCommand) Execute([]string) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read audit sources")
	}
	var sources audit.Sources
	if err := json.Unmarshal(data, &sources); err != nil {
		return errors.Wrap(err, "decode audit sources")
	}
	facts, err := audit.Gather(sources)
	if err != nil {
		return err
	}
	if !audit.Print(stdout, audit.Check(facts)) {
		return errors.New("a guarantee was violated")
	}
	return nil
}
