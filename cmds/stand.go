package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalpier"
	"quetzalpier/model"
	"quetzalpier/stand"
)

type standCommand struct {
	KV      standKV      `command:"kv" description:"The platform's key-value service"`
	VMs     standVMs     `command:"vms" description:"The platform's list of VMs"`
	Weights standWeights `command:"weights" description:"The weight store"`
	Engine  standEngine  `command:"engine" description:"A model engine"`
	Plain   standPlain   `command:"plain" description:"A plain service"`
	Trainer standTrainer `command:"trainer" description:"A trainer; prints its totals when it finishes"`
}

func addStand(p *flags.Parser) error {
	return addCommand(p, "stand", "Run a stand-in for an external system", &standCommand{})
}

type listenOptions struct {
	Listen string `long:"listen" required:"true" description:"address (IP:port)"`
}

// runUntilSignal returns err if a stand-in failed to start. Otherwise it waits
// for a signal and then closes the stand-in.
func runUntilSignal(err error, closeServer func()) error {
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	<-ctx.Done()
	closeServer()
	return nil
}

type standKV struct{ listenOptions }

// Execute runs the key-value service.
func (c *standKV) Execute([]string) error {
	kv, err := stand.NewKV(c.Listen)
	return runUntilSignal(err, func() { kv.Close() })
}

type standVMs struct {
	listenOptions
	File string        `long:"file" required:"true" description:"list of VMs (JSON)"`
	Lag  time.Duration `long:"lag" default:"10s" description:"delay until the list shows a change"`
}

// Execute serves the list of VMs.
func (c *standVMs) Execute([]string) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read VM list")
	}
	var list quetzalpier.VMList
	if err := json.Unmarshal(data, &list); err != nil {
		return errors.Wrap(err, "decode VM list")
	}
	vms, err := stand.NewVMs(c.Listen, c.Lag, list.VMs)
	return runUntilSignal(err, func() { vms.Close() })
}

type standWeights struct {
	listenOptions
	Rate float64 `long:"rate" default:"4" description:"weight loads served per second"`
}

// Execute runs the weight store.
func (c *standWeights) Execute([]string) error {
	weights, err := stand.NewWeights(c.Listen, c.Rate)
	return runUntilSignal(err, func() { weights.Close() })
}

type standEngine struct {
	listenOptions
	Weights string        `long:"weights" description:"address of the weight store"`
	Fenced  bool          `long:"fenced" description:"refuse orders with an outdated fencing token"`
	Slots   int           `long:"slots" default:"32" description:"maximum batch size"`
	Base    time.Duration `long:"base" default:"8ms" description:"duration of a step with an empty batch"`
	PerSeq  time.Duration `long:"perseq" default:"100us" description:"time added to a step for each running sequence"`
	Stride  int           `long:"stride" default:"4" description:"tokens generated per sequence in a step"`
	Swap    time.Duration `long:"swap" default:"300ms" description:"duration of a weight swap"`
	Cache   int           `long:"cache" default:"64" description:"capacity of the prefix cache, in prompt prefixes"`
	Delay   time.Duration `long:"delay" default:"1500us" description:"network latency to the engine"`
}

// Execute runs an engine.
func (c *standEngine) Execute([]string) error {
	engine, err := stand.NewEngine(stand.EngineOptions{
		Addr: c.Listen, Version: 1, ChecksFence: c.Fenced, SwapDuration: c.Swap, WeightsAddr: c.Weights, Latency: c.Delay,
		Params: model.Params{BaseTime: c.Base, PerSeq: c.PerSeq, PerPrompt: 20 * time.Microsecond, Slots: c.Slots, CacheSize: c.Cache, TokensPerStep: c.Stride},
	})
	return runUntilSignal(err, func() { engine.Close() })
}

type standPlain struct{ listenOptions }

// Execute runs a plain service.
func (c *standPlain) Execute([]string) error {
	plain, err := stand.NewPlain(c.Listen)
	return runUntilSignal(err, func() { plain.Close() })
}

type standTrainer struct {
	Nodes     []string      `long:"node" required:"true" description:"address of a node; may be repeated"`
	Name      string        `long:"name" required:"true" description:"trainer's name"`
	Pool      string        `long:"pool" required:"true" description:"pool of engines"`
	Steps     int           `long:"steps" default:"5" description:"number of steps to train"`
	Groups    int           `long:"groups" default:"16" description:"groups per step"`
	GroupSize int           `long:"count" default:"8" description:"samples per group"`
	Tokens    int           `long:"tokens" default:"256" description:"maximum number of tokens per sample"`
	Bound     uint64        `long:"bound" default:"1" description:"maximum age of a sample, in weight versions"`
	Learn     time.Duration `long:"learn" default:"500ms" description:"duration of training on a step"`
}

// Execute runs a trainer for all its steps and prints its totals.
func (c *standTrainer) Execute([]string) error {
	result := stand.RunTrainer(context.Background(), stand.TrainerOptions{
		Name: c.Name, Nodes: c.Nodes, Pool: c.Pool, Steps: c.Steps, Groups: c.Groups, GroupSize: c.GroupSize,
		Tokens: c.Tokens, MaxAge: c.Bound, LearnDuration: c.Learn, FirstStep: 1,
	})
	body, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode trainer totals")
	}
	fmt.Fprintln(stdout, string(body))
	return nil
}
