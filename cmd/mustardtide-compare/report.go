package main

import (
	"encoding/csv"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/lab/mtchart"
	"github.com/mustardtide/mustardtide/internal/lab/mtexperiment"
	"github.com/mustardtide/mustardtide/internal/lab/mtpaired"
	"github.com/mustardtide/mustardtide/platform/standin/mtplayed"
)

// allDeployments heads the row over all of them.
const allDeployments = "all"

// changesShown is how many prices and kinds of requests a row names.
const changesShown = 2

// pair is one day and seed, played with both variants.
type pair struct {
	step         mtexperiment.Step
	base, varied *mtplayed.Play
}

// row is a variant on one deployment, or on all.
type row struct {
	variant, deployment string
	pairs               []pair
}

func report(path, folder string) error {
	experiment, err := load(path)
	if err != nil {
		return trace.Wrap(err)
	}
	plays, err := read(experiment, folder)
	if err != nil {
		return trace.Wrap(err)
	}
	rows := rowsOf(experiment, plays)
	fmt.Printf("%s\n\n", experiment.Why())
	fmt.Println("| variant | deployment | pairs | base | variant | difference | 95 % interval | verdict | rules broken, base / variant | what changed most |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range rows {
		fmt.Println("| " + strings.Join(r.cells(), " | ") + " |")
	}
	fmt.Println()
	for _, s := range experiment.Steps() {
		if p := plays[s.Name()]; p != nil {
			fmt.Printf("- %s: %.3f, %s\n", s.Name(), p.Worth(), p.Snapshot())
		} else {
			fmt.Printf("- %s: not played\n", s.Name())
		}
	}
	if err := writeTable(rows, filepath.Join(folder, "report.csv")); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(draw(experiment, plays, folder))
}

// read takes in the plays that are there; one that was cut off is not.
func read(experiment *mtexperiment.Experiment, folder string) (map[string]*mtplayed.Play, error) {
	plays := map[string]*mtplayed.Play{}
	for _, s := range experiment.Steps() {
		text, err := os.ReadFile(filepath.Join(folder, s.Name()+".out"))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		if play, err := mtplayed.Parse(text); err == nil {
			plays[s.Name()] = play
		}
	}
	return plays, nil
}

// rowsOf pairs the plays of each variant with those of the first.
func rowsOf(experiment *mtexperiment.Experiment, plays map[string]*mtplayed.Play) []row {
	variants := experiment.Variants()
	bases := map[string]*mtplayed.Play{}
	for _, s := range experiment.Steps() {
		if s.Variant().Name() == variants[0].Name() {
			bases[place(s)] = plays[s.Name()]
		}
	}
	var rows []row
	for _, variant := range variants[1:] {
		all := row{variant: variant.Name(), deployment: allDeployments}
		parts := map[string]*row{}
		for _, s := range experiment.Steps() {
			base, varied := bases[place(s)], plays[s.Name()]
			if s.Variant().Name() != variant.Name() || base == nil || varied == nil {
				continue
			}
			if parts[s.Deployment()] == nil {
				parts[s.Deployment()] = &row{variant: variant.Name(), deployment: s.Deployment()}
			}
			p := pair{step: s, base: base, varied: varied}
			parts[s.Deployment()].pairs = append(parts[s.Deployment()].pairs, p)
			all.pairs = append(all.pairs, p)
		}
		for _, name := range slices.Sorted(maps.Keys(parts)) {
			rows = append(rows, *parts[name])
		}
		rows = append(rows, all)
	}
	return rows
}

// place is what a play has in common with those that it is paired with.
func place(s mtexperiment.Step) string {
	return fmt.Sprintf("%s~%s~%d", s.Deployment(), s.Day(), s.Seed())
}

// cells are a row's, as text.
func (r row) cells() []string {
	var differences []float64
	base, varied := 0.0, 0.0
	var broken, brokenVaried []string
	for _, p := range r.pairs {
		differences = append(differences, p.varied.Worth()-p.base.Worth())
		base += p.base.Worth() / float64(len(r.pairs))
		varied += p.varied.Worth() / float64(len(r.pairs))
		broken = appendRules(broken, p.base)
		brokenVaried = appendRules(brokenVaried, p.varied)
	}
	d := mtpaired.Of(differences)
	return []string{
		r.variant, r.deployment, fmt.Sprint(d.Pairs()), fmt.Sprintf("%.3f", base), fmt.Sprintf("%.3f", varied),
		fmt.Sprintf("%+.3f", d.Mean()), fmt.Sprintf("%+.3f to %+.3f", d.Low(), d.High()), string(d.Verdict()),
		listed(broken) + " / " + listed(brokenVaried), r.changes(),
	}
}

func appendRules(list []string, p *mtplayed.Play) []string {
	if p.Rules() == "" {
		return list
	}
	return append(list, p.Rules())
}

func listed(rules []string) string {
	if len(rules) == 0 {
		return "none"
	}
	return strings.Join(rules, ", ")
}

// changes names the prices and kinds of requests whose mean changed most.
func (r row) changes() string {
	changed := map[string]float64{}
	for _, p := range r.pairs {
		for name, price := range p.varied.Prices() {
			changed[name] -= (price - p.base.Prices()[name]) / float64(len(r.pairs))
		}
		for name, worth := range p.varied.Routes() {
			changed[name] += (worth - p.base.Routes()[name]) / float64(len(r.pairs))
		}
	}
	names := slices.SortedFunc(maps.Keys(changed), func(a, b string) int {
		if math.Abs(changed[a]) != math.Abs(changed[b]) {
			return int(math.Copysign(1, math.Abs(changed[b])-math.Abs(changed[a])))
		}
		return strings.Compare(a, b)
	})
	var shown []string
	for _, name := range names[:min(changesShown, len(names))] {
		shown = append(shown, fmt.Sprintf("%s %+.3f", name, changed[name]))
	}
	return strings.Join(shown, ", ")
}

func writeTable(rows []row, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	table := csv.NewWriter(file)
	records := [][]string{{"variant", "deployment", "pairs", "base", "varied", "difference", "interval", "verdict", "rules", "changes"}}
	for _, r := range rows {
		records = append(records, r.cells())
	}
	if err := table.WriteAll(records); err != nil {
		return trace.NewAggregate(err, file.Close())
	}
	return trace.ConvertSystemError(file.Close())
}

// draw charts the worth by second of each deployment, day and seed.
func draw(experiment *mtexperiment.Experiment, plays map[string]*mtplayed.Play, folder string) error {
	charts := map[string]*mtchart.Chart{}
	for _, s := range experiment.Steps() {
		p := plays[s.Name()]
		if p == nil {
			continue
		}
		if charts[place(s)] == nil {
			charts[place(s)] = mtchart.New(s.Deployment()+", "+s.Day(), "second", "worth")
		}
		var xs, ys []float64
		for _, second := range p.Seconds() {
			xs, ys = append(xs, second.From()), append(ys, second.Worth())
		}
		if err := charts[place(s)].Line(s.Variant().Name(), xs, ys); err != nil {
			return trace.Wrap(err)
		}
	}
	for name, chart := range charts {
		if err := chart.Save(filepath.Join(folder, name+".svg")); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
