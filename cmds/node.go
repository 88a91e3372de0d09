package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sourcegraph/conc"

	"quetzalpier/node"
	"quetzalpier/setup"
)

type nodeCommand struct {
	Config string `short:"c" long:"config" required:"true" description:"settings file (TOML)"`
}

func addNode(p *flags.Parser) error {
	return addCommand(p, "node", "Run a node", &nodeCommand{})
}

// Execute runs the node until the first signal, which drains it. A second signal
// exits the process immediately.
func (c *nodeCommand) Execute([]string) error {
	settings, err := setup.Read(c.Config)
	if err != nil {
		return err
	}
	n, err := node.New(settings, os.Stderr)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	n.Run(ctx)
	n.Close()
	return nil
}

// signalContext returns a context that the first SIGTERM or interrupt cancels;
// the second one exits the process.
func signalContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	var wg conc.WaitGroup
	wg.Go(func() {
		if _, ok := <-signals; !ok {
			return
		}
		cancel()
		if _, ok := <-signals; ok {
			os.Exit(exitFailed)
		}
	})
	return ctx, func() {
		signal.Stop(signals)
		close(signals)
		wg.Wait()
		cancel()
	}
}
