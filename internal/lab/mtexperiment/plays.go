package mtexperiment

import (
	"path/filepath"
	"strings"
)

// Step is a play and the paths that it needs.
type Step struct {
	Play

	deploymentPath string
	dayPath        string
}

// DeploymentPath is the path of the deployment's description.
func (s Step) DeploymentPath() string { return s.deploymentPath }

// DayPath is the day's name, or the path of its file.
func (s Step) DayPath() string { return s.dayPath }

// Steps lists all plays; those of one day and seed follow each other, so that an
// experiment that is cut off has whole pairs.
func (e *Experiment) Steps() []Step {
	var list []Step
	for _, seed := range e.seeds {
		for _, deployment := range e.deployments {
			for _, day := range e.days {
				for _, variant := range e.variants {
					list = append(list, Step{
						Play:           Play{variant: variant, deployment: bare(deployment), day: bare(day), seed: seed},
						deploymentPath: deployment, dayPath: day,
					})
				}
			}
		}
	}
	return list
}

// bare is a path's last part without its ending.
func bare(path string) string {
	return strings.TrimSuffix(filepath.Base(path), ".toml")
}
