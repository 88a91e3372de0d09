// Package load sends callers' requests in numbers and keeps account of every
// outcome.
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

// Plan is what a load run does.
type Plan struct {
	Nodes    []string       `toml:"nodes"`
	Seed     uint64         `toml:"seed"`
	Length   setup.Duration `toml:"length"`
	Callers  []Caller       `toml:"callers"`
	Trainers []Trainer      `toml:"trainers"`
}

// Caller sends requests of one kind at a rate.
type Caller struct {
	Name string `toml:"name"`
	// Kind is "whole", "stream", "read" or "once".
	Kind string `toml:"kind"`
	Pool string `toml:"pool"`
	// Rate is in requests a second.
	Rate    float64        `toml:"rate"`
	Tokens  int            `toml:"tokens"`
	Timeout setup.Duration `toml:"timeout"`
	// Resend is how often a request that failed is sent again, with its key.
	Resend int `toml:"resend"`
	// Prompts is how many different prompt starts the caller uses.
	Prompts int `toml:"prompts"`
}

// Trainer is a trainer in a plan.
type Trainer struct {
	Name   string         `toml:"name"`
	Pool   string         `toml:"pool"`
	Steps  int            `toml:"steps"`
	Groups int            `toml:"groups"`
	Count  int            `toml:"count"`
	Tokens int            `toml:"tokens"`
	Bound  uint64         `toml:"bound"`
	Learn  setup.Duration `toml:"learn"`
}

// Report is the account of a load run.
type Report struct {
	Callers  map[string]*Outcomes   `json:"callers"`
	Trainers map[string]stand.Tally `json:"trainers"`
	// Refused and Answered list the keys of "once" requests by outcome.
	Refused  []string `json:"refused"`
	Answered []string `json:"answered"`
	// Broken counts connections that broke in a request, by node address.
	Broken map[string][]time.Time `json:"broken"`
}

// Outcomes counts one caller's requests.
type Outcomes struct {
	Sent    int `json:"sent"`
	OK      int `json:"ok"`
	No      int `json:"no"`
	Unknown int `json:"unknown"`
	Ran     int `json:"ran"`
	Cut     int `json:"cut"`
	Wrong   int `json:"wrong"`
	Failed  int `json:"failed"`
	// Times are in seconds at the quantiles.
	Times map[string]float64 `json:"times"`

	hist *hdrhistogram.Histogram
}

// Read reads a plan.
func Read(file string) (Plan, error) {
	var plan Plan
	data, err := os.ReadFile(file)
	if err != nil {
		return plan, errors.Wrap(err, "read plan")
	}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return plan, errors.Wrapf(err, "plan %s", file)
	}
	return plan, plan.check()
}

func (p Plan) check() error {
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

// run is a load run under way.
type run struct {
	plan   Plan
	mu     sync.Mutex
	report Report
	http   *fasthttp.Client
}

// Run carries a plan out.
func Run(ctx context.Context, plan Plan) Report {
	r := &run{plan: plan, report: Report{
		Callers: map[string]*Outcomes{}, Trainers: map[string]stand.Tally{}, Broken: map[string][]time.Time{},
	}}
	r.http = client.Single()
	r.http.MaxConnsPerHost = 4096
	r.http.StreamResponseBody = true
	r.http.MaxIdleConnDuration = 2 * time.Second
	var all conc.WaitGroup
	for i, c := range plan.Callers {
		all.Go(func() { r.callers(ctx, c, plan.Seed+uint64(i)) })
	}
	for _, t := range plan.Trainers {
		all.Go(func() { r.trainer(ctx, t) })
	}
	all.Wait()
	for _, o := range r.report.Callers {
		o.summarize()
	}
	return r.report
}

func (r *run) trainer(ctx context.Context, t Trainer) {
	tally := stand.Train(ctx, stand.TrainerOptions{
		Name: t.Name, Nodes: r.plan.Nodes, Pool: t.Pool, Steps: t.Steps, Groups: t.Groups, Count: t.Count,
		Tokens: t.Tokens, Bound: t.Bound, Learn: t.Learn.D(), First: 1,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Trainers[t.Name] = tally
}

// callers sends one caller's requests as a Poisson process.
func (r *run) callers(ctx context.Context, c Caller, seed uint64) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Length.D())
	defer cancel()
	rnd := rand.New(rand.NewPCG(seed, seed))
	nodes := &find.Nodes{Caller: c.Name, Seeds: r.plan.Nodes}
	outcomes := &Outcomes{hist: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
	r.mu.Lock()
	r.report.Callers[c.Name] = outcomes
	r.mu.Unlock()
	var sent conc.WaitGroup
	for n := 0; ; n++ {
		if !sleep.For(ctx, time.Duration(rnd.ExpFloat64()/c.Rate*float64(time.Second))) {
			break
		}
		req := newRequest(c, n, rnd)
		sent.Go(func() { r.send(req, nodes, outcomes) })
	}
	sent.Wait()
}

func (o *Outcomes) summarize() {
	o.Times = map[string]float64{}
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "p999": 99.9, "max": 100} {
		o.Times[name] = (time.Duration(o.hist.ValueAtQuantile(q)) * time.Microsecond).Seconds()
	}
}
