package cmds

import (
	"encoding/json"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalpier/audit"
)

type auditCommand struct {
	File string `short:"f" long:"file" required:"true" description:"where the facts are (JSON)"`
}

func addAudit(p *flags.Parser) error {
	return add(p, "audit", "Check a run's promises from the outside", &auditCommand{})
}

// Execute prints one row a promise.
func (c *auditCommand) Execute([]string) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read sources")
	}
	var sources audit.Sources
	if err := json.Unmarshal(data, &sources); err != nil {
		return errors.Wrap(err, "decode sources")
	}
	facts, err := audit.Gather(sources)
	if err != nil {
		return err
	}
	if !audit.Print(out, audit.Check(facts)) {
		return errors.New("a promise is broken")
	}
	return nil
}
