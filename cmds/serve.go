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

// settingsEnv is the environment variable with the path of the settings file. It
// is used if the command line has no path.
const settingsEnv = "QUETZALPIER_SETTINGS"

type serveCommand struct {
	Config string `short:"c" long:"config" description:"settings file (TOML); by default the path in QUETZALPIER_SETTINGS"`
}

func addServe(p *flags.Parser) error {
	return addCommand(p, "serve", "Run a node on the users' platform", &serveCommand{})
}

// Execute runs the node until a signal, and reloads the settings on SIGHUP.
func (c *serveCommand) Execute([]string) error {
	file := c.Config
	if file == "" {
		file = os.Getenv(settingsEnv)
	}
	settings, err := setup.ReadServe(file)
	if err != nil {
		return err
	}
	// The node answers requests once it was created.
	ctx, stop := signalContext()
	defer stop()
	n, err := fleet.New(settings, os.Stdout)
	if err != nil {
		return err
	}
	var reloads conc.WaitGroup
	reloadCtx, stopReloads := context.WithCancel(context.Background())
	reloads.Go(func() { reloadOnSignal(reloadCtx, file, n) })
	n.Run(ctx)
	stopReloads()
	reloads.Wait()
	return nil
}

// reloadOnSignal reloads the settings on each SIGHUP until ctx ends. Invalid
// settings change nothing.
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
