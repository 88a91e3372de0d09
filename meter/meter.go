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
	// Customers counts the answered requests of customers, by customer and status; see
	// CountCustomer.
	Customers *prometheus.CounterVec
	// QueueTime is the time that requests wait for a slot, by class.
	QueueTime *prometheus.HistogramVec
	// Attempts counts attempts at upstreams, by pool and outcome.
	Attempts *prometheus.CounterVec
	// Refusals counts refused requests, by the type of the refusal and by whether the
	// request ran.
	Refusals *prometheus.CounterVec
	// Samples counts samples, by trainer and by what became of them.
	Samples *prometheus.CounterVec
	// SampleAge is the age of delivered samples in weight versions, by trainer.
	SampleAge *prometheus.HistogramVec
	// PromptTokens counts the shared prompt tokens of runs of tasks, by pool and by whether
	// the engine was assumed to hold them.
	PromptTokens *prometheus.CounterVec
	// FirstToken is the time to the first token of streams and of runs of tasks, by pool and
	// class of the prompt.
	FirstToken *prometheus.HistogramVec
	// Orders counts load orders to engines, by pool and outcome.
	Orders *prometheus.CounterVec
	// Crashes counts upstream crashes with requests in flight, by pool.
	Crashes *prometheus.CounterVec
	// ControlBytes counts the bytes of control traffic between nodes, by direction.
	ControlBytes *prometheus.CounterVec
	// PlatformCalls counts calls to the platform, by call, purpose and outcome.
	PlatformCalls *prometheus.CounterVec
	// Connections counts the connections opened to upstreams, by purpose and cause.
	Connections *prometheus.CounterVec
	// Anomalies counts the exchanges after which a connection to an upstream may carry bytes
	// of another request or response, by kind and purpose.
	Anomalies *prometheus.CounterVec
	// Tunnels counts the connections to upstreams that were requested of other nodes, or
	// served to them, by side and outcome.
	Tunnels *prometheus.CounterVec
	// LostPaths is the number of upstreams that the node does not reach, by pool.
	LostPaths *prometheus.GaugeVec
	// EndLag is the time from the storing of a job's end to when a node that runs the job
	// learned of it, by how it did.
	EndLag *prometheus.HistogramVec
	// SentAfterEnd is the time from the storing of a job's end to when a run or a reward
	// call of the job was sent, by kind. Calls that were sent earlier are not observed.
	SentAfterEnd *prometheus.HistogramVec
	// UnstoredEnds is the number of ends of jobs that are still to be stored.
	UnstoredEnds prometheus.Gauge
	// ConfigNumber is the number of the configuration in use.
	ConfigNumber prometheus.Gauge
	// DroppedLogLines counts log lines that were dropped because the log buffer was
	// full.
	DroppedLogLines prometheus.Counter
	// SuppressedLogLines counts warnings and errors that were not logged because
	// the same message was logged too often.
	SuppressedLogLines prometheus.Counter
	// StalledReaders counts the streams that were dropped since their clients did not read.
	StalledReaders prometheus.Counter
	// ClientConns is the number of connections of clients, by port.
	ClientConns *prometheus.GaugeVec
	// Yielded counts the bodies that gave up their room to others, and the connections that did,
	// by port. RejectedConns counts the connections for which there was no place.
	Yielded       *prometheus.CounterVec
	RejectedConns *prometheus.CounterVec
	// WaitingJobs is the number of jobs that wait for room in the memory of this owner.
	WaitingJobs prometheus.Gauge
	// CustomerGrants counts the requests of customers that got a slot of an upstream,
	// CustomerWaits the seconds that these waited at the node, and CustomerRefusals those
	// that were refused for lack of capacity, by reason.
	CustomerGrants   *prometheus.CounterVec
	CustomerWaits    *prometheus.CounterVec
	CustomerRefusals *prometheus.CounterVec
	// Members is the number of known members, by state.
	Members *prometheus.GaugeVec
	// DutyToken is the fencing token of the platform's duties, zero on nodes that don't hold
	// them.
	DutyToken prometheus.Gauge
	// UsageWindows counts the windows of usage by what became of their reports, and
	// UsageRuns the runs of customers' requests, by what became of them.
	UsageWindows *prometheus.CounterVec
	UsageRuns    *prometheus.CounterVec
	// Replicas is the number of upstreams that were ordered, are ready or are leaving, by
	// pool, failure domain, kind and state, on the node that orders them. ReplicaOrders
	// counts orders by outcome.
	Replicas      *prometheus.GaugeVec
	ReplicaOrders *prometheus.CounterVec

	customers nameLimit
}

// Names of the counters whose totals a node logs.
const (
	NamePlatformCalls = namespace + "_platform_calls_total"
	NameConnections   = namespace + "_connections_total"
	NameDutyToken     = namespace + "_duty_token"
	NameUsageWindows  = namespace + "_usage_windows_total"
	NameUsageRuns     = namespace + "_usage_runs_total"
)

const (
	namespace    = "quetzalpier"
	bucketFactor = 2
)

// endBuckets divide the three seconds after the end of a job in which its tasks may reach
// an upstream, and the time beyond.
var endBuckets = []float64{0.01, 0.03, 0.1, 0.3, 0.5, 1, 1.5, 2, 2.5, 3, 4, 6, 10, 30}

// New returns a set of metrics that is registered in a new registry.
func New() *Meter {
	registry := prometheus.NewRegistry()
	m := &Meter{
		Registry:           registry,
		Requests:           histogram("request_seconds", "Time of callers' requests.", prometheus.ExponentialBuckets(0.001, bucketFactor, 18), "class", "tenant", "outcome"),
		Customers:          counter("customer_requests_total", "Answered requests of customers.", "customer", "status"),
		QueueTime:          histogram("queue_seconds", "Wait for a slot.", prometheus.ExponentialBuckets(0.0005, bucketFactor, 18), "class"),
		SampleAge:          histogram("sample_age_versions", "Age of delivered samples.", prometheus.LinearBuckets(0, 1, 9), "trainer"),
		Attempts:           counter("attempts_total", "Attempts at upstreams.", "pool", "outcome"),
		Refusals:           counter("refusals_total", "Refused requests.", "type", "ran"),
		Samples:            counter("samples_total", "Samples by fate.", "trainer", "fate"),
		PromptTokens:       counter("prompt_tokens_total", "Shared prompt tokens of runs.", "pool", "state"),
		FirstToken:         histogram("first_token_seconds", "Time to the first token.", prometheus.ExponentialBuckets(0.005, bucketFactor, 14), "pool", "class"),
		Orders:             counter("orders_total", "Orders to engines.", "pool", "outcome"),
		Crashes:            counter("crashes_total", "Upstream crashes with requests in flight.", "pool"),
		ControlBytes:       counter("control_bytes_total", "Control traffic between nodes.", "direction"),
		PlatformCalls:      counter("platform_calls_total", "Calls to the platform.", "call", "purpose", "outcome"),
		Connections:        counter("connections_total", "Connections opened to upstreams.", "purpose", "cause"),
		Anomalies:          counter("connection_anomalies_total", "Anomalies of connections to upstreams.", "kind", "purpose"),
		Tunnels:            counter("tunnels_total", "Connections to upstreams through other nodes.", "side", "outcome"),
		LostPaths:          prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "lost_paths", Help: "Upstreams that the node does not reach itself."}, []string{"pool"}),
		EndLag:             histogram("end_lag_seconds", "Time until a node that runs a job learns of its end.", endBuckets, "source"),
		SentAfterEnd:       histogram("sent_after_end_seconds", "Time from the end of a job to a call of it that was sent later.", endBuckets, "kind"),
		UnstoredEnds:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "unstored_ends", Help: "Ends of jobs that are still to be stored."}),
		ConfigNumber:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "config_number", Help: "Number of the configuration in force."}),
		DroppedLogLines:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines that found no room."}),
		SuppressedLogLines: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "log_lines_suppressed_total", Help: "Warnings and errors beyond the limit of their message."}),
		StalledReaders:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "stalled_readers_total", Help: "Streams dropped because their clients did not read."}),
		ClientConns:        prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "client_connections", Help: "Open connections of clients."}, []string{"port"}),
		Yielded:            counter("client_yields_total", "Bodies and connections given up for others.", "kind"),
		RejectedConns:      counter("client_connections_rejected_total", "Connections for which there was no place.", "port"),
		WaitingJobs:        prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "waiting_jobs", Help: "Jobs that wait for room in memory."}),
		CustomerGrants:     counter("customer_granted_total", "Requests that got a slot of an upstream.", "customer"),
		CustomerWaits:      counter("customer_wait_seconds_total", "Wait for these slots at the node.", "customer"),
		CustomerRefusals:   counter("customer_refusals_total", "Requests refused for lack of capacity.", "customer", "reason"),
		Members:            prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "members", Help: "Known members."}, []string{"state"}),
		DutyToken:          prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "duty_token", Help: "Fencing token of the duties that the node holds."}),
		UsageWindows:       counter("usage_windows_total", "Windows of usage by outcome.", "outcome"),
		UsageRuns:          counter("usage_runs_total", "Runs of customers' requests by outcome.", "outcome"),
		Replicas:           prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "replicas", Help: "Upstreams of pools whose upstreams the node orders."}, []string{"pool", "domain", "kind", "state"}),
		ReplicaOrders:      counter("replica_orders_total", "Orders of upstreams by outcome.", "pool", "domain", "kind", "outcome"),
	}
	registry.MustRegister(m.Requests, m.Customers, m.CustomerGrants, m.CustomerWaits, m.CustomerRefusals, m.QueueTime, m.SampleAge, m.PromptTokens, m.FirstToken, m.Attempts, m.Refusals, m.Samples, m.Orders, m.Crashes, m.ControlBytes, m.PlatformCalls, m.Connections, m.Anomalies, m.LostPaths, m.Tunnels, m.EndLag, m.SentAfterEnd, m.UnstoredEnds, m.ConfigNumber, m.DroppedLogLines, m.SuppressedLogLines, m.StalledReaders, m.ClientConns, m.Yielded, m.RejectedConns, m.WaitingJobs, m.Members, m.DutyToken, m.UsageWindows, m.UsageRuns, m.Replicas, m.ReplicaOrders)
	return m
}

// WatchHeldBytes adds a gauge of the bytes that are held of clients' bodies.
func (m *Meter) WatchHeldBytes(held func() int) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: "held_body_bytes", Help: "Bytes of clients' bodies that are held."},
		func() float64 { return float64(held()) },
	))
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// SecondsBetween returns the time from start to now in seconds, the unit of the
// duration histograms.
func SecondsBetween(start, now time.Time) float64 { return now.Sub(start).Seconds() }
