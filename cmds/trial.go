package cmds

import (
	"encoding/json"
	"runtime"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalpier/trial"
)

type trialCommand struct {
	Loads     []string `long:"load" choice:"single" choice:"double" default:"single" default:"double" description:"load pattern, by its number of trainers; may be repeated"`
	Scenarios []string `long:"scenario" description:"scenario; may be repeated; all by default"`
	Seeds     int      `long:"seeds" default:"10" description:"number of seeds; each one runs under every policy"`
	Policies  []string `long:"policy" default:"naive" default:"ours" description:"naive, ours, or ours with one decision replaced by its naive version: no-route, no-admit, no-step, no-swap, no-retry"`
	Pools     bool     `long:"pools" description:"simulate the steps of one pool instead, and compare longest-first order, placement, moves and resumption with their naive versions"`
	JSON      bool     `long:"json" description:"print JSON"`
	Plot      string   `long:"plot" description:"PNG file for a plot of the idle times"`
}

func addTrial(p *flags.Parser) error {
	return addCommand(p, "trial", "Simulate the service's decisions and compare them with naive versions", &trialCommand{})
}

// policiesByName maps the values of --policy to the decisions that they use.
var policiesByName = map[string]trial.Policy{
	"naive":    trial.Naive,
	"ours":     trial.Ours,
	"no-route": {Admit: true, Step: true, Swap: true, Retry: true},
	"no-admit": {Route: true, Step: true, Swap: true, Retry: true},
	"no-step":  {Route: true, Admit: true, Swap: true, Retry: true},
	"no-swap":  {Route: true, Admit: true, Step: true, Retry: true},
	"no-retry": {Route: true, Admit: true, Step: true, Swap: true},
}

// Execute simulates the scenarios and prints a table.
func (c *trialCommand) Execute([]string) error {
	if c.Pools {
		rows := trial.RunPools(c.Seeds, runtime.NumCPU())
		if c.JSON {
			return printRowsJSON(rows)
		}
		return trial.PrintPools(stdout, rows)
	}
	chosen := map[string]trial.Policy{}
	for _, name := range c.Policies {
		p, ok := policiesByName[name]
		if !ok {
			return errors.Errorf("unknown policy %q", name)
		}
		chosen[name] = p
	}
	if len(c.Scenarios) == 0 {
		c.Scenarios = trial.ScenarioNames()
	}
	var scenarios []trial.Scenario
	for _, load := range c.Loads {
		for _, name := range c.Scenarios {
			scenarios = append(scenarios, trial.NewScenario(load, name))
		}
	}
	rows := trial.RunScenarios(scenarios, chosen, c.Seeds, runtime.NumCPU())
	if c.Plot != "" {
		if err := trial.Plot(rows, c.Policies, c.Plot); err != nil {
			return err
		}
	}
	if !c.JSON {
		return trial.Print(stdout, rows)
	}
	return printRowsJSON(rows)
}

func printRowsJSON(rows any) error {
	body, err := json.Marshal(rows)
	if err != nil {
		return errors.Wrap(err, "encode rows")
	}
	return printJSON(body)
}
