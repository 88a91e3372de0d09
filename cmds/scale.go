package cmds

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalpier/scale"
)

type scaleCommand struct {
	FleetSizes []int         `long:"nodes" default:"3" default:"7" default:"15" default:"30" default:"60" description:"number of nodes in a fleet; may be repeated"`
	Domains    int           `long:"domains" default:"5" description:"number of failure domains"`
	Workers    int           `long:"workers" default:"600" description:"number of upstreams in the list of VMs"`
	Settle     time.Duration `long:"settle" default:"8s" description:"time that a fleet runs before the measurement"`
	Measure    time.Duration `long:"measure" default:"20s" description:"duration of the measurement"`
	Kill       bool          `long:"kill" description:"also measure a patch after a tenth of the nodes was killed"`
	JSON       bool          `long:"json" description:"print JSON"`
}

func addScale(p *flags.Parser) error {
	return addCommand(p, "scale", "Measure the control overhead of fleets of several sizes", &scaleCommand{})
}

// Execute measures a fleet of each size and prints the results.
func (c *scaleCommand) Execute([]string) error {
	var results []scale.Result
	for _, n := range c.FleetSizes {
		result, err := scale.Measure(scale.Options{Nodes: n, Domains: c.Domains, Workers: c.Workers, Settle: c.Settle, Measure: c.Measure, Kill: c.Kill})
		if err != nil {
			return errors.Wrapf(err, "measure a fleet of %d nodes", n)
		}
		results = append(results, result)
	}
	results = scale.SortByNodes(results)
	if c.JSON {
		body, err := json.Marshal(results)
		if err != nil {
			return errors.Wrap(err, "encode results")
		}
		return printJSON(body)
	}
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODES\tSENT B/s\tRECEIVED B/s\tCORE %\tMEMORY KB\tKV READS/s\tKV WRITES/s\tWAITING\tLISTS/s\tJOIN s\tFORCE s\tKILLED s")
	for _, r := range results {
		fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%.3f\t%.0f\t%.2f\t%.2f\t%d\t%.2f\t%.2f\t%.3f\t%.3f\n",
			r.Nodes, r.SentRate, r.ReceivedRate, 100*r.CPUShare, r.Memory/1024, r.Reads, r.Writes, r.OpenWatches, r.VMListReads, r.JoinSeconds, r.PatchSeconds, r.PatchSecondsAfterKill)
	}
	return errors.Wrap(w.Flush(), "print results")
}
