// Package mtmetric keeps one process's metrics.
package mtmetric

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// prefix stands before every name in the exposition.
const prefix = "mustardtide_"

// bounds are the upper ends of a histogram's buckets. They are dense around the
// fleets' goals: 72 ms between tokens and 1.6 s to the first.
func bounds() []time.Duration {
	return []time.Duration{
		time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
		72 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
		800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, 10 * time.Second, time.Minute,
	}
}

// Set is a registry of its own, as two roles may run in one process. Counters
// and histograms are atomics: a request's path takes no lock but to find them.
// Meters and timers of the library are not used: they start goroutines.
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

// Gauge reports what read returns at each look.
func (s *Set) Gauge(name string, read func() int64) {
	s.registry.Unregister(name)
	// A name that is taken was unregistered just before.
	_ = s.registry.Register(name, metrics.NewFunctionalGauge(read))
}

// Observe adds a duration to a histogram in seconds.
func (s *Set) Observe(name string, d time.Duration) {
	for _, bound := range bounds() {
		if d <= bound {
			s.Add(fmt.Sprintf("%s_bucket{le=\"%g\"}", name, bound.Seconds()), 1)
		}
	}
	s.Add(name+"_bucket{le=\"+Inf\"}", 1)
	s.Add(name+"_count", 1)
	s.Add(name+"_microseconds_sum", d.Microseconds())
}

// Value is a counter's or gauge's value; 0 if there is none of the name.
func (s *Set) Value(name string) int64 {
	return read(s.registry.Get(name))
}

// ServeHTTP writes every metric, one a line, in the text format that metric
// collectors read.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	s.registry.Each(func(name string, metric any) {
		lines = append(lines, fmt.Sprintf("%s%s %d", prefix, name, read(metric)))
	})
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	fmt.Fprintln(w, strings.Join(lines, "\n"))
}

func read(metric any) int64 {
	switch m := metric.(type) {
	case metrics.Counter:
		return m.Count()
	case metrics.Gauge:
		return m.Value()
	default:
		return 0
	}
}
