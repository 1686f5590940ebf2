package mtexperiment_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/mustardtide/mustardtide/internal/lab/mtexperiment"
	"github.com/mustardtide/mustardtide/internal/standin/mtscripted"
)

// Each file of testdata holds an experiment, a line of three dashes, and its plays or
// what is wrong with it.
func TestFiles(t *testing.T) { mtscripted.Each(t, "testdata/*.experiment", found) }

func found(text string) string {
	e, err := mtexperiment.Parse("x.yaml", []byte(text))
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	for _, s := range e.Steps() {
		fmt.Fprintln(&b, s.Name(), s.DeploymentPath(), s.DayPath(), s.Variant().Commit(), s.Variant().Without())
	}
	return b.String()
}
