// Package mtclosing decides which requests an entry still accepts while it shuts down, and when
// refused callers should retry.
//
// It handles the shutdown of every entry of a small fleet within seconds, where long streams
// keep each entry running until the end of its grace period. If an entry closed its listener
// while it waits for its streams, callers that the load balancer still sends to it would get
// no connection and no retry delay. A fifth of the requests of such a minute failed that way.
package mtclosing

import "time"

const (
	// deliveryMargin is the least time between the deadline of a request and the end of the
	// process, as the answer still has to reach the caller.
	deliveryMargin = 300 * time.Millisecond
	// maxStartDelay and maxTokenTime bound the duration of a model's answer that only planned
	// work disturbs. The delay allows half a second for queued requests and one second for a
	// load of weights in the middle. The time per token is twice the usual one, as long
	// prompts are processed between tokens.
	maxStartDelay = 1500 * time.Millisecond
	maxTokenTime  = 14 * time.Millisecond
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

// AcceptsAnswer reports whether a request for a model's answer of at most maxTokens tokens may
// still start: by its deadline, or because so short an answer ends in time. maxTokens is zero
// if the length is unknown.
func (c Shutdown) AcceptsAnswer(now, deadline time.Time, maxTokens int64) bool {
	return c.Accepts(deadline) || maxTokens > 0 && c.Accepts(now.Add(maxStartDelay+time.Duration(maxTokens)*maxTokenTime))
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
