package soak_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier"
	"quetzalpier/soak"
	"quetzalpier/stand"
)

// requireLimits requires that no upstream got more requests than its limits allow.
func requireLimits(t *testing.T, r *soak.Rig) {
	t.Helper()
	for _, w := range append(append([]*stand.Worker(nil), r.Engines...), r.Plains...) {
		require.Empty(t, w.LimitViolations(soak.LimitSettleTime, func(_, _ time.Time) bool { return false }))
	}
}

// TestLimit guards against upstreams that get more requests than the limit that they
// named, counted over all nodes.
func TestLimit(t *testing.T) {
	cases := []struct {
		name string
		// limited returns the upstreams that name a limit, one request a second.
		limited func(r *soak.Rig) []*stand.Worker
		// disturb runs while they do.
		disturb func(r *soak.Rig)
	}{
		{"an engine", func(r *soak.Rig) []*stand.Worker { return r.Engines[:1] }, func(*soak.Rig) {}},
		{"all engines", func(r *soak.Rig) []*stand.Worker { return r.Engines }, func(*soak.Rig) {}},
		{"all plain services, used by fronts and the owner", func(r *soak.Rig) []*stand.Worker { return r.Plains }, func(*soak.Rig) {}},
		{"all upstreams, while another node becomes the owner", func(r *soak.Rig) []*stand.Worker {
			return append(append([]*stand.Worker(nil), r.Engines...), r.Plains...)
		}, func(r *soak.Rig) { r.RevokeOwners(t.Context()) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := openRig(t)
			ledger := soak.RunWithFaults(context.Background(), r, 5, 14*time.Second, func() {
				time.Sleep(time.Second)
				for _, w := range c.limited(r) {
					w.SetLimit(quetzalpier.Limit{Named: true, PerSecond: 1})
				}
				time.Sleep(6 * time.Second)
				c.disturb(r)
			})
			t.Log(ledger.Summary())
			require.Empty(t, ledger.Violations)
			requireLimits(t, r)
		})
	}
}
