// Package audit checks the guarantees of the service after a run. It compares what
// clients and upstreams recorded (the load report, the plain services' run counts
// and the engines' reports) and the configurations in force on the nodes.
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
	"quetzalpier/client"
	"quetzalpier/load"
	"quetzalpier/stand"
)

// Facts are the data that an audit checks.
type Facts struct {
	// Load is the load run's report.
	Load load.Report
	// RunsByKey counts the plain services' runs by key.
	RunsByKey map[string]int
	// Engines are the engines' reports by address.
	Engines map[string]stand.EngineReport
	// Leaving is the address of an engine that left the pool at LeftAt.
	Leaving string
	LeftAt  time.Time
	// Drained is the address of a node that was drained before its stop.
	Drained string
	// Configs are the configurations in force, by node.
	Configs map[string]quetzalpier.Config
	// Accepted holds the ids of the patches whose acceptance was confirmed to the
	// client.
	Accepted []string
}

// Row is the result of the check of one guarantee.
type Row struct {
	Name   string
	OK     bool
	Detail string
}

// leaveGrace is how long an upstream may still receive work after it left.
const leaveGrace = 5 * time.Second

// Check checks every guarantee and returns one row for each.
func Check(f Facts) []Row {
	return []Row{
		f.checkVersions(), f.checkSampleAge(), f.checkSamplesOnce(), f.checkAnswers(), f.checkNotRun(), f.checkAtMostOnce(), f.checkLeaving(), f.checkDrain(), f.checkConfig(),
	}
}

// Print writes the rows and a summary line, and reports whether all checks passed.
func Print(w io.Writer, rows []Row) bool {
	passed := 0
	for _, row := range rows {
		status := "FAIL"
		if row.OK {
			status = "ok"
			passed++
		}
		fmt.Fprintf(w, "%-4s  %-55s  %s\n", status, row.Name, row.Detail)
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", passed, len(rows)-passed)
	return passed == len(rows)
}

func (f Facts) checkVersions() Row {
	samples, badSpans, unknown := 0, 0, 0
	loaded := map[quetzalpier.Version]bool{1: true}
	for _, e := range f.Engines {
		for _, order := range e.AcceptedOrders {
			loaded[order.Version] = true
		}
	}
	for _, t := range f.Load.Trainers {
		samples += t.Samples
		badSpans += t.BadSpans
		for version := range t.Versions {
			if !loaded[version] {
				unknown++
			}
		}
	}
	return Row{"every sample names the versions that made it", samples > 0 && badSpans == 0 && unknown == 0, fmt.Sprintf("%d samples, %d without spans, %d versions no engine had", samples, badSpans, unknown)}
}

func (f Facts) checkSampleAge() Row {
	samples, stale := 0, 0
	for _, t := range f.Load.Trainers {
		samples += t.Samples
		stale += t.Stale
	}
	return Row{"no sample is older than its trainer's bound", samples > 0 && stale == 0, fmt.Sprintf("%d samples, %d too old", samples, stale)}
}

func (f Facts) checkSamplesOnce() Row {
	expected, received, duplicates, failedTrainers := 0, 0, 0, 0
	for _, t := range f.Load.Trainers {
		expected += t.Expected
		received += t.Samples
		duplicates += t.Duplicates
		if t.ErrorText != "" {
			failedTrainers++
		}
	}
	return Row{"every sample reaches its trainer exactly once", expected > 0 && received == expected && duplicates == 0 && failedTrainers == 0, fmt.Sprintf("%d asked for, %d got, %d doubled, %d trainers gave up", expected, received, duplicates, failedTrainers)}
}

func (f Facts) checkAnswers() Row {
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

func (f Facts) checkNotRun() Row {
	ran := 0
	for _, key := range f.Load.RefusedKeys {
		if f.RunsByKey[key] > 0 {
			ran++
		}
	}
	return Row{`a refusal saying "not run" is true`, ran == 0, fmt.Sprintf("%d refused as not run, %d of them had run", len(f.Load.RefusedKeys), ran)}
}

func (f Facts) checkAtMostOnce() Row {
	twice, notRun := 0, 0
	for _, n := range f.RunsByKey {
		if n > 1 {
			twice++
		}
	}
	for _, key := range f.Load.AnsweredKeys {
		if f.RunsByKey[key] == 0 {
			notRun++
		}
	}
	return Row{"a non-idempotent request runs at most once", len(f.Load.AnsweredKeys) > 0 && twice == 0 && notRun == 0, fmt.Sprintf("%d answered, %d ran twice, %d answered without a run", len(f.Load.AnsweredKeys), twice, notRun)}
}

func (f Facts) checkLeaving() Row {
	report, ok := f.Engines[f.Leaving]
	late := report.LastRun.Sub(f.LeftAt)
	return Row{"a leaving upstream receives no new work", ok && late <= leaveGrace, fmt.Sprintf("last work %s after it left", late.Round(100*time.Millisecond))}
}

func (f Facts) checkDrain() Row {
	broken := len(f.Load.BrokenConns[f.Drained])
	return Row{"a planned stop cuts no request off", f.Drained != "" && broken == 0, fmt.Sprintf("%d requests broken at the drained node", broken)}
}

func (f Facts) checkConfig() Row {
	missing := 0
	numbers := map[uint64]bool{}
	for _, c := range f.Configs {
		numbers[c.Number] = true
		for _, id := range f.Accepted {
			if !c.HasPatch(id) {
				missing++
			}
		}
	}
	return Row{"an accepted configuration is in force everywhere", len(f.Accepted) > 0 && len(numbers) == 1 && missing == 0, fmt.Sprintf("%d patches accepted, %d nodes at %d numbers, %d missing", len(f.Accepted), len(f.Configs), len(numbers), missing)}
}

// Sources lists where the facts are read from: the file of the load report, the
// addresses of plain services, engines and nodes. It also names the engine that
// left, the drained node and the accepted patches.
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

// Gather reads the facts from their sources.
func Gather(s Sources) (Facts, error) {
	f := Facts{
		RunsByKey: map[string]int{}, Engines: map[string]stand.EngineReport{}, Configs: map[string]quetzalpier.Config{},
		Leaving: s.Leaving, LeftAt: time.Unix(s.LeftAt, 0), Drained: s.Drained, Accepted: s.Accepted,
	}
	data, err := os.ReadFile(s.Report)
	if err != nil {
		return f, errors.Wrap(err, "read load report")
	}
	if err := json.Unmarshal(data, &f.Load); err != nil {
		return f, errors.Wrap(err, "decode load report")
	}
	for _, addr := range s.Plains {
		var runs map[string]int
		if err := getJSON(addr, "/runs", &runs); err != nil {
			return f, err
		}
		for key, n := range runs {
			f.RunsByKey[key] += n
		}
	}
	for _, addr := range s.Engines {
		var report stand.EngineReport
		if err := getJSON(addr, "/report", &report); err != nil {
			return f, err
		}
		f.Engines[addr] = report
	}
	for _, addr := range s.Nodes {
		var config quetzalpier.Config
		if err := getJSON(addr, "/v1/config", &config); err != nil {
			return f, err
		}
		f.Configs[addr] = config
	}
	return f, nil
}

func getJSON(addr, path string, into any) error {
	status, body, err := client.NewRepeating().GetTimeout(nil, "http://"+addr+path, 5*time.Second)
	if err != nil {
		return errors.Wrapf(err, "send request to %s", addr)
	}
	if status != fasthttp.StatusOK {
		return errors.Errorf("%s%s: HTTP status %d", addr, path, status)
	}
	return errors.Wrapf(json.Unmarshal(body, into), "decode %s%s", addr, path)
}
