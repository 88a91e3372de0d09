package report_test

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalpier/report"
)

var start = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)

// logLine returns a line at a time in seconds after start, with fields in JSON.
func logLine(seconds float64, node, message, fields string) string {
	at := start.Add(time.Duration(seconds * float64(time.Second))).Format("2006-01-02T15:04:05.000Z07:00")
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"node":%q,"time":%q%s,"message":%q}`+"\n", node, at, fields, message)
}

func read(t *testing.T, logs ...string) *report.Report {
	t.Helper()
	var sources []report.Source
	for i, log := range logs {
		sources = append(sources, report.Source{Name: fmt.Sprint("log ", i), Reader: strings.NewReader(log)})
	}
	r, err := report.Read(sources)
	require.NoError(t, err)
	return r
}

// stepLogs are the logs of a front and an owner about one step. Task a is critical: a
// run is cut after 20 of its 30 events, and the next one starts after event 10.
func stepLogs() (front, owner string) {
	front = logLine(0.5, "f", "job accepted", `"job":"j","step":3,"model":"m","took_ms":500`) +
		logLine(12, "f", "job end stored", `"job":"j"`)
	owner = logLine(0.7, "o", "job opened", `"job":"j","step":3,"model":"m","want":1,"tasks":2,"objective_ms":8000,"age_ms":700`) +
		logLine(2, "o", "run ended", `"job":"j","task":"b","outcome":"whole","from":0,"events":10,"took_ms":1000`) +
		logLine(4, "o", "run ended", `"job":"j","task":"a","outcome":"cut","from":0,"events":20,"took_ms":2000,"busy_ms":800,"unloaded_ms":500`) +
		logLine(8, "o", "run ended", `"job":"j","task":"a","outcome":"whole","from":10,"events":30,"took_ms":3000,"busy_ms":400`) +
		logLine(9, "o", "task scored", `"job":"j","task":"a"`) +
		logLine(9.5, "o", "stored results", `"job":"j","whole":1`)
	return front, owner
}

func TestSteps(t *testing.T) {
	t.Run("the critical path is divided into parts that add up", func(t *testing.T) {
		front, owner := stepLogs()
		r := read(t, owner, front)
		require.Len(t, r.Steps, 1)
		step := r.Steps[0]
		require.Equal(t, "a", step.Critical)
		require.True(t, step.Late)
		require.InDelta(t, 12, step.Total, 1e-6)
		require.InDelta(t, 9.5, step.Listed, 1e-6)
		want := report.Parts{
			Accept: 0.5, Owner: 0.2, Unloaded: 0.5, Busy: 0.8 + 0.4, Moved: 0.6,
			// The median pace is near 100 ms: the second run has 20 events in 3 s.
			Run: 3, Slow: 1, Lost: 1, Reward: 1, List: 0.5, Read: 2.5,
		}
		for i, value := range step.Parts.Values() {
			require.InDelta(t, want.Values()[i], value, 0.05, report.PartNames[i])
		}
		require.InDelta(t, step.Total, sum(step.Parts), 1e-6)
	})
	t.Run("parts add up for any cut of the logs", func(t *testing.T) {
		front, owner := stepLogs()
		lines := strings.SplitAfter(front+owner, "\n")
		for skip := range lines {
			for _, step := range read(t, strings.Join(append(append([]string{}, lines[:skip]...), lines[skip+1:]...), "")).Steps {
				require.InDelta(t, step.Total, sum(step.Parts), 1e-6, "without line %d", skip)
			}
		}
	})
	t.Run("results whose transaction got no answer are listed once they are found", func(t *testing.T) {
		_, owner := stepLogs()
		step := read(t, strings.ReplaceAll(owner, "stored results", "found stored results")).Steps[0]
		require.InDelta(t, 9.5, step.Listed, 1e-6)
	})
	t.Run("a step that was never listed is late", func(t *testing.T) {
		_, owner := stepLogs()
		owner, _, _ = strings.Cut(owner, `{"node":"o","time":"2026-05-04T12:00:09.500`)
		step := read(t, owner).Steps[0]
		require.True(t, step.Late)
		require.Zero(t, step.Listed)
	})
}

// Guards against logs from which it can't be seen how close an end comes to its bound.
func TestEnds(t *testing.T) {
	sent := func(seconds float64) string {
		return `"sent":"` + start.Add(time.Duration(seconds*float64(time.Second))).Format(time.RFC3339Nano) + `"`
	}
	front := logLine(10, "f", "job end stored", `"job":"j"`) + logLine(11, "g", "job end stored", `"job":"j"`) +
		logLine(10, "f", "job end stored", `"job":"k"`) + logLine(12, "f", "end stored after its client was refused", `"job":"l"`)
	owner := logLine(9, "o", "task scored", `"job":"j","task":"a",`+sent(8)) +
		logLine(10.5, "o", "job ended", `"job":"k"`) +
		logLine(13, "o", "run ended", `"job":"j","task":"b","outcome":"cut","took_ms":9000,`+sent(11.2)) +
		logLine(13.1, "o", "run ended", `"job":"j","task":"c","outcome":"cut","took_ms":100`) +
		logLine(14, "o", "reward call of a closed job ended", `"job":"j","task":"d",`+sent(13.5)) +
		logLine(14.5, "o", "job ended", `"job":"j"`)
	earlier := logLine(14, "p", "run ended", `"job":"l","task":"x","outcome":"cut","took_ms":500`) +
		logLine(14.1, "p", "task scored", `"job":"open","task":"y"`)
	r := read(t, front, owner, earlier)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	require.Equal(t, report.Ends{OverOne: 2, OverThree: 1, Jobs: []report.End{
		{Job: "j", StoredAt: at(10), Known: 4.5, Run: 1.2, RunNode: "o", Reward: 3.5, RewardNode: "o"},
		{Job: "l", StoredAt: at(12), Run: 1.5, RunNode: "p"},
		{Job: "k", StoredAt: at(10), Known: 0.5},
	}}, r.Ends)
	var text bytes.Buffer
	require.NoError(t, report.Print(&text, r))
	require.Contains(t, text.String(), "3 jobs ended; of 2 something was sent more than 1 s after the end, of 1 more than 3 s")
}

func sum(parts report.Parts) float64 {
	total := 0.0
	for _, value := range parts.Values() {
		total += value
	}
	return total
}

func TestLines(t *testing.T) {
	front, owner := stepLogs()
	log := "   1.234 front-1 " + strings.ReplaceAll(front, "\n", "\n  2.345 front-1 ") + "not a log line\n{\"broken\n" + owner
	r := read(t, log)
	require.Equal(t, 1, r.Broken)
	require.Equal(t, []report.BrokenLine{{Source: "log 0", Line: 4}}, r.BrokenLines)
	require.Len(t, r.Steps, 1, "lines after a broken one are read")
}

func TestUsage(t *testing.T) {
	log := logLine(0, "s", "node started", "") +
		logLine(5, "s", "usage", `"class":"store","calls":{"get jobs":2,"commit results":5},"connections":{"run more":3}`) +
		logLine(10, "s", "usage", `"class":"store","calls":{"get jobs":3,"commit results":9},"connections":{"run more":4}`) +
		logLine(11, "s", "node started", "") +
		logLine(16, "s", "usage", `"class":"store","calls":{"get jobs":1},"connections":{}`) +
		logLine(20, "t", "usage", `"class":"store","calls":{"get jobs":10},"connections":{}`)
	r := read(t, log)
	require.Equal(t, []report.Usage{
		{Class: "store", Kind: "get", Reason: "jobs", Total: 14, Rate: 0.7},
		{Class: "store", Kind: "commit", Reason: "results", Total: 9, Rate: 0.45},
	}, r.Calls)
	require.Equal(t, []report.Usage{{Class: "store", Kind: "run", Reason: "more", Total: 4, Rate: 0.2}}, r.Connections)
}

func TestRequests(t *testing.T) {
	log := logLine(1, "f", "request refused", `"request":"r1","route":"b","status":504,"error":"10.1.2.3:80: header after 12 bytes"`) +
		logLine(1.5, "f", "request refused", `"request":"r2","route":"b","status":504,"error":"10.9.9.9:81: header after 7 bytes"`) +
		logLine(2, "f", "request served late", `"request":"r3","route":"b"`) +
		logLine(3, "f", "request refused", `"request":"r4","status":404,"error":"no route"`)
	r := read(t, log)
	require.Len(t, r.Routes, 2)
	require.Equal(t, report.Route{
		Route: "b", Refused: 2, Late: 1,
		Causes: []report.Cause{
			{Cause: "504 Gateway Timeout: #: header after # bytes", Count: 2, Example: "r1"},
			{Cause: "served late", Count: 1, Example: "r3"},
		},
		Seconds: []report.Second{{At: start.Add(time.Second), Count: 2}, {At: start.Add(2 * time.Second), Count: 1}},
	}, r.Routes[0])
	require.Equal(t, "none", r.Routes[1].Route)
}

func TestPrintAndPlot(t *testing.T) {
	front, owner := stepLogs()
	r := read(t, front, owner)
	var text bytes.Buffer
	require.NoError(t, report.Print(&text, r))
	require.Contains(t, text.String(), "late")
	file := filepath.Join(t.TempDir(), "steps.png")
	require.NoError(t, report.Plot(r, file))
	require.FileExists(t, file)
}

// BenchmarkRead reads lines in the proportions of a played day.
func BenchmarkRead(b *testing.B) {
	front, owner := stepLogs()
	var log bytes.Buffer
	for i := 0; log.Len() < 16<<20; i++ {
		log.WriteString(strings.ReplaceAll(front+owner, `"job":"j"`, fmt.Sprintf(`"job":"j%d"`, i)))
		for range 20 {
			log.WriteString(logLine(float64(i), "o", "upstream added or its state changed", `"upstream":"u","state":"ready","incarnation":3`))
		}
	}
	b.SetBytes(int64(log.Len()))
	for b.Loop() {
		_, err := report.Read([]report.Source{{Name: "log", Reader: bytes.NewReader(log.Bytes())}})
		require.NoError(b, err)
	}
}
