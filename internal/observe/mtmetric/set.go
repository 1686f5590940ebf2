// Package mtmetric keeps one process's metrics.
package mtmetric

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
)

// prefix stands before every name in the exposition.
const prefix = "mustardtide_"

// Set is a registry of its own, as two roles may run in one process. Counters
// are atomics: a request's path takes no lock but to find them. Meters and
// timers of the library are not used: they start goroutines.
type Set struct {
	registry metrics.Registry
}

// New returns an empty set.
func New() *Set { return &Set{registry: metrics.NewRegistry()} }

// Add counts up. A name may hold labels: requests_total{code="100"}.
func (s *Set) Add(name string, n int64) { s.Counter(name).Inc(n) }

// Counter returns the counter of a name, for a hot path to keep.
func (s *Set) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, s.registry)
}

// Value is a counter's value; 0 if there is none of the name.
func (s *Set) Value(name string) int64 {
	counter, _ := s.registry.Get(name).(metrics.Counter)
	if counter == nil {
		return 0
	}
	return counter.Count()
}

// ServeHTTP writes every metric, one a line, in the text format that metric
// collectors read.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	s.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s%s %d", prefix, name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s%s %d", prefix, name, m.Value()))
		}
	})
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	fmt.Fprintln(w, strings.Join(lines, "\n"))
}
