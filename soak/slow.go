package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"quetzalpier/sleep"
)

// quotaPeriod is the period in which a container gets its share of a core.
const quotaPeriod = 100 * time.Millisecond

// LimitCPU lets the node's process run for the given share of the time only, as a quota of
// processor time does on a small VM, until the returned function is called.
func (n *Node) LimitCPU(share float64) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	process := n.command.Process
	run := time.Duration(share * float64(quotaPeriod))
	var limiter conc.WaitGroup
	limiter.Go(func() {
		for ctx.Err() == nil {
			_ = process.Signal(syscall.SIGSTOP)
			sleep.For(ctx, quotaPeriod-run)
			_ = process.Signal(syscall.SIGCONT)
			sleep.For(ctx, run)
		}
	})
	return func() { cancel(); limiter.Wait() }
}
