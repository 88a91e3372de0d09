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
	Trainer standTrainer `command:"trainer" description:"A trainer; prints its tally at its end"`
}

func addStand(p *flags.Parser) error {
	return add(p, "stand", "Run a stand-in for what the service meets", &standCommand{})
}

type listen struct {
	Listen string `long:"listen" required:"true" description:"address (IP:port)"`
}

// untilSignal keeps a stand-in running.
func untilSignal(err error, closer func()) error {
	if err != nil {
		return err
	}
	ctx, stop := drainOnSignal()
	defer stop()
	<-ctx.Done()
	closer()
	return nil
}

type standKV struct{ listen }

// Execute runs the key-value service.
func (c *standKV) Execute([]string) error {
	kv, err := stand.NewKV(c.Listen)
	return untilSignal(err, func() { kv.Close() })
}

type standVMs struct {
	listen
	File string        `long:"file" required:"true" description:"list of VMs (JSON)"`
	Lag  time.Duration `long:"lag" default:"10s" description:"how late changes show"`
}

// Execute runs the list of VMs.
func (c *standVMs) Execute([]string) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read list")
	}
	var list quetzalpier.VMList
	if err := json.Unmarshal(data, &list); err != nil {
		return errors.Wrap(err, "decode list")
	}
	vms, err := stand.NewVMs(c.Listen, c.Lag, list.VMs)
	return untilSignal(err, func() { vms.Close() })
}

type standWeights struct {
	listen
	Rate float64 `long:"rate" default:"4" description:"loads a second"`
}

// Execute runs the weight store.
func (c *standWeights) Execute([]string) error {
	weights, err := stand.NewWeights(c.Listen, c.Rate)
	return untilSignal(err, func() { weights.Close() })
}

type standEngine struct {
	listen
	Weights string        `long:"weights" description:"address of the weight store"`
	Fenced  bool          `long:"fenced" description:"refuse orders with an old fencing number"`
	Slots   int           `long:"slots" default:"32" description:"largest batch"`
	Base    time.Duration `long:"base" default:"8ms" description:"a step's time with an empty batch"`
	PerSeq  time.Duration `long:"perseq" default:"100us" description:"added for each running sequence"`
	Stride  int           `long:"stride" default:"4" description:"tokens a sequence gains in a step"`
	Swap    time.Duration `long:"swap" default:"300ms" description:"time to change the weights"`
	Cache   int           `long:"cache" default:"64" description:"prompt prefixes remembered"`
	Delay   time.Duration `long:"delay" default:"1500us" description:"network latency to the engine"`
}

// Execute runs an engine.
func (c *standEngine) Execute([]string) error {
	engine, err := stand.NewEngine(stand.EngineOptions{
		Addr: c.Listen, Version: 1, Fenced: c.Fenced, Swap: c.Swap, Weights: c.Weights, Delay: c.Delay,
		Params: model.Params{Base: c.Base, PerSeq: c.PerSeq, PerPrompt: 20 * time.Microsecond, Slots: c.Slots, Cache: c.Cache, Stride: c.Stride},
	})
	return untilSignal(err, func() { engine.Close() })
}

type standPlain struct{ listen }

// Execute runs a plain service.
func (c *standPlain) Execute([]string) error {
	plain, err := stand.NewPlain(c.Listen)
	return untilSignal(err, func() { plain.Close() })
}

type standTrainer struct {
	Nodes  []string      `long:"node" required:"true" description:"address of a node; may be given again"`
	Name   string        `long:"name" required:"true" description:"trainer's name"`
	Pool   string        `long:"pool" required:"true" description:"pool of engines"`
	Steps  int           `long:"steps" default:"5" description:"steps to train"`
	Groups int           `long:"groups" default:"16" description:"groups a step"`
	Count  int           `long:"count" default:"8" description:"samples a group"`
	Tokens int           `long:"tokens" default:"256" description:"longest sample"`
	Bound  uint64        `long:"bound" default:"1" description:"versions that a sample may be old"`
	Learn  time.Duration `long:"learn" default:"500ms" description:"time to learn from a step"`
}

// Execute runs a trainer to its end.
func (c *standTrainer) Execute([]string) error {
	tally := stand.Train(context.Background(), stand.TrainerOptions{
		Name: c.Name, Nodes: c.Nodes, Pool: c.Pool, Steps: c.Steps, Groups: c.Groups, Count: c.Count,
		Tokens: c.Tokens, Bound: c.Bound, Learn: c.Learn, First: 1,
	})
	body, err := json.MarshalIndent(tally, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode tally")
	}
	fmt.Fprintln(out, string(body))
	return nil
}
