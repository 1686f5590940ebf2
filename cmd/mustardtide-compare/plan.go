package main

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

func plan(path string) error {
	experiment, err := load(path)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, s := range experiment.Steps() {
		without := strings.Join(s.Variant().Without(), ",")
		if without == "" {
			without = "-"
		}
		fmt.Println(strings.Join([]string{
			s.Name(), s.Variant().Name(), s.Variant().Commit(), without, s.DeploymentPath(), s.DayPath(), fmt.Sprint(s.Seed()),
		}, "\t"))
	}
	return nil
}

func printWhy(path string) error {
	experiment, err := load(path)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Println(experiment.Why())
	return nil
}
