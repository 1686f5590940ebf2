package mtload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// Report is what the callers of a load got.
type Report struct {
	mu       sync.Mutex
	outcomes []outcome
}

func (r *Report) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// Sent counts the requests.
func (r *Report) Sent() int { return len(r.outcomes) }

// Whole counts the answers that came with their end.
func (r *Report) Whole() int {
	return r.count(func(o outcome) bool { return o.whole })
}

// Broken counts the answers that began and did not end.
func (r *Report) Broken() int {
	return r.count(func(o outcome) bool { return o.first > 0 && !o.whole })
}

// Hit is the cached share of all answered prompt tokens.
func (r *Report) Hit() float64 {
	var prompt, cached int
	for _, o := range r.outcomes {
		prompt += o.prompt
		cached += o.cached
	}
	return float64(cached) / max(1, float64(prompt))
}

// First is a quantile of the time to the first event.
func (r *Report) First(q float64) time.Duration {
	return r.quantile(q, func(o outcome) time.Duration { return o.first })
}

// Gap is a quantile of the longest time between two events of an answer.
func (r *Report) Gap(q float64) time.Duration {
	return r.quantile(q, func(o outcome) time.Duration { return o.gap })
}

// Print writes the report, one figure a line.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "sent %d, whole %d, broken %d\n", r.Sent(), r.Whole(), r.Broken())
	codes := map[int]int{}
	for _, o := range r.outcomes {
		codes[o.code]++
	}
	for _, code := range slices.Sorted(maps.Keys(codes)) {
		fmt.Fprintf(w, "code %d: %d\n", code, codes[code])
	}
	fmt.Fprintf(w, "prompt tokens cached: %.1f %%\n", 100*r.Hit())
	for _, q := range []float64{0.5, 0.95, 0.99} {
		fmt.Fprintf(w, "p%g: first token %v, longest gap %v\n", 100*q, r.First(q).Round(time.Millisecond), r.Gap(q).Round(time.Millisecond))
	}
}

func (r *Report) count(is func(outcome) bool) int {
	n := 0
	for _, o := range r.outcomes {
		if is(o) {
			n++
		}
	}
	return n
}

// quantile is taken over the answers that came whole.
func (r *Report) quantile(q float64, of func(outcome) time.Duration) time.Duration {
	var values []time.Duration
	for _, o := range r.outcomes {
		if o.whole {
			values = append(values, of(o))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
