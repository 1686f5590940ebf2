// Package mtexperiment reads the file of an experiment: variants of the system that are
// compared on the same days and seeds of some deployments.
package mtexperiment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
)

// Experiment is one file.
type Experiment struct {
	why         string
	variants    []Variant
	deployments []string
	days        []string
	seeds       []uint64
}

// Variant is one form of the system.
type Variant struct {
	name    string
	commit  string
	without []string
}

// Name names the variant in tables.
func (v Variant) Name() string { return v.name }

// Commit is what it is built from.
func (v Variant) Commit() string { return v.commit }

// Without are the mechanisms that its entries leave out.
func (v Variant) Without() []string { return v.without }

// Play is one day of one deployment, played with one variant.
type Play struct {
	variant    Variant
	deployment string
	day        string
	seed       uint64
}

// Variant is what is played.
func (p Play) Variant() Variant { return p.variant }

// Deployment is the name of its description, without folder and ending.
func (p Play) Deployment() string { return p.deployment }

// Day is the day's name, or the name of its file without folder and ending.
func (p Play) Day() string { return p.day }

// Seed is the day's seed; 0 for its own.
func (p Play) Seed() uint64 { return p.seed }

// Name is the play's, and that of the file of its output.
func (p Play) Name() string {
	return fmt.Sprintf("%s~%s~%s~%d", p.variant.name, p.deployment, p.day, p.seed)
}

// file is the form in which an experiment is written.
type file struct {
	Why      string `yaml:"why"`
	Variants []struct {
		Name    string   `yaml:"name"`
		Commit  string   `yaml:"commit"`
		Without []string `yaml:"without"`
	} `yaml:"variants"`
	Deployments []string `yaml:"deployments"`
	Days        []string `yaml:"days"`
	Seeds       []uint64 `yaml:"seeds"`
}

// Parse reads the text of a file called name; an error names every fault with its line.
func Parse(name string, text []byte) (*Experiment, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return nil, trace.BadParameter("%s: %v", name, err)
	}
	decoder := yaml.NewDecoder(strings.NewReader(string(text)))
	decoder.KnownFields(true)
	var f file
	if err := decoder.Decode(&f); err != nil {
		return nil, trace.BadParameter("%s: %v", name, err)
	}
	if faults := f.faults(&root); len(faults) > 0 {
		return nil, trace.BadParameter("%s", name+":"+strings.Join(faults, "\n"+name+":"))
	}
	e := &Experiment{why: f.Why, deployments: f.Deployments, days: f.Days, seeds: f.Seeds}
	for _, v := range f.Variants {
		e.variants = append(e.variants, Variant{name: v.Name, commit: v.Commit, without: v.Without})
	}
	if len(e.seeds) == 0 {
		e.seeds = []uint64{0}
	}
	return e, nil
}

// faults lists what is wrong, each with its line.
func (f *file) faults(root *yaml.Node) []string {
	var found []string
	say := func(key, text string) { found = append(found, fmt.Sprintf("%d: %s: %s", lineOf(root, key), key, text)) }
	if f.Why == "" {
		say("why", "say what the experiment asks")
	}
	if len(f.Variants) < 2 {
		say("variants", "name two at least; the first is what the others are compared with")
	}
	names := map[string]bool{}
	for i, v := range f.Variants {
		switch {
		case v.Name == "" || strings.ContainsAny(v.Name, "~/ "):
			say("variants", fmt.Sprintf("variant %d needs a name without spaces, slashes or ~", i+1))
		case names[v.Name]:
			say("variants", fmt.Sprintf("the name %s stands twice", v.Name))
		case v.Commit == "":
			say("variants", fmt.Sprintf("variant %s needs a commit", v.Name))
		}
		names[v.Name] = true
	}
	if len(f.Deployments) == 0 {
		say("deployments", "name one at least")
	}
	if len(f.Days) == 0 {
		say("days", "name one at least")
	}
	seeds := slices.Clone(f.Seeds)
	slices.Sort(seeds)
	if len(slices.Compact(seeds)) < len(f.Seeds) {
		say("seeds", "a seed stands twice: its pair would count twice")
	}
	return found
}

// lineOf is the line of a key at the top, 1 where it is missing.
func lineOf(root *yaml.Node, key string) int {
	if len(root.Content) == 0 {
		return 1
	}
	list := root.Content[0].Content
	for i := 0; i+1 < len(list); i += 2 {
		if list[i].Value == key {
			return list[i].Line
		}
	}
	return 1
}

// Why says what the experiment asks.
func (e *Experiment) Why() string { return e.why }

// Variants are compared; the first is what the others are compared with.
func (e *Experiment) Variants() []Variant { return e.variants }

// Deployments are the paths of the descriptions.
func (e *Experiment) Deployments() []string { return e.deployments }

// Days are names of days of the deployments, or paths of days of our own.
func (e *Experiment) Days() []string { return e.days }

// Seeds are those of each day; 0 stands for the day's own.
func (e *Experiment) Seeds() []uint64 { return e.seeds }
