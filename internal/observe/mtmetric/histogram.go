package mtmetric

import (
	"fmt"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// bounds are the upper bounds of a latency histogram's buckets: finer around the
// aims of today's routes, 0.15 to 0.8 s, and up to the longest time-outs.
var bounds = []time.Duration{
	5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second,
	6 * time.Second, 15 * time.Second,
}

// Histogram counts durations in buckets, each with all below it, as metric
// collectors read them.
type Histogram struct {
	buckets []metrics.Counter
	count   metrics.Counter
	sum     metrics.Counter
}

// Histogram returns the histogram of a name, which may hold labels:
// first_byte_seconds{route="a"}. The sum is in microseconds.
func (s *Set) Histogram(name string) *Histogram {
	base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
	h := &Histogram{
		count: s.Counter(labelled(base+"_count", labels)),
		sum:   s.Counter(labelled(base+"_sum_us", labels)),
	}
	for _, bound := range bounds {
		le := fmt.Sprintf("le=%q", fmt.Sprint(bound.Seconds()))
		h.buckets = append(h.buckets, s.Counter(labelled(base+"_bucket", joined(labels, le))))
	}
	h.buckets = append(h.buckets, s.Counter(labelled(base+"_bucket", joined(labels, `le="+Inf"`))))
	return h
}

// Observe counts one duration.
func (h *Histogram) Observe(d time.Duration) {
	for i, bound := range bounds {
		if d <= bound {
			h.buckets[i].Inc(1)
		}
	}
	h.buckets[len(bounds)].Inc(1)
	h.count.Inc(1)
	h.sum.Inc(d.Microseconds())
}

// Gauge registers a value that is read when the metrics are asked for.
func (s *Set) Gauge(name string, value func() int64) {
	// A name is registered once; a second registration keeps the first.
	_ = s.registry.Register(name, metrics.NewFunctionalGauge(value))
}

func labelled(name, labels string) string {
	if labels == "" {
		return name
	}
	return name + "{" + labels + "}"
}

func joined(labels, more string) string {
	if labels == "" {
		return more
	}
	return labels + "," + more
}
