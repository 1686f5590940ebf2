// Package mtshed decides whom to send away while a service is overloaded.
//
// The load it answers is more work than the engines can do for some seconds: a
// quarter of them is gone, or every cache is empty at once. Without it every
// request waits in the same queue and every answer is late; with it the less
// urgent are told at once when to come back, and the others are answered in
// time. The estimate is that of the best target, so nobody is sent away while
// some target would be in time.
package mtshed

import (
	"math/rand/v2"
	"time"
)

// Shares of a route's aim up to which the estimated time to the first byte may
// go: the urgent are kept somewhat beyond it, the others leave a margin, as what
// is under way elsewhere is known a little late.
const (
	urgentShare = 1.4
	otherShare  = 0.8
)

// waitShare is the least part of the aim that must be waiting behind others: a
// request that is long by itself is not sent away from an idle target.
const waitShare = 0.25

// patience is the part of a route's time that a first attempt still has: a
// request with less has been sent away before and is taken in.
const patience = 0.85

// leastPause is the least time after which a caller comes back: queues move by
// some prompts in it.
const leastPause = 200 * time.Millisecond

// Verdict is what becomes of a request.
type Verdict struct {
	refused bool
	again   time.Duration
}

// Refused says that the request is sent away.
func (v Verdict) Refused() bool { return v.refused }

// Again is when its caller should come back.
func (v Verdict) Again() time.Duration { return v.again }

// Decide judges a request of a rank, 0 the most urgent, whose best target would
// begin its answer after estimate, wait of which is behind others. left is the
// caller's time, whole the route's.
func Decide(rank int32, estimate, wait, aim, left, whole time.Duration) Verdict {
	if estimate > left {
		// It can't be answered in its time: waiting would help nobody.
		return away(estimate, aim)
	}
	if aim <= 0 || float64(left) < patience*float64(whole) {
		return Verdict{}
	}
	share := otherShare
	if rank == 0 {
		share = urgentShare
	}
	if float64(estimate) <= share*float64(aim) || float64(wait) < waitShare*float64(aim) {
		return Verdict{}
	}
	return away(estimate, aim)
}

// away lets callers return when the queue should be down to the aim, spread by
// half, so that those who were sent away together do not return together.
func away(estimate, aim time.Duration) Verdict {
	pause := max(leastPause, estimate-aim/2)
	return Verdict{refused: true, again: pause/2 + rand.N(pause)}
}
