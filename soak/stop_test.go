package soak_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier/soak"
)

// smallCPU is the share of a core that the smallest VMs have.
const smallCPU = 0.144

// TestRollingStop guards against processes on small VMs that still run when the platform
// kills them, and against requests that a planned stop cuts off.
func TestRollingStop(t *testing.T) {
	t.Parallel()
	r := openRigWith(t, soak.Options{Fronts: 4, Stores: 2, Engines: 1, Plains: 3, EventInterval: 20 * time.Millisecond})
	for _, w := range r.Plains {
		w.EventInterval = 300 * time.Millisecond
	}
	require.True(t, r.WaitReady(t.Context(), 15*time.Second))
	time.Sleep(time.Second)
	var stops conc.WaitGroup
	for i, n := range r.Fronts {
		stops.Go(func() {
			time.Sleep(time.Duration(i%2) * time.Second)
			defer n.LimitCPU(smallCPU)()
			var views conc.WaitGroup
			for k := range 4 {
				views.Go(func() {
					// The last view begins when no client knows the address any longer.
					for j, end := 0, time.Now().Add(3800*time.Millisecond); time.Now().Before(end); j++ {
						err := n.View(t.Context(), fmt.Sprintf("%s-%d-%d", n.Settings.Name, k, j), 3*time.Second)
						if err != nil {
							t.Errorf("view %d of client %d: %v", j, k, err)
						}
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			if !n.Stop() {
				t.Errorf("%s did not exit in time", n.Settings.Name)
			}
			views.Wait()
		})
	}
	stops.Wait()
}

// TestKeptConnections guards against requests on open connections that are cut off while
// signals, changes of the configuration and planned stops come one after the other or
// at once.
func TestKeptConnections(t *testing.T) {
	t.Parallel()
	r := openRigWith(t, soak.Options{Fronts: 4, Stores: 2, Engines: 1, Plains: 3, EventInterval: 20 * time.Millisecond})
	for _, w := range r.Plains {
		w.EventInterval = 100 * time.Millisecond
	}
	require.True(t, r.WaitReady(t.Context(), 15*time.Second))
	time.Sleep(time.Second)
	var clients, changes conc.WaitGroup
	changes.Go(func() {
		for range 8 {
			if err := r.WriteConfig(); err != nil {
				t.Errorf("configuration not written: %v", err)
			}
			time.Sleep(400 * time.Millisecond)
		}
	})
	for i, n := range r.Fronts {
		var exitedAt atomic.Int64
		for k := range 4 {
			clients.Go(func() { keepUsing(t, n, k, &exitedAt) })
		}
		changes.Go(func() {
			time.Sleep(500*time.Millisecond + time.Duration(i%2)*700*time.Millisecond)
			for range 1 + i%3 {
				n.Signal(syscall.SIGHUP)
			}
			time.Sleep(time.Duration(i/2) * 50 * time.Millisecond)
			if !n.Stop() {
				t.Errorf("%s did not exit in time", n.Settings.Name)
			}
			exitedAt.Store(time.Now().UnixNano())
		})
	}
	changes.Wait()
	clients.Wait()
}

// unreadTime is how long before its exit a process may not read a request any more.
const unreadTime = 50 * time.Millisecond

// keepUsing sends requests over kept connections until the front refuses connections. A
// request may be cut only if the process had no time to read it.
func keepUsing(t *testing.T, n *soak.Node, k int, exitedAt *atomic.Int64) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
	for j := 0; ; j++ {
		sentAt := time.Now()
		status, err := n.ViewOn(t.Context(), client, fmt.Sprintf("%s-%d-%d", n.Settings.Name, k, j))
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return
		case err != nil:
			require.Eventually(t, func() bool { return exitedAt.Load() != 0 }, time.Second, time.Millisecond, "request %d of client %d: %v", j, k, err)
			if left := time.Unix(0, exitedAt.Load()).Sub(sentAt); left > unreadTime {
				t.Errorf("request %d of client %d, %s before the exit: %v", j, k, left, err)
			}
			return
		case status != http.StatusOK:
			t.Errorf("request %d of client %d: status %d", j, k, status)
		}
	}
}
