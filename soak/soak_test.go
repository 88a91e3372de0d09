package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier/cmds"
	"quetzalpier/report"
	"quetzalpier/soak"
	"quetzalpier/stand"
)

// asProgram names the environment variable that makes the test binary run the
// quetzalpier command, so that tests can start nodes as processes.
const asProgram = "QUETZALPIER_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(cmds.Run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

func openRig(t *testing.T) *soak.Rig {
	t.Helper()
	return openRigWith(t, soak.Options{Fronts: 2, Stores: 3, Engines: 3, Plains: 2, EventInterval: 20 * time.Millisecond})
}

func openRigWith(t *testing.T, options soak.Options) *soak.Rig {
	t.Helper()
	program, err := os.Executable()
	require.NoError(t, err)
	dir := t.TempDir()
	if logs := os.Getenv("LOGS"); logs != "" {
		dir, err = os.MkdirTemp(logs, "soak-")
		require.NoError(t, err)
	}
	options.Program, options.Env, options.Dir = program, []string{asProgram + "=1"}, dir
	r, err := soak.Open(options)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

// TestSoak runs the seeds that have failed before, each named by the fault that
// was fixed, and one seed that has not.
func TestSoak(t *testing.T) {
	seeds := map[string]uint64{
		"reading a job kept on disks returned 404, and a lost response hid results":                          106,
		"a node that lost its connection to the key-value service and asked a killed peer assumed an outage": 22,
		"no fault found": 7,
	}
	for cause, seed := range seeds {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			r := openRig(t)
			ledger := soak.Run(context.Background(), r, soak.Plan{Seed: seed, FaultDuration: 8 * time.Second, Log: zerolog.Nop()})
			t.Log(ledger.Summary())
			require.Empty(t, ledger.Violations)
			require.Positive(t, ledger.Steps)
		})
	}
}

// TestSoakLosesFronts is a short run of the soak command with its deployment.
func TestSoakLosesFronts(t *testing.T) {
	seeds := map[string]uint64{
		"a node that started just before an outage was told of no lost front": 4007,
		"a front that was listed for 0.3 s before its loss was not known":     5014,
		"a front was first listed after its loss":                             6011,
		"no fault found": 1,
	}
	for cause, seed := range seeds {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			r := openRigWith(t, soak.Options{Fronts: 4, Stores: 3, Engines: 4, Plains: 2, EventInterval: 30 * time.Millisecond})
			ledger := soak.Run(context.Background(), r, soak.Plan{Seed: seed, FaultDuration: 12 * time.Second, LoseFronts: true, Log: zerolog.Nop()})
			t.Log(ledger.Summary())
			require.Empty(t, ledger.Violations)
			require.Positive(t, ledger.Lookups)
		})
	}
}

// TestSoakStoreFaults injects faults of the key-value service that concern only some
// nodes or their watches.
func TestSoakStoreFaults(t *testing.T) {
	for _, seed := range []uint64{8101, 8102} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r := openRig(t)
			plan := soak.Plan{Seed: seed, FaultDuration: 8 * time.Second, StoreFaults: true, NoProcessFaults: true, Log: zerolog.Nop()}
			ledger := soak.Run(context.Background(), r, plan)
			t.Log(ledger.Summary())
			require.Empty(t, ledger.Violations)
			require.Positive(t, ledger.EndedJobs)
		})
	}
}

// TestSoakUpstreams is a short run in which upstreams name limits and leave beside the other faults,
// and engines have two software versions.
func TestSoakUpstreams(t *testing.T) {
	for _, seed := range []uint64{9201, 9202} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r := openRigWith(t, soak.Options{Fronts: 2, Stores: 3, Engines: 4, Plains: 2, SoftwareVersions: 2, EventInterval: 30 * time.Millisecond})
			ledger := soak.Run(context.Background(), r, soak.Plan{Seed: seed, FaultDuration: 8 * time.Second, Upstreams: true, Log: zerolog.Nop()})
			t.Log(ledger.Summary())
			require.Empty(t, ledger.Violations)
		})
	}
}

// TestSoakPartitions is a short run in which nodes are partitioned from all upstreams beside
// the other faults.
func TestSoakPartitions(t *testing.T) {
	for seed, alone := range map[uint64]bool{9301: false, 9302: true} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r := openRigWith(t, soak.Options{Fronts: 3, Stores: 3, Engines: 3, Plains: 2, EventInterval: 30 * time.Millisecond, Partitions: true})
			plan := soak.Plan{Seed: seed, FaultDuration: 12 * time.Second, Partitions: true, NoProcessFaults: alone, Log: zerolog.Nop()}
			ledger := soak.Run(context.Background(), r, plan)
			t.Log(ledger.Summary())
			require.Empty(t, ledger.Violations)
		})
	}
}

// runSteps runs a deployment while inject injects the faults of one test. It
// requires that no guarantee is broken and that a step completes.
func runSteps(t *testing.T, inject func(r *soak.Rig)) *soak.Ledger {
	t.Helper()
	t.Parallel()
	r := openRig(t)
	ledger := soak.RunWithFaults(context.Background(), r, 3, 12*time.Second, func() { inject(r) })
	t.Log(ledger.Summary())
	require.Empty(t, ledger.Violations)
	require.Positive(t, ledger.Steps)
	requireReport(t, r.Dir, ledger)
	return ledger
}

// requireReport requires that the nodes' logs explain every step.
func requireReport(t *testing.T, dir string, ledger *soak.Ledger) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	require.NoError(t, err)
	var sources []report.Source
	for _, name := range logs {
		file, err := os.Open(name)
		require.NoError(t, err)
		defer func() { _ = file.Close() }()
		sources = append(sources, report.Source{Name: name, Reader: file})
	}
	r, err := report.Read(sources)
	require.NoError(t, err)
	require.Zero(t, r.Broken, "%v", r.BrokenLines)
	listed := 0
	for _, step := range r.Steps {
		total := 0.0
		for _, part := range step.Parts.Values() {
			require.GreaterOrEqual(t, part, 0.0)
			total += part
		}
		require.InDelta(t, step.Total, total, 1e-6, "step %d", step.Step)
		if step.Listed > 0 {
			listed++
		}
	}
	require.GreaterOrEqual(t, listed, ledger.Steps)
	require.NotEmpty(t, r.Calls)
}

// failAll makes the workers answer every request with an error for the given time.
func failAll(workers []*stand.Worker, duration time.Duration) {
	for _, w := range workers {
		w.SetFaults(stand.WorkerFaults{Status: http.StatusBadGateway, StatusCount: 1 << 20})
	}
	time.Sleep(duration)
	for _, w := range workers {
		w.SetFaults(stand.WorkerFaults{})
	}
}

func TestFaults(t *testing.T) {
	t.Run("every store node is killed, one after the other", func(t *testing.T) {
		runSteps(t, func(r *soak.Rig) {
			for _, n := range r.Stores {
				n.Kill()
				time.Sleep(time.Second)
				require.NoError(t, n.Start())
			}
		})
	})
	t.Run("all processes are killed at once", func(t *testing.T) {
		runSteps(t, func(r *soak.Rig) {
			nodes := append(append([]*soak.Node(nil), r.Stores...), r.Fronts...)
			for _, n := range nodes {
				n.Kill()
			}
			for _, n := range nodes {
				require.NoError(t, n.Start())
			}
		})
	})
	t.Run("every store node and a front stop as planned and cut no request", func(t *testing.T) {
		ledger := runSteps(t, func(r *soak.Rig) {
			for _, n := range append(append([]*soak.Node(nil), r.Stores...), r.Fronts[0]) {
				require.True(t, n.Stop(), "%s did not exit in time", n.Settings.Name)
				require.NoError(t, n.Start())
			}
		})
		require.Zero(t, ledger.CutRequests)
	})
	t.Run("the key-value service is unavailable to all nodes while a step is submitted", func(t *testing.T) {
		runSteps(t, func(r *soak.Rig) {
			r.Outage(4 * time.Second)
		})
	})
	t.Run("all open connections to the key-value service drop their data", func(t *testing.T) {
		runSteps(t, func(r *soak.Rig) {
			for _, n := range append(append([]*soak.Node(nil), r.Stores...), r.Fronts...) {
				require.NoError(t, n.KVProxy.SetMode(soak.Silence))
			}
		})
	})
	t.Run("each store node is paused for 3 s and resumed", func(t *testing.T) {
		runSteps(t, func(r *soak.Rig) {
			for _, n := range r.Stores {
				n.Signal(syscall.SIGSTOP)
				time.Sleep(3 * time.Second)
				n.Signal(syscall.SIGCONT)
			}
		})
	})
	t.Run("the owners' keys are deleted", func(t *testing.T) {
		runSteps(t, func(r *soak.Rig) {
			for range 5 {
				r.RevokeOwners(t.Context())
				time.Sleep(time.Second)
			}
		})
	})
	t.Run("every engine answers with an error", func(t *testing.T) {
		runSteps(t, func(r *soak.Rig) { failAll(r.Engines, 3*time.Second) })
	})
	t.Run("the reward service is unavailable", func(t *testing.T) {
		runSteps(t, func(r *soak.Rig) { failAll(r.Plains, 4*time.Second) })
	})
	t.Run("the key-value service loses responses to writes", func(t *testing.T) {
		runSteps(t, func(r *soak.Rig) {
			for range 6 {
				r.LoseResponses(3)
				time.Sleep(time.Second)
			}
		})
	})
}

func TestStart(t *testing.T) {
	for name, restart := range map[string]func(r *soak.Rig) []*soak.Node{
		"every process": func(r *soak.Rig) []*soak.Node { return append(append([]*soak.Node(nil), r.Stores...), r.Fronts...) },
		"every front":   func(r *soak.Rig) []*soak.Node { return r.Fronts },
	} {
		t.Run(name+" starts in an outage of the key-value service and serves before its end", func(t *testing.T) {
			runSteps(t, func(r *soak.Rig) {
				time.Sleep(time.Second)
				r.KV.SetFaults(stand.KVFaults{Unavailable: true})
				defer r.KV.SetFaults(stand.KVFaults{})
				for _, n := range restart(r) {
					n.Kill()
				}
				for _, n := range restart(r) {
					require.NoError(t, n.Start())
				}
				require.True(t, r.WaitReady(t.Context(), 4*time.Second))
				require.NoError(t, r.Request(t.Context()), "a request is served in the outage")
			})
		})
	}
}
