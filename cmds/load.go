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
	File string `short:"f" long:"file" required:"true" description:"load plan (TOML)"`
	Out  string `short:"o" long:"out" description:"file for the JSON report; standard output by default"`
	Plot string `long:"plot" description:"PNG file for a plot of the latencies"`
}

func addLoad(p *flags.Parser) error {
	return addCommand(p, "load", "Generate load from callers and trainers", &loadCommand{})
}

// Execute runs the plan and writes the report.
func (c *loadCommand) Execute([]string) error {
	plan, err := load.ReadPlan(c.File)
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
		fmt.Fprintln(stdout, string(body))
		return nil
	}
	return errors.Wrap(os.WriteFile(c.Out, body, reportFileMode), "write report")
}

const reportFileMode = 0o644
