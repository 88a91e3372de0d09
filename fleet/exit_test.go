package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/board"
	"quetzalpier/platform"
	"quetzalpier/setup"
	"quetzalpier/stand"
	"quetzalpier/vault"
)

// openTestNode opens a node of a deployment whose other node accepts connections and never
// answers. It returns a function that stops the node and returns how long that took.
func openTestNode(t *testing.T, class string) (n *Node, kv *stand.KV, stop func() time.Duration) {
	t.Helper()
	kv, err := stand.NewKV("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(kv.Close)
	engine, err := stand.NewWorker("127.0.0.1:0", stand.WorkerOptions{
		ID: "e", Pool: "lm", Domain: "d", Slots: 4, Software: "v1", Models: map[string]quetzalpier.Version{"m": 1}, EventInterval: 50 * time.Millisecond,
	})
	require.NoError(t, err)
	t.Cleanup(engine.Close)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	targets := []quetzalpier.Target{{Pool: "lm", Weight: 1}}
	config, err := platform.EncodeConfig(quetzalpier.Config{
		Number: 1, Pools: map[string]quetzalpier.Pool{"lm": {Kind: quetzalpier.KindEngine, Slots: 4, Models: []string{"m"}}},
		Routes: []quetzalpier.Route{
			{Name: "stream", Host: "h", Prefix: "/stream/", Stream: true, CanResume: true, Timeout: 30 * time.Second, Targets: targets},
			{Name: "batch", Host: "h", Prefix: "/batch/", Batch: true, JobObjective: time.Second, TaskTTL: time.Minute, Targets: targets},
		},
	})
	require.NoError(t, err)
	upstream, err := platform.EncodeVM(engine.VM())
	require.NoError(t, err)
	entry, err := json.Marshal(memberEntry{Peer: silent.Addr().String(), Domain: "other", Roles: []string{"front"}})
	require.NoError(t, err)
	_, err = kv.Commit(t.Context(), quetzalpier.Txn{Writes: []quetzalpier.Write{config, upstream, {Key: vault.Nodes + "silent", Value: entry}}})
	require.NoError(t, err)

	settings := setup.ServeDefaults()
	settings.Name, settings.Class, settings.Domain, settings.KV, settings.MemoryMiB = "n", class, "d", kv.Addr, 256
	settings.Peer, settings.Front, settings.Ready = freeAddr(t), freeAddr(t), freeAddr(t)
	if class == "store" {
		settings.Front, settings.DataDir = "", t.TempDir()
	}
	n, err = New(settings, io.Discard)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var run conc.WaitGroup
	run.Go(func() { n.Run(ctx) })
	t.Cleanup(func() { cancel(); run.Wait() })
	require.Eventually(t, func() bool {
		_, known := n.workers.Snapshot()
		onBoard := false
		n.Board.Do(func(s *board.State) { onBoard = s.Config.Number > 0 && s.Upstreams["e"] != nil })
		return known && onBoard && n.config.State().Rev > 0 && (class != "store" || n.ownsPool())
	}, 5*time.Second, 10*time.Millisecond)
	return n, kv, func() time.Duration {
		start := time.Now()
		cancel()
		run.Wait()
		return time.Since(start)
	}
}

// TestStopWithinGrace guards against nodes that still run when the platform kills them.
func TestStopWithinGrace(t *testing.T) {
	// reserve is what must be left of the grace period on a machine that is not busy.
	const reserve = 500 * time.Millisecond
	requireInTime := func(t *testing.T, n *Node, took time.Duration) {
		t.Helper()
		require.Less(t, took, n.Settings.StopTimeout.D()-reserve)
	}
	startStream := func(t *testing.T, n *Node) {
		t.Helper()
		conn, err := net.Dial("tcp", n.Settings.Front)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST /stream/1 HTTP/1.1\r\nHost: h\r\n%s: a\r\n%s: m\r\nContent-Length: 10\r\n\r\n400 prompt", platform.HeaderAttempt, platform.HeaderModel)
		require.NoError(t, err)
		status, err := bufio.NewReader(conn).ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, status, "200")
	}
	faults := map[string]stand.KVFaults{
		"is healthy":          {},
		"is slow":             {DelayMs: 300},
		"does not answer":     {Silent: true},
		"refuses this node":   {RefusalStatus: 503},
		"answers with errors": {Unavailable: true},
	}
	for name, fault := range faults {
		t.Run("a front streams, and the key-value service "+name, func(t *testing.T) {
			t.Parallel()
			n, kv, stop := openTestNode(t, "front")
			startStream(t, n)
			kv.SetFaults(fault)
			requireInTime(t, n, stop())
		})
		t.Run("a node owns a pool, and the key-value service "+name, func(t *testing.T) {
			t.Parallel()
			n, kv, stop := openTestNode(t, "store")
			kv.SetFaults(fault)
			requireInTime(t, n, stop())
		})
	}
	t.Run("connections without a request don't delay the stop", func(t *testing.T) {
		t.Parallel()
		n, _, stop := openTestNode(t, "front")
		var dialer conc.WaitGroup
		dialer.Go(func() {
			for {
				conn, err := net.Dial("tcp", n.Settings.Front)
				if err != nil {
					return
				}
				t.Cleanup(func() { _ = conn.Close() })
				time.Sleep(100 * time.Millisecond)
			}
		})
		took := stop()
		dialer.Wait()
		// Clients have the address cached for four seconds.
		require.Less(t, took, 6*time.Second)
	})
}
