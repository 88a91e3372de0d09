package trial

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Result is the result of one run.
type Result struct {
	// Idle is the share of the time that each trainer waited for samples, and
	// StepsDone the number of its complete steps.
	Idle      map[string]float64
	StepsDone map[string]int
	// StepTimes are in seconds.
	StepTimes []float64
	// Ages counts delivered samples by age in versions; Stale those dropped as
	// too old.
	Ages  map[uint64]int
	Stale int
	// Tokens counts the tokens of delivered samples, Wasted those generated but not
	// delivered. Submitted counts requests by caller and samples by trainer.
	Tokens, Wasted int
	Submitted      map[string]int
	Refusals       map[string]int
	Retries, Sent  int
	// RefusedLoads counts weight loads that the weight store refused.
	RefusedLoads int

	latencies map[string]*hdrhistogram.Histogram
}

func newResult() Result {
	return Result{
		Idle: map[string]float64{}, StepsDone: map[string]int{}, Ages: map[uint64]int{},
		Submitted: map[string]int{}, Refusals: map[string]int{}, latencies: map[string]*hdrhistogram.Histogram{},
	}
}

func (r *Result) recordLatency(name string, took time.Duration) {
	h := r.latencies[name]
	if h == nil {
		h = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		r.latencies[name] = h
	}
	_ = h.RecordValue(took.Microseconds())
}

// Row summarizes a scenario under a policy over all seeds. The Step and Fast
// quantiles are in seconds; Fast is the latency of the interactive caller. Work is
// the number of sent requests, retries included, as a multiple of the submitted
// ones.
type Row struct {
	Scenario  string  `json:"scenario"`
	Policy    string  `json:"policy"`
	Idle      float64 `json:"idle"`
	StepsDone float64 `json:"done"`
	Step50    float64 `json:"step50"`
	Step99    float64 `json:"step99"`
	Age       float64 `json:"age"`
	Stale     float64 `json:"stale"`
	Wasted    float64 `json:"wasted"`
	Fast50    float64 `json:"fast50"`
	Fast99    float64 `json:"fast99"`
	Fast999   float64 `json:"fast999"`
	Refused   float64 `json:"refused"`
	Work      float64 `json:"work"`
	Jain      float64 `json:"jain"`
}

// RunScenarios runs every scenario under every policy, once per seed from 1 to the
// value of seeds. All policies use the same seeds, so their runs can be compared in
// pairs.
func RunScenarios(scenarios []Scenario, policies map[string]Policy, seeds, workers int) []Row {
	policyNames := make([]string, 0, len(policies))
	for name := range policies {
		policyNames = append(policyNames, name)
	}
	sort.Strings(policyNames)
	rows := make([]Row, len(scenarios)*len(policyNames))
	workerPool := pool.New().WithMaxGoroutines(workers)
	for i, s := range scenarios {
		for j, name := range policyNames {
			workerPool.Go(func() { rows[i*len(policyNames)+j] = scenarioRow(s, name, policies[name], seeds) })
		}
	}
	workerPool.Wait()
	return rows
}

func scenarioRow(s Scenario, name string, p Policy, seeds int) Row {
	row := Row{Scenario: s.Name, Policy: name}
	var steps []float64
	fast := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	ages, delivered, tokens, wasted, submitted, sent, refused, refusable := 0.0, 0, 0, 0, 0, 0, 0, 0
	n := float64(seeds)
	for seed := range seeds {
		r := Run(s, p, uint64(seed+1))
		steps = append(steps, r.StepTimes...)
		row.Idle += mean(r.Idle) / n
		row.Jain += jainIndex(r.StepsDone) / n
		for _, done := range r.StepsDone {
			row.StepsDone += float64(done) / n
		}
		for age, count := range r.Ages {
			ages += float64(age) * float64(count)
			delivered += count
		}
		row.Stale += float64(r.Stale) / n
		tokens += r.Tokens
		wasted += r.Wasted
		sent += r.Sent + r.Retries
		for _, count := range r.Submitted {
			submitted += count
		}
		interactive := s.Callers[0].Name
		refused += r.Refusals[interactive]
		refusable += r.Submitted[interactive]
		if h := r.latencies[interactive]; h != nil {
			fast.Merge(h)
		}
	}
	row.Step50, row.Step99 = quantile(steps, 0.5), quantile(steps, 0.99)
	row.Age = ages / float64(max(1, delivered))
	row.Wasted = float64(wasted) / float64(max(1, tokens+wasted))
	row.Refused = float64(refused) / float64(max(1, refusable))
	row.Work = float64(sent) / float64(max(1, submitted))
	row.Fast50, row.Fast99, row.Fast999 = quantileSeconds(fast, 50), quantileSeconds(fast, 99), quantileSeconds(fast, 99.9)
	return row
}

func quantileSeconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1e6
}

func mean(values map[string]float64) float64 {
	total := 0.0
	for _, name := range sortedKeys(values) {
		total += values[name]
	}
	return total / float64(max(1, len(values)))
}

func sortedKeys(values map[string]float64) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// jainIndex returns Jain's fairness index of the trainers' complete steps.
func jainIndex(done map[string]int) float64 {
	sum, squares := 0.0, 0.0
	for _, n := range done {
		sum += float64(n)
		squares += float64(n) * float64(n)
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(done)) * squares)
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// Print writes the rows as a table.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SCENARIO\tPOLICY\tIDLE %\tSTEPS\tSTEP p50 s\tSTEP p99 s\tAGE\tTOO OLD\tWASTED %\tFAST p50 s\tp99 s\tp99.9 s\tREFUSED %\tWORK\tJAIN")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\n",
			r.Scenario, r.Policy, 100*r.Idle, r.StepsDone, r.Step50, r.Step99, r.Age, r.Stale, 100*r.Wasted, r.Fast50, r.Fast99, r.Fast999, 100*r.Refused, r.Work, r.Jain)
	}
	return errors.Wrap(t.Flush(), "print table")
}

// Plot draws the trainers' idle share under the policies into a PNG file.
func Plot(rows []Row, policies []string, file string) error {
	p := plot.New()
	p.Title.Text = "Trainers' idle time by scenario"
	p.Y.Label.Text = "share of the time, %"
	var labels []string
	for i, name := range policies {
		var values plotter.Values
		labels = labels[:0]
		for _, r := range rows {
			if r.Policy == name {
				values = append(values, 100*r.Idle)
				labels = append(labels, r.Scenario)
			}
		}
		bars, err := plotter.NewBarChart(values, vg.Points(8))
		if err != nil {
			return errors.Wrap(err, "create bar chart")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(float64(i) * 8)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(labels...)
	p.X.Tick.Label.Rotation = 0.8
	p.X.Tick.Label.XAlign = -1
	p.Legend.Top = true
	return errors.Wrap(p.Save(28*vg.Centimeter, 12*vg.Centimeter, file), "save plot")
}
