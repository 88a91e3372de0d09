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
	Sizes   []int         `long:"nodes" default:"3" default:"7" default:"15" default:"30" default:"60" description:"size of a fleet; may be given again"`
	Domains int           `long:"domains" default:"5" description:"failure domains"`
	Workers int           `long:"workers" default:"600" description:"upstreams in the list of VMs"`
	Settle  time.Duration `long:"settle" default:"8s" description:"time before a fleet is measured"`
	Measure time.Duration `long:"measure" default:"20s" description:"time that a fleet is measured"`
	Kill    bool          `long:"kill" description:"patch again after a tenth of the nodes was killed"`
	JSON    bool          `long:"json" description:"print JSON"`
}

func addScale(p *flags.Parser) error {
	return add(p, "scale", "Measure what many nodes cost", &scaleCommand{})
}

// Execute measures fleets of each size.
func (c *scaleCommand) Execute([]string) error {
	var results []scale.Result
	for _, n := range c.Sizes {
		result, err := scale.Measure(scale.Options{Nodes: n, Domains: c.Domains, Workers: c.Workers, Settle: c.Settle, Measure: c.Measure, Kill: c.Kill})
		if err != nil {
			return errors.Wrapf(err, "%d nodes", n)
		}
		results = append(results, result)
	}
	results = scale.Sorted(results)
	if c.JSON {
		body, err := json.Marshal(results)
		if err != nil {
			return errors.Wrap(err, "encode results")
		}
		return printJSON(body)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODES\tSENT B/s\tRECEIVED B/s\tCORE %\tMEMORY KB\tKV READS/s\tKV WRITES/s\tWAITING\tLISTS/s\tJOIN s\tFORCE s\tKILLED s")
	for _, r := range results {
		fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%.3f\t%.0f\t%.2f\t%.2f\t%d\t%.2f\t%.2f\t%.3f\t%.3f\n",
			r.Nodes, r.SentRate, r.ReceivedRate, 100*r.Core, r.Memory/1024, r.Reads, r.Writes, r.Waiting, r.Lists, r.Join, r.Force, r.Killed)
	}
	return errors.Wrap(w.Flush(), "print results")
}
