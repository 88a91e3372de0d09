package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalpier/report"
)

type reportCommand struct {
	JSON bool   `long:"json" description:"print JSON"`
	Plot string `long:"plot" description:"PNG file for a plot of the steps"`
	Args struct {
		Files []string `positional-arg-name:"FILE" description:"log files; standard input by default"`
	} `positional-args:"yes"`
}

func addReport(p *flags.Parser) error {
	return addCommand(p, "report", "Explain from logs where steps, calls and requests lost time", &reportCommand{})
}

// Execute reads the logs and prints the report.
func (c *reportCommand) Execute([]string) error {
	progress := isTerminal(os.Stderr)
	var sources []report.Source
	for _, name := range c.Args.Files {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		defer func() { _ = file.Close() }()
		sources = append(sources, report.Source{Name: name, Reader: withProgress(file, progress)})
	}
	if len(sources) == 0 {
		sources = []report.Source{{Name: "standard input", Reader: withProgress(os.Stdin, progress)}}
	}
	result, err := report.Read(sources)
	if err != nil {
		return err
	}
	if progress {
		fmt.Fprintln(os.Stderr)
	}
	if c.Plot != "" {
		if err := report.Plot(result, c.Plot); err != nil {
			return err
		}
	}
	if !c.JSON {
		return report.Print(stdout, result)
	}
	body, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	_, err = fmt.Fprintln(stdout, string(body))
	return errors.Wrap(err, "print report")
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// progressStep is how many bytes are read between two lines of progress.
const progressStep = 64 << 20

// progressReader prints how much it has read.
type progressReader struct {
	io.Reader
	read, printed int64
}

func withProgress(r io.Reader, enabled bool) io.Reader {
	if !enabled {
		return r
	}
	return &progressReader{Reader: r}
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.read += int64(n)
	if r.read-r.printed >= progressStep {
		r.printed = r.read
		fmt.Fprintf(os.Stderr, "\r%d MB read", r.read>>20)
	}
	return n, err
}
