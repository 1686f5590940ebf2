// Package mtreturn computes the retry delay for requests that can't be served because a
// dependency is temporarily missing.
//
// It handles a restart of every entry while the platform's store is down, so that no entry has
// a configuration. Callers retry once or twice. With an immediate retry they fail for good,
// moments before the store answers. With a delay that matches the rest of the outage, most are
// served.
package mtreturn

import (
	"math/rand/v2"
	"time"
)

const (
	// minDelay is the minimum delay before jitter: a starting process needs some milliseconds
	// to read its configuration, and a caller that retries sooner finds nothing changed.
	minDelay = 300 * time.Millisecond
	// outageThreshold is the longest wait without a fault: a hundred times the store's usual
	// response time of 4 ms.
	outageThreshold = 400 * time.Millisecond
	// minOutageDelay is the minimum delay during an outage, before jitter: the shortest
	// outages last some seconds.
	minOutageDelay = 1500 * time.Millisecond
	// maxDelay bounds the delay before jitter, as no caller waits longer for one answer.
	maxDelay = 10 * time.Second
)

// RetryAfter returns the retry delay for a process that has been missing a dependency for the
// time waited. Beyond outageThreshold that is an outage, which is expected to last about
// as long again as it already has. The jitter spans half of the delay, so that callers
// refused together do not retry together.
func RetryAfter(waited time.Duration) time.Duration {
	lowest := minDelay
	if waited > outageThreshold {
		lowest = minOutageDelay
	}
	delay := min(maxDelay, max(lowest, waited))
	return delay*3/4 + rand.N(delay/2)
}
