package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"quetzalpier/soak"
)

type soakCommand struct {
	Seed          uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds         int           `long:"seeds" default:"1" description:"number of seeds; each runs in its own deployment"`
	FaultDuration time.Duration `long:"for" default:"20s" description:"duration of the fault injection"`
	Fronts        int           `long:"fronts" default:"4" description:"number of fronts"`
	Stores        int           `long:"stores" default:"3" description:"number of nodes with a disk"`
	StoreOnly     bool          `long:"store-only" description:"inject only faults of the key-value service for some nodes or watches, and losses of the owner"`
	Upstreams     bool          `long:"upstreams" description:"also make upstreams name limits, break off runs and say that they leave, run two software versions, and send streams"`
	Versions      bool          `long:"versions" description:"also kill all fronts at once while the software versions of the engines change, and send streams"`
	Partitions    bool          `long:"partitions" description:"also partition nodes from all upstreams, and check that their clients are served and no request runs twice"`
	Keys          bool          `long:"keys" description:"also configure customers, so that requests need an API key"`
	Answers       bool          `long:"answers" description:"also make upstreams break their answers in many ways, and send streams and long requests"`
	Ends          bool          `long:"ends" description:"also send ends of jobs once, through fronts with a fault or while the owner is lost"`
	Odd           bool          `long:"odd" description:"also write odd entries beside those of the upstreams"`
	Stops         bool          `long:"stops" description:"also stop fronts as planned while clients use their open connections, and leave watches without an answer"`
	Crowds        bool          `long:"crowds" description:"also send crowds of clients that do not keep to the limits, and check the nodes' memory and open files"`
	Moves         bool          `long:"moves" description:"also move the batch route between two pools of engines and end the owners of the one that it led to"`
	Memory        int           `long:"memory" default:"284" description:"memory of each front in MiB"`
	Logs          string        `long:"logs" description:"parent directory of the logs; by default a temporary directory, removed if the seed passes"`
}

func addSoak(p *flags.Parser) error {
	return addCommand(p, "soak", "Run a deployment of real processes under random faults and check the service's guarantees", &soakCommand{})
}

// Execute runs the seeds one after the other.
func (c *soakCommand) Execute([]string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	// Canceling the context on a signal stops the processes that the run started.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for i := 0; i < c.Seeds && ctx.Err() == nil; i++ {
		seed := c.Seed + uint64(i)
		ledger, dir, err := c.runSeed(ctx, program, seed)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		fmt.Fprintf(stdout, "seed %d: %s\n", seed, ledger.Summary())
		if len(ledger.Violations) > 0 {
			failed++
			fmt.Fprintf(stdout, "  logs: %s\n", dir)
		} else if c.Logs == "" {
			_ = os.RemoveAll(dir)
		}
	}
	if failed > 0 {
		return errors.Errorf("guarantees violated with %d of %d seeds", failed, c.Seeds)
	}
	return nil
}

func (c *soakCommand) runSeed(ctx context.Context, program string, seed uint64) (*soak.Ledger, string, error) {
	dir, err := os.MkdirTemp(c.Logs, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return nil, "", err
	}
	log, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return nil, dir, err
	}
	defer func() { _ = log.Close() }()
	softwareVersions := 1
	if c.Upstreams || c.Versions || c.Answers {
		softwareVersions = 2
	}
	key := ""
	if c.Keys {
		key = "soak-key"
	}
	eventInterval, spareEngines := 30*time.Millisecond, 0
	if c.Moves {
		// Jobs stay open for longer.
		eventInterval, spareEngines = 100*time.Millisecond, 4
	}
	r, err := soak.Open(soak.Options{
		ClientKey: key,
		Program:   program, Dir: dir, Fronts: c.Fronts, Stores: c.Stores, Engines: 4, SpareEngines: spareEngines, Plains: 2, SoftwareVersions: softwareVersions,
		EventInterval: eventInterval, Partitions: c.Partitions, FrontMemoryMiB: c.Memory,
	})
	if err != nil {
		return nil, dir, err
	}
	defer r.Close()
	plan := soak.Plan{Seed: seed, FaultDuration: c.FaultDuration, LoseFronts: !c.StoreOnly, StoreFaults: true, NoProcessFaults: c.StoreOnly, Upstreams: c.Upstreams, Partitions: c.Partitions, Versions: c.Versions, Answers: c.Answers, Ends: c.Ends, Odd: c.Odd, Stops: c.Stops, Crowds: c.Crowds, Moves: c.Moves, Log: zerolog.New(log).With().Timestamp().Logger()}
	return soak.Run(ctx, r, plan), dir, nil
}
