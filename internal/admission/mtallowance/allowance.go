// Package mtallowance bounds how often one entry sends a request again, so that
// all entries together stay within the fleet's bound for a service.
//
// The load it answers is a service that rejects or fails much: without a bound
// each failed request is sent once more, just when there is least to spare. The
// fleet's bound is, for any window, a ratio of the service's requests and some
// slack. Entries do not ask each other: each spends the ratio of its own
// requests and an equal part of the slack, once it has run for a window: the process before
// it may have spent that part, and it does not know yet how many entries there are.
package mtallowance

import (
	"sync"
	"time"
)

const (
	// buckets divide the window; a request counts for one bucket longer than
	// the window, which errs on the side of fewer repeats.
	buckets = 10
	// margin is the part of the fleet's bound that is spent: what is left covers
	// entries that do not know of each other yet, and uneven clocks.
	margin = 0.7
	// fewest is the least number of entries that the slack is divided by.
	fewest = 4
)

// Allowance is one service's at one entry. It is safe for concurrent use.
type Allowance struct {
	ratio  float64
	slack  float64
	bucket time.Duration
	// started is monotonic: a step of the wall clock moves no bucket.
	started time.Time

	mu       sync.Mutex
	requests [buckets + 1]float64
	repeats  [buckets + 1]float64
	current  int64
}

// New returns an allowance for a fleet's bound: ratio of the requests and slack in each
// window. started is when the entry's process was.
func New(ratio, slack float64, window time.Duration, started time.Time) *Allowance {
	return &Allowance{ratio: ratio, slack: slack, bucket: max(window/buckets, time.Millisecond), started: started}
}

// Request counts a caller's request.
func (a *Allowance) Request() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[a.advance()]++
}

// Take says whether a request may be sent once more, and counts it.
func (a *Allowance) Take(entries int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.advance()
	if a.left(entries) < 1 {
		return false
	}
	a.repeats[now]++
	return true
}

// Left is how many repeats remain at this moment.
func (a *Allowance) Left(entries int) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	return a.left(entries)
}

// left is the bound less what was spent; the allowance is locked.
func (a *Allowance) left(entries int) float64 {
	part := 0.0
	if a.current > buckets {
		part = a.slack / float64(max(entries, fewest))
	}
	return margin*(a.ratio*sum(a.requests)+part) - sum(a.repeats)
}

// advance clears the buckets that have left the window and returns the present
// one.
func (a *Allowance) advance() int {
	const ring = buckets + 1
	now := int64(time.Since(a.started) / a.bucket)
	for n := max(a.current+1, now-ring+1); n <= now; n++ {
		a.requests[n%ring] = 0
		a.repeats[n%ring] = 0
	}
	a.current = max(a.current, now)
	return int(a.current % ring)
}

func sum(list [buckets + 1]float64) float64 {
	var total float64
	for _, n := range list {
		total += n
	}
	return total
}
