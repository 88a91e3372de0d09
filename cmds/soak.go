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
	Seed  uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds int           `long:"seeds" default:"1" description:"number of seeds, each in a deployment of its own"`
	For   time.Duration `long:"for" default:"20s" description:"time of the faults"`
	Logs  string        `long:"logs" description:"folder for the nodes' logs; else a temporary one, kept where a promise was broken"`
}

func addSoak(p *flags.Parser) error {
	return add(p, "soak", "Run real processes under random faults and check the promises", &soakCommand{})
}

// Execute runs the seeds one after the other.
func (c *soakCommand) Execute([]string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	// An interrupted run ends the processes that it started.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken := 0
	for i := 0; i < c.Seeds && ctx.Err() == nil; i++ {
		seed := c.Seed + uint64(i)
		ledger, dir, err := c.one(ctx, program, seed)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		fmt.Fprintf(out, "seed %d: %s\n", seed, ledger.Summary())
		if len(ledger.Broken) > 0 {
			broken++
			fmt.Fprintf(out, "  logs: %s\n", dir)
		} else if c.Logs == "" {
			_ = os.RemoveAll(dir)
		}
	}
	if broken > 0 {
		return errors.Errorf("promises broken with %d of %d seeds", broken, c.Seeds)
	}
	return nil
}

func (c *soakCommand) one(ctx context.Context, program string, seed uint64) (*soak.Ledger, string, error) {
	dir, err := os.MkdirTemp(c.Logs, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return nil, "", err
	}
	log, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return nil, dir, err
	}
	defer func() { _ = log.Close() }()
	r, err := soak.Open(soak.Options{
		Program: program, Dir: dir, Fronts: 3, Stores: 3, Engines: 4, Plains: 2, Pace: 30 * time.Millisecond,
	})
	if err != nil {
		return nil, dir, err
	}
	defer r.Close()
	plan := soak.Plan{Seed: seed, For: c.For, Log: zerolog.New(log).With().Timestamp().Logger()}
	return soak.Run(ctx, r, plan), dir, nil
}
