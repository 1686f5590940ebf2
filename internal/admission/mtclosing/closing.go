// Package mtclosing decides which requests an entry still accepts while it shuts down, and when
// refused callers should retry.
//
// It handles the shutdown of every entry of a small fleet within seconds, where long streams
// keep each entry running until the end of its grace period. If an entry closed its listener
// while it waits for its streams, callers that the load balancer still sends to it would get
// no connection and no retry delay. A fifth of the requests of such a minute failed that way.
package mtclosing

import (
	"slices"
	"time"
)

const (
	// deliveryMargin is the least time between the deadline of a request and the end of the
	// process, as the answer still has to reach the caller.
	deliveryMargin = 300 * time.Millisecond
	// errorFactor is how many times as long as the slowest recent one an answer may take.
	errorFactor = 3
	// loadTime is added for a load of weights in the middle of an answer.
	loadTime = time.Second
	// reconnectDelay is the retry delay if other entries accept requests: the caller should
	// retry at once over a new connection, which leads to one of them.
	reconnectDelay = 10 * time.Millisecond
	// replacementDelay is the time from the end of an entry until the load balancer sends
	// callers to its replacement: 0.3 s to start and to read configuration and targets, and
	// one second until the balancer's next health check.
	replacementDelay = 1300 * time.Millisecond
)

// Shutdown is the shutdown of one entry. The zero value stands for none.
type Shutdown struct {
	end time.Time
}

// EndingAt returns the shutdown of an entry whose process ends at the given time at the latest.
func EndingAt(end time.Time) Shutdown { return Shutdown{end: end} }

// Remaining returns the longest time that the entry still runs.
func (c Shutdown) Remaining(now time.Time) time.Duration { return c.end.Sub(now) }

// Accepts reports whether a request with the given deadline, its caller's or its route's, may
// still start. Requests that the end of the entry could cut off may not.
func (c Shutdown) Accepts(deadline time.Time) bool {
	return deadline.Before(c.end.Add(-deliveryMargin))
}

// AcceptsAnswer reports whether a request for a model's answer of at most maxTokens tokens, zero if
// unknown, may still start. Its deadline alone is a promise that it ends in time. Only where no other
// entry accepts requests it may also start if it would end in time were it several times as slow as
// the slowest recent ones: start is the time to their first token, token that for each further one,
// zero if unknown. others is as for RetryAfter.
func (c Shutdown) AcceptsAnswer(now, deadline time.Time, maxTokens int64, start, token time.Duration, others []time.Time) bool {
	if c.Accepts(deadline) {
		return true
	}
	if maxTokens <= 0 || start <= 0 || token <= 0 || slices.ContainsFunc(others, time.Time.IsZero) {
		return false
	}
	// A larger number of tokens would overflow.
	if maxTokens > int64(c.Remaining(now)/token) {
		return false
	}
	return c.Accepts(now.Add(loadTime + errorFactor*(start+time.Duration(maxTokens)*token)))
}

// RetryAfter returns the delay after which a refused caller should retry. others holds the
// shutdown times of the other entries, the zero time for one that accepts requests.
func (c Shutdown) RetryAfter(now time.Time, others []time.Time) time.Duration {
	first := c.end
	for _, end := range others {
		if end.IsZero() {
			return reconnectDelay
		}
		if end.Before(first) {
			first = end
		}
	}
	return max(reconnectDelay, first.Add(replacementDelay).Sub(now))
}
