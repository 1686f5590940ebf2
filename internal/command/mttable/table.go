// Package mttable is the command line: a table of commands as data.
package mttable

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

// action carries a command out once its flags are parsed.
type action func(ctx context.Context, out io.Writer) error

// command is one row of the table. bind declares the flags and returns what
// the command does with them.
type command struct {
	name string
	help string
	bind func(*kingpin.CmdClause) action
}

// table is every command in the order of the help text.
var table = []command{
	{"entry", "Run an entry: take callers' requests behind the balancer.", bindEntry},
	{"sidecar", "Run a sidecar beside a target.", bindSidecar},
	{"check", "Check a base file and overlays without submitting them.", bindCheck},
	{"submit", "Put a base file or overlays in force everywhere.", bindSubmit},
	{"show", "Show the settings in force.", bindShow},
	{"diff", "Show how files differ from the settings in force.", bindDiff},
	{"status", "Show every process and its target.", bindStatus},
	{"timeline", "Show the events of all processes in one order.", bindTimeline},
	{"drain", "Let one process take no new work and finish what it has.", bindDrain},
	{"order", "Let a target load a model, weights or an adapter, or change its role.", bindOrder},
	{"story", "Tell a request's story from the logs of entries and sidecars.", bindStory},
	{"explain", "Explain a result code or an event's number.", bindExplain},
	{"demo", "Show the main job in one process, with stand-ins.", bindDemo},
	{"version", "Print the version.", bindVersion},
}

// Run parses the arguments and runs one command. It returns the exit code: 0,
// 1 where the command failed, 2 where the arguments are wrong.
func Run(args []string) int {
	app := kingpin.New("mustardtide", "A router for language-model traffic with long shared prompts.")
	app.HelpFlag.Short('h')
	app.Terminate(os.Exit)
	app.UsageWriter(os.Stdout)
	actions := map[string]action{}
	for _, c := range table {
		actions[c.name] = c.bind(app.Command(c.name, c.help))
	}
	chosen, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mustardtide: %v\nRun `mustardtide help` for the commands and their flags.\n", err)
		return 2
	}
	run, ok := actions[chosen]
	if !ok {
		return 0
	}
	if err := run(context.Background(), os.Stdout); err != nil {
		report(os.Stderr, err)
		return 1
	}
	return 0
}

// report prints an error for a person: the message without the trace.
func report(w io.Writer, err error) {
	var wrapped trace.Error
	if errors.As(err, &wrapped) {
		err = wrapped.OrigError()
	}
	fmt.Fprintf(w, "mustardtide: %v\n", err)
}
