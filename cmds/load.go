package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalpier/load"
)

type loadCommand struct {
	File string `short:"f" long:"file" required:"true" description:"plan (TOML)"`
	Out  string `short:"o" long:"out" description:"file for the JSON report; standard output by default"`
	Plot string `long:"plot" description:"file for a PNG picture of the times"`
}

func addLoad(p *flags.Parser) error {
	return add(p, "load", "Send callers' and trainers' requests in numbers", &loadCommand{})
}

// Execute carries the plan out and writes its report.
func (c *loadCommand) Execute([]string) error {
	plan, err := load.Read(c.File)
	if err != nil {
		return err
	}
	report := load.Run(context.Background(), plan)
	body, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if c.Plot != "" {
		if err := load.Plot(report, c.Plot); err != nil {
			return err
		}
	}
	if c.Out == "" {
		fmt.Fprintln(out, string(body))
		return nil
	}
	return errors.Wrap(os.WriteFile(c.Out, body, fileMode), "write report")
}

const fileMode = 0o644
