package scale_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/scale"
)

func BenchmarkFleet(b *testing.B) {
	for range b.N {
		r, err := scale.Measure(scale.Options{Nodes: 30, Domains: 5, Workers: 600, Settle: 2 * time.Second, Measure: 8 * time.Second})
		require.NoError(b, err)
		b.ReportMetric(100*r.CPUShare, "core%/node")
		b.ReportMetric(r.SentRate, "sentB/s")
	}
}
