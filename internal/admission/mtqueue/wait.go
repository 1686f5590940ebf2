package mtqueue

import (
	"time"

	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

// Bounds of the queue. Request bodies are kept in the sidecar's memory at four bytes per token,
// so maxQueuedTokens limits them to 32 MB. maxBacklogTime limits the queued work to two
// minutes; the router prefers another target over a longer wait.
const (
	maxQueuedTokens = 8 << 20
	maxBacklogTime  = 2 * time.Minute
)

// Bounds of the window over which refused requests are spread, starting when the first of them
// could be served. Callers read retry times in whole seconds, and clients give up if told to
// wait for more than a minute.
const (
	minRetrySpread = 2 * time.Second
	maxRetrySpread = time.Minute
)

// headroomDivisor sets the headroom: one part in this many of a predicted time must remain
// before the deadline. Under overload each admitted request just fits, so without headroom
// every small prediction error makes it late and wastes the target's work. With a target that
// becomes four times slower, 48 of 117 answers were late without headroom. The shorter queue
// costs no throughput as long as it is never empty.
const headroomDivisor = 8

// goldenRatio is the step of a low-discrepancy sequence, which spaces the retry times of any
// number of consecutive refusals evenly.
const goldenRatio = 0.6180339887498949

// checkPredictedWait returns a refusal if an item that waits as long as predicted misses its
// deadline.
func (q *Queue) checkPredictedWait(it *item) *mtrefusal.Refusal {
	return q.checkDeadline(it, q.predictWait(it, [2]sums{}))
}

// checkDeadline returns a refusal if an item cannot finish before its deadline after the given
// wait. The refusal says when to retry. The time of the item's own output counts only if its
// length was learned: a caller's bound is a poor estimate.
func (q *Queue) checkDeadline(it *item, wait time.Duration) *mtrefusal.Refusal {
	timeLeft := it.deadline.Sub(q.now)
	own := it.demand
	if !it.outputLearned {
		own.output = 0
	}
	need := wait + seconds(q.rates.slotTime(own))
	if need+need/headroomDivisor <= timeLeft {
		return nil
	}
	reason := "predicted time to finish " + need.Round(time.Millisecond).String() + ", time left until the deadline " + timeLeft.Round(time.Millisecond).String()
	return mtrefusal.New(mtcode.DeadlineTooNear, reason).WithRetryAfter(q.retryAfter(min(need-timeLeft, wait)))
}

// retryAfter returns when a refused caller should retry: after the backlog has shrunk by the
// given time, plus an offset within the time that the backlog takes. The offset keeps callers
// that were refused together from returning together.
func (q *Queue) retryAfter(shrink time.Duration) time.Duration {
	backlog := q.drainTime(q.lanes[shortLane].total().plus(q.lanes[longLane].total()))
	window := min(max(seconds(backlog), minRetrySpread), maxRetrySpread)
	q.refusals++
	step := float64(q.refusals) * goldenRatio
	return min(max(shrink, 0), maxBacklogTime) + seconds(window.Seconds()*(step-float64(uint64(step))))
}

// predictWait predicts an item's queueing time from the work ahead of its tag and the reserved
// work.
func (q *Queue) predictWait(it *item, reserved [2]sums) time.Duration {
	own := q.drainTime(sumBefore(q.lane(it).root, it).plus(reserved[it.lane]))
	otherDrain := q.drainTime(q.lanes[1-it.lane].total().plus(reserved[1-it.lane]))
	return seconds(q.baseWait(own+otherDrain > 0) + laneWait(it.lane, own, otherDrain))
}

// baseWait returns the time in seconds until the target can start another request at all.
func (q *Queue) baseWait(queued bool) float64 {
	concurrency := q.rates.concurrency(&q.limits)
	slotWait := 0.0
	if queued || float64(q.batch.count) >= concurrency {
		slotWait = q.batch.slotTimeRemaining(q.now) / concurrency / concurrency
	}
	return max(q.batch.prefillRemaining(q.now), slotWait)
}

// drainTime returns how long the target takes for the given sums, in seconds. Prompts are
// computed one after another, while slots work in parallel.
func (q *Queue) drainTime(s sums) float64 {
	return max(s.fresh/q.rates.prefill, q.rates.slotTime(s)/q.rates.concurrency(&q.limits))
}

// laneWait returns when a lane's own work is done while the other lane gets its share: long
// requests have longMinShare, short ones the rest. A lane that runs empty leaves its share to
// the other.
func laneWait(lane int, own, other float64) float64 {
	share := longMinShare
	if lane == shortLane {
		share = 1 - longMinShare
	}
	return min(own/share, own+other)
}
