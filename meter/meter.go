// Package meter defines the Prometheus metrics of a node.
package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Meter is a node's set of metrics.
type Meter struct {
	Registry *prometheus.Registry
	// Requests is the duration of callers' requests, by class, tenant and outcome.
	Requests *prometheus.HistogramVec
	// Queue is the time that requests wait for a slot, by class.
	Queue *prometheus.HistogramVec
	// Attempts counts attempts at upstreams, by pool and outcome.
	Attempts *prometheus.CounterVec
	// Refusals counts refused requests, by the type of the refusal and by whether the
	// request ran.
	Refusals *prometheus.CounterVec
	// Samples counts samples, by trainer and by what became of them.
	Samples *prometheus.CounterVec
	// Age is the age of delivered samples in weight versions, by trainer.
	Age *prometheus.HistogramVec
	// Orders counts load orders to engines, by pool and outcome.
	Orders *prometheus.CounterVec
	// Crashes counts upstream crashes with requests in flight, by pool.
	Crashes *prometheus.CounterVec
	// Control counts the bytes of control traffic between nodes, by direction.
	Control *prometheus.CounterVec
	// Platform counts calls to the platform, by call and outcome.
	Platform *prometheus.CounterVec
	// Number is the number of the configuration in use.
	Number prometheus.Gauge
	// Dropped counts log lines that were dropped because the log buffer was full.
	Dropped prometheus.Counter
	// Members is the number of known members, by state.
	Members *prometheus.GaugeVec
}

const bucketFactor = 2

// New returns a set of metrics that is registered in a new registry.
func New() *Meter {
	registry := prometheus.NewRegistry()
	m := &Meter{
		Registry: registry,
		Requests: histogram("request_seconds", "Time of callers' requests.", prometheus.ExponentialBuckets(0.001, bucketFactor, 18), "class", "tenant", "outcome"),
		Queue:    histogram("queue_seconds", "Wait for a slot.", prometheus.ExponentialBuckets(0.0005, bucketFactor, 18), "class"),
		Age:      histogram("sample_age_versions", "Age of delivered samples.", prometheus.LinearBuckets(0, 1, 9), "trainer"),
		Attempts: counter("attempts_total", "Attempts at upstreams.", "pool", "outcome"),
		Refusals: counter("refusals_total", "Refused requests.", "type", "ran"),
		Samples:  counter("samples_total", "Samples by fate.", "trainer", "fate"),
		Orders:   counter("orders_total", "Orders to engines.", "pool", "outcome"),
		Crashes:  counter("crashes_total", "Upstream crashes with requests in flight.", "pool"),
		Control:  counter("control_bytes_total", "Control traffic between nodes.", "direction"),
		Platform: counter("platform_calls_total", "Calls to the platform.", "call", "outcome"),
		Number:   prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "quetzalpier", Name: "config_number", Help: "Number of the configuration in force."}),
		Dropped:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: "quetzalpier", Name: "log_lines_dropped_total", Help: "Log lines that found no room."}),
		Members:  prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "quetzalpier", Name: "members", Help: "Known members."}, []string{"state"}),
	}
	registry.MustRegister(m.Requests, m.Queue, m.Age, m.Attempts, m.Refusals, m.Samples, m.Orders, m.Crashes, m.Control, m.Platform, m.Number, m.Dropped, m.Members)
	return m
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "quetzalpier", Name: name, Help: help, Buckets: buckets}, labels)
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "quetzalpier", Name: name, Help: help}, labels)
}

// Since returns the time from start to now in seconds, the unit of the histograms.
func Since(start, now time.Time) float64 { return now.Sub(start).Seconds() }
