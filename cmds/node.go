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
	return add(p, "node", "Run a node", &nodeCommand{})
}

// Execute runs the node until a signal. The first one drains it, a second one
// ends it at once.
func (c *nodeCommand) Execute([]string) error {
	settings, err := setup.Read(c.Config)
	if err != nil {
		return err
	}
	n, err := node.New(settings, os.Stderr)
	if err != nil {
		return err
	}
	ctx, stop := drainOnSignal()
	defer stop()
	n.Run(ctx)
	n.Close()
	return nil
}

// drainOnSignal returns a context that ends with the first SIGTERM or
// interrupt; a second one ends the process.
func drainOnSignal() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	var waits conc.WaitGroup
	waits.Go(func() {
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
		waits.Wait()
		cancel()
	}
}
