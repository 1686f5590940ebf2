// Package mtshed decides which requests to reject while a service is overloaded.
//
// It handles overloads that last some seconds: a quarter of the engines is gone, or every
// cache is empty at once. Without load shedding every request waits in the same queue and
// every answer is late. With it, less urgent requests are rejected at once with a retry
// delay, and the others are answered in time. The estimate is that of the best target, so
// no request is rejected while some target could answer it in time.
package mtshed

import (
	"math"
	"math/rand/v2"
	"time"
)

// Limits of the estimated time to the first byte, as fractions of the route's aim. Urgent
// requests may exceed the aim somewhat. The others leave a margin, as load from elsewhere is
// known with a short delay.
const (
	urgentAimFraction = 1.4
	otherAimFraction  = 0.8
)

// minWaitFraction is the fraction of the aim that must be queueing time for a request to be
// rejected: a request that is long by itself is not rejected by an idle target.
const minWaitFraction = 0.25

// firstAttemptFraction is the fraction of the route's timeout that is still left at a first
// attempt. A request with less left has been rejected before, so it is admitted if it can be
// answered before its deadline.
const firstAttemptFraction = 0.85

// minRetryDelay is the minimum retry delay before jitter: queues advance by some prompts in
// that time.
const minRetryDelay = 200 * time.Millisecond

// Decision is the decision on one request.
type Decision struct {
	refused    bool
	retryAfter time.Duration
}

// Refused reports whether the request is rejected.
func (v Decision) Refused() bool { return v.refused }

// RetryAfter returns the delay after which the caller should retry.
func (v Decision) RetryAfter() time.Duration { return v.retryAfter }

// Decide decides whether to reject a request. Rank 0 is the most urgent. estimate is the time
// to the first byte on the best target, of which wait is queueing time. left is the time until
// the caller's deadline, and timeout is the route's.
func Decide(rank int32, estimate, wait, aim, left, timeout time.Duration) Decision {
	limit := otherAimFraction
	if rank == 0 {
		limit = urgentAimFraction
	}
	return decide(limit, estimate, wait, aim, left, timeout)
}

// DecideRanked is Decide for a service that admits requests by rank. estimate leaves out the less
// urgent work that the request overtakes, so that a long one means that the targets are full of
// work as urgent. Requests that are no background work are rejected only if they can't be answered
// before their deadline. A timeout of 0 leaves out the rule by which a request with little time left
// counts as a retry.
func DecideRanked(background bool, estimate, wait, aim, left, timeout time.Duration) Decision {
	limit := math.Inf(1)
	if background {
		limit = otherAimFraction
	}
	return decide(limit, estimate, wait, aim, left, timeout)
}

// decide rejects a request whose estimate is over its deadline, or over a limit in aims.
func decide(limit float64, estimate, wait, aim, left, timeout time.Duration) Decision {
	if estimate > left {
		// The request can't be answered before its deadline, so queueing it is useless.
		return Reject(estimate, aim)
	}
	if aim <= 0 || float64(left) < firstAttemptFraction*float64(timeout) {
		return Decision{}
	}
	if float64(estimate) <= limit*float64(aim) || float64(wait) < minWaitFraction*float64(aim) {
		return Decision{}
	}
	return Reject(estimate, aim)
}

// Reject returns a rejection with a retry delay after which the queue should be down to the
// aim. The delay is jittered by half either way, so that callers rejected together do not
// retry together.
func Reject(estimate, aim time.Duration) Decision {
	delay := max(minRetryDelay, estimate-aim/2)
	return Decision{refused: true, retryAfter: delay/2 + rand.N(delay)}
}
