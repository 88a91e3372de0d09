// Package audit checks from the outside what a run must have kept: by the
// trainers' own tallies, the plain services' own counts and the engines' own
// reports.
package audit

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
	"quetzalpier/load"
	"quetzalpier/stand"
)

// Facts are what an audit looks at.
type Facts struct {
	// Load is the load run's report.
	Load load.Report
	// Runs counts the plain services' runs by key.
	Runs map[string]int
	// Engines are the engines' reports by address.
	Engines map[string]stand.Report
	// Leaving is the address of an engine that left, and LeftAt when.
	Leaving string
	LeftAt  time.Time
	// Drained is the address of a node that was stopped as planned.
	Drained string
	// Configs are the configurations in force, by node.
	Configs map[string]quetzalpier.Config
	// Accepted names the patches whose acceptance was answered.
	Accepted []string
}

// Row is the verdict on one promise.
type Row struct {
	Name  string
	OK    bool
	Found string
}

// leaveLimit is how long after its leaving an upstream may still get work.
const leaveLimit = 5 * time.Second

// Check returns a row for each promise.
func Check(f Facts) []Row {
	return []Row{
		f.named(), f.fresh(), f.once(), f.whole(), f.notRun(), f.atMostOnce(), f.left(), f.planned(), f.config(),
	}
}

// Print writes the rows and a closing line; it tells whether all hold.
func Print(w io.Writer, rows []Row) bool {
	passed := 0
	for _, row := range rows {
		mark := "FAIL"
		if row.OK {
			mark = "ok"
			passed++
		}
		fmt.Fprintf(w, "%-4s  %-55s  %s\n", mark, row.Name, row.Found)
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", passed, len(rows)-passed)
	return passed == len(rows)
}

func (f Facts) named() Row {
	samples, bad, unknown := 0, 0, 0
	made := map[quetzalpier.Version]bool{1: true}
	for _, e := range f.Engines {
		for _, order := range e.Obeyed {
			made[order.Version] = true
		}
	}
	for _, t := range f.Load.Trainers {
		samples += t.Samples
		bad += t.Unnamed
		for version := range t.Versions {
			if !made[version] {
				unknown++
			}
		}
	}
	return Row{"every sample names the versions that made it", samples > 0 && bad == 0 && unknown == 0, fmt.Sprintf("%d samples, %d without spans, %d versions no engine had", samples, bad, unknown)}
}

func (f Facts) fresh() Row {
	samples, stale := 0, 0
	for _, t := range f.Load.Trainers {
		samples += t.Samples
		stale += t.Stale
	}
	return Row{"no sample is older than its trainer's bound", samples > 0 && stale == 0, fmt.Sprintf("%d samples, %d too old", samples, stale)}
}

func (f Facts) once() Row {
	wanted, got, doubled, faults := 0, 0, 0, 0
	for _, t := range f.Load.Trainers {
		wanted += t.Wanted
		got += t.Samples
		doubled += t.Doubled
		if t.Fault != "" {
			faults++
		}
	}
	return Row{"every sample reaches its trainer exactly once", wanted > 0 && got == wanted && doubled == 0 && faults == 0, fmt.Sprintf("%d asked for, %d got, %d doubled, %d trainers gave up", wanted, got, doubled, faults)}
}

func (f Facts) whole() Row {
	ok, wrong, failed := 0, 0, 0
	for _, o := range f.Load.Callers {
		ok += o.OK
		wrong += o.Wrong
		failed += o.Failed + o.Cut
	}
	for _, t := range f.Load.Trainers {
		wrong += t.Wrong
	}
	return Row{"every caller gets the whole answer to its own request", ok > 0 && wrong == 0, fmt.Sprintf("%d answers, %d wrong; %d seen to fail", ok, wrong, failed)}
}

func (f Facts) notRun() Row {
	lies := 0
	for _, key := range f.Load.Refused {
		if f.Runs[key] > 0 {
			lies++
		}
	}
	return Row{`a refusal saying "not run" is true`, lies == 0, fmt.Sprintf("%d refused as not run, %d of them had run", len(f.Load.Refused), lies)}
}

func (f Facts) atMostOnce() Row {
	twice, lost := 0, 0
	for _, n := range f.Runs {
		if n > 1 {
			twice++
		}
	}
	for _, key := range f.Load.Answered {
		if f.Runs[key] == 0 {
			lost++
		}
	}
	return Row{"a non-idempotent request runs at most once", len(f.Load.Answered) > 0 && twice == 0 && lost == 0, fmt.Sprintf("%d answered, %d ran twice, %d answered without a run", len(f.Load.Answered), twice, lost)}
}

func (f Facts) left() Row {
	report, ok := f.Engines[f.Leaving]
	late := report.LastRun.Sub(f.LeftAt)
	return Row{"a leaving upstream receives no new work", ok && late <= leaveLimit, fmt.Sprintf("last work %s after it left", late.Round(100*time.Millisecond))}
}

func (f Facts) planned() Row {
	broken := len(f.Load.Broken[f.Drained])
	return Row{"a planned stop cuts no request off", f.Drained != "" && broken == 0, fmt.Sprintf("%d requests broken at the drained node", broken)}
}

func (f Facts) config() Row {
	lacking := 0
	numbers := map[uint64]bool{}
	for _, c := range f.Configs {
		numbers[c.Number] = true
		for _, id := range f.Accepted {
			if !c.HasPatch(id) {
				lacking++
			}
		}
	}
	return Row{"an accepted configuration is in force everywhere", len(f.Accepted) > 0 && len(numbers) == 1 && lacking == 0, fmt.Sprintf("%d patches accepted, %d nodes at %d numbers, %d missing", len(f.Accepted), len(f.Configs), len(numbers), lacking)}
}

// Sources tell where the facts are.
type Sources struct {
	Report   string   `json:"report"`
	Plains   []string `json:"plains"`
	Engines  []string `json:"engines"`
	Nodes    []string `json:"nodes"`
	Leaving  string   `json:"leaving"`
	LeftAt   int64    `json:"leftat"`
	Drained  string   `json:"drained"`
	Accepted []string `json:"accepted"`
}

// Gather collects the facts.
func Gather(s Sources) (Facts, error) {
	f := Facts{
		Runs: map[string]int{}, Engines: map[string]stand.Report{}, Configs: map[string]quetzalpier.Config{},
		Leaving: s.Leaving, LeftAt: time.Unix(s.LeftAt, 0), Drained: s.Drained, Accepted: s.Accepted,
	}
	data, err := os.ReadFile(s.Report)
	if err != nil {
		return f, errors.Wrap(err, "read report")
	}
	if err := json.Unmarshal(data, &f.Load); err != nil {
		return f, errors.Wrap(err, "decode report")
	}
	for _, addr := range s.Plains {
		var runs map[string]int
		if err := get(addr, "/runs", &runs); err != nil {
			return f, err
		}
		for key, n := range runs {
			f.Runs[key] += n
		}
	}
	for _, addr := range s.Engines {
		var report stand.Report
		if err := get(addr, "/report", &report); err != nil {
			return f, err
		}
		f.Engines[addr] = report
	}
	for _, addr := range s.Nodes {
		var config quetzalpier.Config
		if err := get(addr, "/v1/config", &config); err != nil {
			return f, err
		}
		f.Configs[addr] = config
	}
	return f, nil
}

func get(addr, path string, into any) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+path, 5*time.Second)
	if err != nil {
		return errors.Wrapf(err, "ask %s", addr)
	}
	if status != fasthttp.StatusOK {
		return errors.Errorf("%s%s: status %d", addr, path, status)
	}
	return errors.Wrapf(json.Unmarshal(body, into), "decode %s%s", addr, path)
}
