// Package cmds implements the command line, with one file per command.
package cmds

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"quetzalpier/logcap"
	"quetzalpier/setup"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// stdout receives the results that commands print.
var stdout io.Writer = os.Stdout

// Run runs the command in args and returns the exit code.
func Run(args []string) int {
	zerolog.TimeFieldFormat = logcap.TimeFormat
	parser := flags.NewNamedParser("quetzalpier", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Rollout service for reinforcement learning."
	for _, add := range []func(*flags.Parser) error{
		addNode, addServe, addCheck, addConfig, addStatus, addDrain, addLoad, addTrial, addScale, addAudit, addSoak, addStand, addReport, addVersion,
	} {
		if err := add(parser); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *flags.Error
	var settings *setup.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, err)
		return exitOK
	case errors.As(err, &usage), errors.As(err, &settings):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "quetzalpier:", err)
		return exitFailed
	}
}

func addCommand(parser *flags.Parser, name, short string, data any) error {
	_, err := parser.AddCommand(name, short, "", data)
	return errors.Wrap(err, name)
}
