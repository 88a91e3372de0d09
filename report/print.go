package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// maxPrintedRows limits the causes, seconds and usage rows of the text form, and
// maxPrintedEnds the ends of jobs. The JSON form has all.
const (
	maxPrintedRows = 12
	maxPrintedEnds = 10
)

// Print writes the report as text.
func Print(out io.Writer, r *Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d lines read, %d broken\n", r.Lines, r.Broken)
	for _, broken := range r.BrokenLines {
		fmt.Fprintf(w, "  broken: %s, line %d\n", broken.Source, broken.Line)
	}
	fmt.Fprintf(w, "median pace: %.1f ms an event\n\n", 1000*r.Pace)
	printSteps(w, r.Steps)
	printEnds(w, r.Ends)
	printUsage(w, "calls to the key-value service", r.Calls)
	printUsage(w, "connections opened to upstreams", r.Connections)
	for _, route := range r.Routes {
		printRoute(w, route)
	}
	return errors.Wrap(w.Flush(), "print report")
}

func printSteps(w io.Writer, steps []Step) {
	fmt.Fprint(w, "STEP\tMODEL\tJOB\tTASKS\tTOTAL s\tLISTED s\tLATE")
	for _, name := range PartNames {
		fmt.Fprintf(w, "\t%s", name)
	}
	fmt.Fprint(w, "\tIDEAL s\tEFFICIENCY\tCRITICAL\n")
	for _, step := range steps {
		late := ""
		if step.Late {
			late = "late"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%.2f\t%.2f\t%s", step.Step, step.Model, step.Job, step.Tasks, step.Total, step.Listed, late)
		for _, value := range step.Parts.Values() {
			fmt.Fprintf(w, "\t%.2f", value)
		}
		fmt.Fprintf(w, "\t%.2f\t%.2f\t%s\n", step.Ideal, step.Efficiency, step.Critical)
	}
	fmt.Fprintln(w)
}

// printEnds prints the ends of jobs after which runs or reward calls were sent latest.
func printEnds(w io.Writer, ends Ends) {
	fmt.Fprintf(w, "%d jobs ended; of %d something was sent more than 1 s after the end, of %d more than 3 s\n", len(ends.Jobs), ends.OverOne, ends.OverThree)
	fmt.Fprint(w, "ENDED\tJOB\tKNOWN s\tLAST RUN s\tBY\tLAST REWARD s\tBY\n")
	for _, end := range ends.Jobs[:min(maxPrintedEnds, len(ends.Jobs))] {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%s\t%.3f\t%s\n", end.StoredAt.Format("15:04:05.000"), end.Job, end.Known, end.Run, end.RunNode, end.Reward, end.RewardNode)
	}
	fmt.Fprintln(w)
}

func printUsage(w io.Writer, title string, rows []Usage) {
	total := 0.0
	for _, row := range rows {
		total += row.Total
	}
	fmt.Fprintf(w, "%s: %.0f\n", title, total)
	for _, row := range rows[:min(maxPrintedRows, len(rows))] {
		fmt.Fprintf(w, "  %s\t%s\t%s\t%.0f\t%.2f/s\n", row.Class, row.Kind, row.Reason, row.Total, row.Rate)
	}
	fmt.Fprintln(w)
}

func printRoute(w io.Writer, route Route) {
	fmt.Fprintf(w, "route %s: %d refused, %d late\n", route.Route, route.Refused, route.Late)
	for _, cause := range route.Causes[:min(maxPrintedRows, len(route.Causes))] {
		fmt.Fprintf(w, "  %d\t%s\tsearch the logs for %s\n", cause.Count, cause.Cause, cause.Example)
	}
	for _, second := range route.Seconds[:min(maxPrintedRows, len(route.Seconds))] {
		fmt.Fprintf(w, "  %s\t%d\n", second.At.Format("15:04:05"), second.Count)
	}
	fmt.Fprintln(w)
}
