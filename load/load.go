// Package load generates the load of callers and trainers on a cluster and counts
// the outcome of every request.
package load

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/client"
	"quetzalpier/find"
	"quetzalpier/setup"
	"quetzalpier/sleep"
	"quetzalpier/stand"
)

// Plan describes a load run.
type Plan struct {
	Nodes    []string       `toml:"nodes"`
	Seed     uint64         `toml:"seed"`
	Duration setup.Duration `toml:"length"`
	Callers  []Caller       `toml:"callers"`
	Trainers []Trainer      `toml:"trainers"`
}

// Caller sends requests of one kind at a mean rate.
type Caller struct {
	Name string `toml:"name"`
	// Kind is "whole" for completions, "stream" for streamed completions, "read" for
	// reads and "once" for non-idempotent requests to a plain service.
	Kind string `toml:"kind"`
	Pool string `toml:"pool"`
	// Rate is the mean number of requests per second.
	Rate    float64        `toml:"rate"`
	Tokens  int            `toml:"tokens"`
	Timeout setup.Duration `toml:"timeout"`
	// Retries is the maximum number of retries of a request, which reuse its key.
	Retries int `toml:"resend"`
	// Prompts is the number of different prompt prefixes that the caller uses.
	Prompts int `toml:"prompts"`
}

// Trainer submits steps and pulls their samples.
type Trainer struct {
	Name      string         `toml:"name"`
	Pool      string         `toml:"pool"`
	Steps     int            `toml:"steps"`
	Groups    int            `toml:"groups"`
	Count     int            `toml:"count"`
	Tokens    int            `toml:"tokens"`
	MaxAge    uint64         `toml:"bound"`
	LearnTime setup.Duration `toml:"learn"`
}

// Report is the result of a load run.
type Report struct {
	Callers  map[string]*Outcomes           `json:"callers"`
	Trainers map[string]stand.TrainerResult `json:"trainers"`
	// RefusedKeys and AnsweredKeys list the keys of "once" requests that were refused
	// as not run and of those that were answered.
	RefusedKeys  []string `json:"refused"`
	AnsweredKeys []string `json:"answered"`
	// BrokenConns holds the start times of the requests whose connection broke, by
	// node address.
	BrokenConns map[string][]time.Time `json:"broken"`
}

// Outcomes counts one caller's requests by their last outcome.
type Outcomes struct {
	Sent    int `json:"sent"`
	OK      int `json:"ok"`
	NotRun  int `json:"no"`
	Unknown int `json:"unknown"`
	Ran     int `json:"ran"`
	Cut     int `json:"cut"`
	Wrong   int `json:"wrong"`
	Failed  int `json:"failed"`
	// Latencies are in seconds, by quantile.
	Latencies map[string]float64 `json:"times"`

	histogram *hdrhistogram.Histogram
}

// ReadPlan reads and validates the plan in a TOML file.
func ReadPlan(file string) (Plan, error) {
	var plan Plan
	data, err := os.ReadFile(file)
	if err != nil {
		return plan, errors.Wrap(err, "read plan")
	}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return plan, errors.Wrapf(err, "decode plan %s", file)
	}
	return plan, plan.validate()
}

func (p Plan) validate() error {
	if len(p.Nodes) == 0 {
		return &quetzalpier.FieldError{Field: "nodes", Reason: "must not be empty"}
	}
	for i, c := range p.Callers {
		switch c.Kind {
		case "whole", "stream", "read", "once":
		default:
			return &quetzalpier.FieldError{Field: fmt.Sprintf("callers[%d].kind", i), Reason: "must be whole, stream, read or once"}
		}
		if c.Rate <= 0 {
			return &quetzalpier.FieldError{Field: fmt.Sprintf("callers[%d].rate", i), Reason: "must be positive"}
		}
	}
	return nil
}

// run is a load run in progress.
type run struct {
	plan   Plan
	mu     sync.Mutex
	report Report
	http   *fasthttp.Client
}

// Run executes a plan and returns its report.
func Run(ctx context.Context, plan Plan) Report {
	r := &run{plan: plan, report: Report{
		Callers: map[string]*Outcomes{}, Trainers: map[string]stand.TrainerResult{}, BrokenConns: map[string][]time.Time{},
	}}
	r.http = client.NewSingleAttempt()
	r.http.MaxConnsPerHost = 4096
	r.http.StreamResponseBody = true
	r.http.MaxIdleConnDuration = 2 * time.Second
	var workers conc.WaitGroup
	for i, c := range plan.Callers {
		workers.Go(func() { r.runCaller(ctx, c, plan.Seed+uint64(i)) })
	}
	for _, t := range plan.Trainers {
		workers.Go(func() { r.runTrainer(ctx, t) })
	}
	workers.Wait()
	for _, o := range r.report.Callers {
		o.summarize()
	}
	return r.report
}

func (r *run) runTrainer(ctx context.Context, t Trainer) {
	result := stand.RunTrainer(ctx, stand.TrainerOptions{
		Name: t.Name, Nodes: r.plan.Nodes, Pool: t.Pool, Steps: t.Steps, Groups: t.Groups, GroupSize: t.Count,
		Tokens: t.Tokens, MaxAge: t.MaxAge, LearnDuration: t.LearnTime.D(), FirstStep: 1,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Trainers[t.Name] = result
}

// runCaller sends one caller's requests as a Poisson process.
func (r *run) runCaller(ctx context.Context, c Caller, seed uint64) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Duration.D())
	defer cancel()
	rnd := rand.New(rand.NewPCG(seed, seed))
	resolver := &find.Resolver{Caller: c.Name, Seeds: r.plan.Nodes}
	outcomes := &Outcomes{histogram: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
	r.mu.Lock()
	r.report.Callers[c.Name] = outcomes
	r.mu.Unlock()
	var inFlight conc.WaitGroup
	for n := 0; ; n++ {
		if !sleep.For(ctx, time.Duration(rnd.ExpFloat64()/c.Rate*float64(time.Second))) {
			break
		}
		req := newRequest(c, n, rnd)
		inFlight.Go(func() { r.send(req, resolver, outcomes) })
	}
	inFlight.Wait()
}

func (o *Outcomes) summarize() {
	o.Latencies = map[string]float64{}
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "p999": 99.9, "max": 100} {
		o.Latencies[name] = (time.Duration(o.histogram.ValueAtQuantile(q)) * time.Microsecond).Seconds()
	}
}
