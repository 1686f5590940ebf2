// Command mustardtide-compare plans the plays of an experiment and reports what they
// show; test/compare.sh plays them.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/lab/mtexperiment"
)

func main() {
	app := kingpin.New("mustardtide-compare", "Compare variants of the system on the same days and seeds.")
	planned := app.Command("plan", "Print each play: its name, commit, mechanisms left out, deployment, day and seed, tab-separated.")
	planFile := planned.Arg("file", "The experiment.").Required().ExistingFile()
	reported := app.Command("report", "Print the comparison as Markdown; write it as CSV, and charts.")
	reportFile := reported.Arg("file", "The experiment.").Required().ExistingFile()
	plays := reported.Arg("plays", "The folder of the plays' outputs; CSV and charts go there too.").Required().ExistingDir()
	why := app.Command("why", "Print what the experiment asks.")
	whyFile := why.Arg("file", "The experiment.").Required().ExistingFile()
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case planned.FullCommand():
		err = plan(*planFile)
	case reported.FullCommand():
		err = report(*reportFile, *plays)
	case why.FullCommand():
		err = printWhy(*whyFile)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "mustardtide-compare:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func load(path string) (*mtexperiment.Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	experiment, err := mtexperiment.Parse(path, text)
	return experiment, trace.Wrap(err)
}
