package soak_test

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"quetzalpier/cmds"
	"quetzalpier/soak"
)

// asProgram makes the test binary act as the program.
const asProgram = "QUETZALPIER_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(cmds.Run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

func open(t *testing.T) *soak.Rig {
	t.Helper()
	program, err := os.Executable()
	require.NoError(t, err)
	dir := t.TempDir()
	if kept := os.Getenv("LOGS"); kept != "" {
		dir, err = os.MkdirTemp(kept, "soak-")
		require.NoError(t, err)
	}
	r, err := soak.Open(soak.Options{
		Program: program, Env: []string{asProgram + "=1"}, Dir: dir,
		Fronts: 2, Stores: 3, Engines: 3, Plains: 2, Pace: 20 * time.Millisecond,
	})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

// TestSoak runs seeds that once showed a fault, and one more. Each line names
// the cause that was mended.
func TestSoak(t *testing.T) {
	seeds := map[string]uint64{
		"a read of a job that lay on disks was 404, and a lost answer hid results": 106,
		"a node alone turned away took that for an outage for everyone":            22,
		"none yet": 7,
	}
	for cause, seed := range seeds {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			r := open(t)
			ledger := soak.Run(context.Background(), r, soak.Plan{Seed: seed, For: 8 * time.Second, Log: zerolog.Nop()})
			t.Log(ledger.Summary())
			require.Empty(t, ledger.Broken)
			require.Positive(t, ledger.Steps)
		})
	}
}

// steps runs a deployment with the faults of one test.
func steps(t *testing.T, disturb func(r *soak.Rig)) *soak.Ledger {
	t.Helper()
	t.Parallel()
	r := open(t)
	ledger := soak.RunWith(context.Background(), r, 3, 12*time.Second, func() { disturb(r) })
	t.Log(ledger.Summary())
	require.Empty(t, ledger.Broken)
	require.Positive(t, ledger.Steps)
	return ledger
}

func TestFaults(t *testing.T) {
	t.Run("every store node is killed, one after the other", func(t *testing.T) {
		steps(t, func(r *soak.Rig) {
			for _, n := range r.Stores {
				n.Kill()
				time.Sleep(time.Second)
				require.NoError(t, n.Start())
			}
		})
	})
	t.Run("all processes are killed at once", func(t *testing.T) {
		steps(t, func(r *soak.Rig) {
			nodes := append(append([]*soak.Node(nil), r.Stores...), r.Fronts...)
			for _, n := range nodes {
				n.Kill()
			}
			for _, n := range nodes {
				require.NoError(t, n.Start())
			}
		})
	})
	t.Run("every node is stopped as planned, and cuts no request", func(t *testing.T) {
		ledger := steps(t, func(r *soak.Rig) {
			for _, n := range append(append([]*soak.Node(nil), r.Stores...), r.Fronts[0]) {
				require.True(t, n.Stop(), "%s did not end in time", n.Settings.Name)
				require.NoError(t, n.Start())
			}
		})
		require.Zero(t, ledger.Cut)
	})
	t.Run("the store is out for everyone while a step is submitted", func(t *testing.T) {
		steps(t, func(r *soak.Rig) {
			r.Outage(4 * time.Second)
		})
	})
	t.Run("every way to the store is silent for good", func(t *testing.T) {
		steps(t, func(r *soak.Rig) {
			for _, n := range append(append([]*soak.Node(nil), r.Stores...), r.Fronts...) {
				n.Link.Set(soak.Silence)
			}
		})
	})
	t.Run("the owner stands still and wakes", func(t *testing.T) {
		steps(t, func(r *soak.Rig) {
			for _, n := range r.Stores {
				n.Signal(syscall.SIGSTOP)
				time.Sleep(3 * time.Second)
				n.Signal(syscall.SIGCONT)
			}
		})
	})
	t.Run("the owner's key is taken away", func(t *testing.T) {
		steps(t, func(r *soak.Rig) {
			for range 5 {
				r.RevokeOwners(t.Context())
				time.Sleep(time.Second)
			}
		})
	})
	t.Run("the store loses answers", func(t *testing.T) {
		steps(t, func(r *soak.Rig) {
			for range 6 {
				r.LoseAnswers(3)
				time.Sleep(time.Second)
			}
		})
	})
}
