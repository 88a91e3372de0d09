package fleet

import (
	"context"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"

	"quetzalpier/link"
	"quetzalpier/meter"
	"quetzalpier/platform"
	"quetzalpier/sleep"
	"quetzalpier/vault"
)

// usageInterval is the time between two log lines with the totals of a process. A
// process that is killed loses the counts since the last one.
const usageInterval = 5 * time.Second

// callPurpose returns the purpose of a call to the key-value service.
func callPurpose(key string) string {
	switch {
	case strings.HasPrefix(key, platform.PrefixWorkers):
		return "upstreams"
	case strings.HasPrefix(key, platform.KeyConfig):
		return "config"
	case strings.HasPrefix(key, platform.PrefixVersions):
		return "versions"
	case strings.HasPrefix(key, platform.PrefixRetire):
		return "retire"
	}
	return vault.Purpose(key)
}

// reportUsage logs the process's totals until ctx ends, and then once more.
func (n *Node) reportUsage(ctx context.Context) {
	for sleep.For(ctx, usageInterval) {
		n.logUsage()
	}
	n.logUsage()
}

// logUsage logs the totals since the start of the process: the calls to the
// key-value service by call and purpose, the opened connections by purpose and cause, and
// what became of the duties.
func (n *Node) logUsage() {
	families, err := n.Meter.Registry.Gather()
	if err != nil {
		n.Log.Error().Err(err).Msg("metrics could not be gathered")
		return
	}
	calls, dials := zerolog.Dict(), zerolog.Dict()
	for _, family := range families {
		switch family.GetName() {
		case meter.NamePlatformCalls:
			addTotals(calls, family, "call", "purpose")
		case meter.NameConnections:
			addTotals(dials, family, "purpose", "cause")
		}
	}
	line := n.Log.Info().Str("class", n.Settings.Class).Dict("calls", calls).Dict("connections", dials)
	if n.duties.holder != nil {
		line = addDuties(line, families)
	}
	line.Msg("usage")
}

// addDuties adds the holder's token, the windows by what became of their reports, and the runs
// of customers' requests.
func addDuties(line *zerolog.Event, families []*dto.MetricFamily) *zerolog.Event {
	windows, runs := zerolog.Dict(), zerolog.Dict()
	token := 0.0
	for _, family := range families {
		switch family.GetName() {
		case meter.NameDutyToken:
			token = family.GetMetric()[0].GetGauge().GetValue()
		case meter.NameUsageWindows:
			addTotals(windows, family, "outcome", "")
		case meter.NameUsageRuns:
			addTotals(runs, family, "outcome", "")
		}
	}
	return line.Uint64("token", uint64(token)).Dict("windows", windows).Dict("runs", runs)
}

// addTotals adds the sums of a family's counters by two of its labels, or by one.
func addTotals(totals *zerolog.Event, family *dto.MetricFamily, first, second string) {
	sums := map[string]float64{}
	for _, metric := range family.GetMetric() {
		labels := map[string]string{}
		for _, pair := range metric.GetLabel() {
			labels[pair.GetName()] = pair.GetValue()
		}
		sums[strings.TrimSpace(labels[first]+" "+labels[second])] += metric.GetCounter().GetValue()
	}
	for name, sum := range sums {
		totals.Float64(name, sum)
	}
}

func (n *Node) countDial(purpose link.Purpose, cause link.Cause) {
	n.Meter.Connections.WithLabelValues(string(purpose), string(cause)).Inc()
}
