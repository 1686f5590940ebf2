// Package mtallowance limits how often one entry retries requests, so that all entries together
// stay within the fleet's retry bound for a service.
//
// It protects a service that rejects or fails many requests: without a bound, each failed request
// is sent once more just when capacity is scarcest. In any window, the fleet's bound is a ratio
// of the service's requests plus some slack. Entries do not coordinate: each uses the ratio of
// its own requests and an equal part of the slack. It gets the slack only once it has run for a
// window: the process before it may have used that part, and it does not know yet how many
// entries there are.
package mtallowance

import (
	"sync"
	"time"
)

const (
	// buckets is the number of buckets in a window. A request counts for one bucket longer than
	// the window, which errs on the side of fewer retries.
	buckets = 10
	// usablePart is the part of the fleet's bound that is used. The rest covers entries that do
	// not know of each other yet, and clock differences.
	usablePart = 0.7
	// minEntries is the least number of entries that the slack is divided by.
	minEntries = 4
)

// RetryBudget is one entry's retry budget for one service. It is safe for concurrent use.
type RetryBudget struct {
	ratio  float64
	slack  float64
	bucket time.Duration
	// started has a monotonic clock reading, so steps of the wall clock do not move buckets.
	started time.Time

	mu       sync.Mutex
	requests [buckets + 1]float64
	retries  [buckets + 1]float64
	current  int64
}

// New returns the budget for a fleet's bound: ratio of the requests plus slack in each window.
// started is the start time of the entry's process.
func New(ratio, slack float64, window time.Duration, started time.Time) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, bucket: max(window/buckets, time.Millisecond), started: started}
}

// CountRequest counts a caller's request.
func (a *RetryBudget) CountRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[a.advance()]++
}

// TryRetry reports whether a request may be retried, and counts the retry if so.
func (a *RetryBudget) TryRetry(entries int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	index := a.advance()
	if a.remainingLocked(entries) < 1 {
		return false
	}
	a.retries[index]++
	return true
}

// Remaining returns how many retries remain at this moment.
func (a *RetryBudget) Remaining(entries int) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	return a.remainingLocked(entries)
}

// remainingLocked returns the bound less the retries counted. The caller holds mu.
func (a *RetryBudget) remainingLocked(entries int) float64 {
	slackShare := 0.0
	if a.current > buckets {
		slackShare = a.slack / float64(max(entries, minEntries))
	}
	return usablePart*(a.ratio*sum(a.requests)+slackShare) - sum(a.retries)
}

// advance clears the buckets that have left the window and returns the index of the current one.
func (a *RetryBudget) advance() int {
	const ring = buckets + 1
	now := int64(time.Since(a.started) / a.bucket)
	for n := max(a.current+1, now-ring+1); n <= now; n++ {
		a.requests[n%ring] = 0
		a.retries[n%ring] = 0
	}
	a.current = max(a.current, now)
	return int(a.current % ring)
}

func sum(values [buckets + 1]float64) float64 {
	var total float64
	for _, n := range values {
		total += n
	}
	return total
}
