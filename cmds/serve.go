package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sourcegraph/conc"

	"quetzalpier/fleet"
	"quetzalpier/setup"
)

// settingsVar names the settings file where the command line does not.
const settingsVar = "QUETZALPIER_SETTINGS"

type serveCommand struct {
	Config string `short:"c" long:"config" description:"settings file (TOML); else the one that QUETZALPIER_SETTINGS names"`
}

func addServe(p *flags.Parser) error {
	return add(p, "serve", "Run a node on the users' platform", &serveCommand{})
}

// Execute runs the node until a signal.
func (c *serveCommand) Execute([]string) error {
	file := c.Config
	if file == "" {
		file = os.Getenv(settingsVar)
	}
	settings, err := setup.ReadServe(file)
	if err != nil {
		return err
	}
	n, err := fleet.New(settings, os.Stdout)
	if err != nil {
		return err
	}
	ctx, stop := drainOnSignal()
	defer stop()
	var reloads conc.WaitGroup
	ended, end := context.WithCancel(context.Background())
	reloads.Go(func() { reloadOnSignal(ended, file, n) })
	n.Run(ctx)
	end()
	reloads.Wait()
	return nil
}

// reloadOnSignal reads the settings again at each SIGHUP. Faulty ones change
// nothing.
func reloadOnSignal(ctx context.Context, file string, n *fleet.Node) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		settings, err := setup.ReadServe(file)
		n.Reload(settings, err)
	}
}
