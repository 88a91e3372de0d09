package soak_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/soak"
	"quetzalpier/stand"
)

const lookupInterval = 100 * time.Millisecond

// openFronts starts a deployment of four fronts, and returns the first front and the
// others once each names all of them.
func openFronts(t *testing.T) (r *soak.Rig, first *soak.Node, others []*soak.Node) {
	t.Helper()
	t.Parallel()
	r = openRigWith(t, soak.Options{Fronts: 4, Stores: 2, Engines: 1, Plains: 1, EventInterval: 20 * time.Millisecond})
	require.True(t, r.WaitReady(t.Context(), 15*time.Second))
	first, others = r.Fronts[0], r.Fronts[1:]
	for _, n := range r.Fronts {
		requireNamed(t, r.Fronts, n, true, 5*time.Second)
	}
	return r, first, others
}

// requireNamed requires that each of the fronts names the subject, or that none of
// them does, within the limit.
func requireNamed(t *testing.T, fronts []*soak.Node, subject *soak.Node, want bool, limit time.Duration) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for _, n := range fronts {
		for {
			askedAt := time.Now()
			named, err := n.Names(t.Context(), subject)
			if err == nil && named == want {
				break
			}
			require.True(t, askedAt.Before(deadline), "after %s, %s names %s: %t, error: %v", limit, n.Settings.Name, subject.Settings.Name, named, err)
			time.Sleep(lookupInterval)
		}
	}
}

// requireNamedThroughout requires that each of the fronts names the subject all the
// time.
func requireNamedThroughout(t *testing.T, fronts []*soak.Node, subject *soak.Node, period time.Duration) {
	t.Helper()
	for start := time.Now(); time.Since(start) < period; time.Sleep(lookupInterval) {
		for _, n := range fronts {
			named, err := n.Names(t.Context(), subject)
			if err != nil {
				logLookups(t, fronts)
			}
			require.NoError(t, err)
			require.True(t, named, "%s does not name %s after %s", n.Settings.Name, subject.Settings.Name, time.Since(start))
		}
	}
}

// logLookups logs what a further lookup at each front gives, to tell a lost connection from a
// front that hangs, and that from a machine on which nothing runs.
func logLookups(t *testing.T, fronts []*soak.Node) {
	t.Helper()
	for _, n := range fronts {
		start := time.Now()
		addrs, err := n.Lookup(t.Context())
		t.Logf("a further lookup at %s took %s: %v, error: %v", n.Settings.Name, time.Since(start), addrs, err)
	}
}

func TestLookupNamesLostFront(t *testing.T) {
	t.Run("a front whose process is gone", func(t *testing.T) {
		_, lost, others := openFronts(t)
		lost.Kill()
		requireNamed(t, others, lost, false, soak.MaxStaleLookup)
	})
	t.Run("a front that hangs", func(t *testing.T) {
		_, lost, others := openFronts(t)
		lost.Signal(syscall.SIGSTOP)
		requireNamed(t, others, lost, false, soak.MaxStaleLookup)
	})
	t.Run("a front that is lost while the key-value service is unavailable", func(t *testing.T) {
		r, lost, others := openFronts(t)
		r.KV.SetFaults(stand.KVFaults{Unavailable: true})
		time.Sleep(time.Second)
		lost.Kill()
		requireNamed(t, others, lost, false, soak.MaxStaleLookup)
	})
	t.Run("a front that is lost just before the key-value service becomes unavailable", func(t *testing.T) {
		r, lost, others := openFronts(t)
		lost.Signal(syscall.SIGSTOP)
		r.KV.SetFaults(stand.KVFaults{Unavailable: true})
		requireNamed(t, others, lost, false, soak.MaxStaleLookup)
	})
}

// A front that starts in an outage knows only the list of an earlier time.
func TestLookupNamesFrontLostBeforeStart(t *testing.T) {
	r, lost, others := openFronts(t)
	time.Sleep(time.Second)
	r.KV.SetFaults(stand.KVFaults{Unavailable: true})
	time.Sleep(time.Second)
	lost.Kill()
	time.Sleep(soak.MaxStaleLookup)
	for _, n := range others {
		n.Kill()
	}
	for _, n := range others {
		require.NoError(t, n.Start())
	}
	for start := time.Now(); time.Since(start) < 4*time.Second; time.Sleep(lookupInterval) {
		for _, n := range others {
			// Until it knows any front, a node answers with an error.
			named, err := n.Names(t.Context(), lost)
			require.False(t, err == nil && named, "%s names %s %s after its start", n.Settings.Name, lost.Settings.Name, time.Since(start))
		}
	}
	for _, n := range others {
		requireNamed(t, others, n, true, 0)
	}
}

func TestLookupNamesLiveFront(t *testing.T) {
	t.Run("a front that hung and resumed", func(t *testing.T) {
		_, paused, others := openFronts(t)
		paused.Signal(syscall.SIGSTOP)
		time.Sleep(5 * time.Second)
		paused.Signal(syscall.SIGCONT)
		requireNamed(t, others, paused, true, soak.MaxStaleLookup)
		requireNamedThroughout(t, others, paused, 3*time.Second)
	})
	t.Run("a front that was killed and started again", func(t *testing.T) {
		_, killed, others := openFronts(t)
		killed.Kill()
		time.Sleep(4 * time.Second)
		require.NoError(t, killed.Start())
		requireNamed(t, others, killed, true, soak.MaxStaleLookup)
		requireNamedThroughout(t, others, killed, 3*time.Second)
	})
	t.Run("a front that can't reach the key-value service", func(t *testing.T) {
		r, cut, _ := openFronts(t)
		require.NoError(t, cut.KVProxy.SetMode(soak.Reset))
		requireNamedThroughout(t, r.Fronts, cut, 10*time.Second)
	})
	t.Run("every front while the key-value service is unavailable, and after", func(t *testing.T) {
		r, first, _ := openFronts(t)
		r.KV.SetFaults(stand.KVFaults{Unavailable: true})
		requireNamedThroughout(t, r.Fronts, first, 10*time.Second)
		r.KV.SetFaults(stand.KVFaults{})
		requireNamedThroughout(t, r.Fronts, first, 4*time.Second)
	})
}
