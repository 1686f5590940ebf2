package mtqueue

import (
	"time"

	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

// Bounds of what waits. Bodies wait in the sidecar's memory, at four bytes a
// token: heldTokens bounds them to 32 MB. backlogTime bounds the work to two
// minutes, within which the router would rather find another target.
const (
	heldTokens  = 8 << 20
	backlogTime = 2 * time.Minute
)

// Bounds of the spread of those refused, beyond the time at which the first of
// them could be served: callers read whole seconds, and a client that is told
// more than a minute gives up.
const (
	leastSpread = 2 * time.Second
	mostSpread  = time.Minute
)

// headroom is the part of a predicted time that must be left over. Under
// overload each admitted request is one that just fits: without headroom every
// small error makes it late, and the target's work on it is lost. With a target
// that turns four times slower, 48 of 117 answers were late without it. A
// shorter queue costs no throughput while it is never empty.
const headroom = 8

// goldenRatio steps through the spread: any number of refusals in a row are
// told times that lie evenly apart.
const goldenRatio = 0.6180339887498949

// judge refuses an item whose predicted wait passes its deadline.
func (q *Queue) judge(it *item) *mtrefusal.Refusal {
	return q.late(it, q.wait(it, [2]sums{}))
}

// late refuses an item that waits too long, and says when one like it fits.
// The time of its own output counts only where it is learned: what a caller
// allows at most says little.
func (q *Queue) late(it *item, wait time.Duration) *mtrefusal.Refusal {
	left := it.due.Sub(q.now)
	own := it.need
	if !it.known {
		own.output = 0
	}
	need := wait + seconds(q.rates.hold(own))
	if need+need/headroom <= left {
		return nil
	}
	reason := "expected " + need.Round(time.Millisecond).String() + ", left " + left.Round(time.Millisecond).String()
	return mtrefusal.New(mtcode.DeadlineTooNear, reason).After(q.comeBack(min(need-left, wait)))
}

// comeBack is when the backlog has shrunk by the given time, spread over the
// time that the rest of it takes: those refused together do not return
// together.
func (q *Queue) comeBack(shrink time.Duration) time.Duration {
	backlog := q.drain(q.lanes[shortLane].total().plus(q.lanes[longLane].total()))
	window := min(max(seconds(backlog), leastSpread), mostSpread)
	q.spread++
	step := float64(q.spread) * goldenRatio
	return min(max(shrink, 0), backlogTime) + seconds(window.Seconds()*(step-float64(uint64(step))))
}

// wait predicts an item's time in queue from what is ahead of its tag and what
// is reserved.
func (q *Queue) wait(it *item, reserved [2]sums) time.Duration {
	mine := q.drain(ahead(q.lane(it).root, it).plus(reserved[it.lane]))
	other := q.drain(q.lanes[1-it.lane].total().plus(reserved[1-it.lane]))
	return seconds(q.base(mine+other > 0) + combine(it.lane, mine, other))
}

// base is the time until the target takes the next request at all.
func (q *Queue) base(queued bool) float64 {
	parallel := q.rates.parallel(&q.limits)
	slot := 0.0
	if queued || float64(q.batch.count) >= parallel {
		slot = q.batch.remaining(q.now) / parallel / parallel
	}
	return max(q.batch.computingLeft(q.now), slot)
}

// drain is how long the target takes for a sum, in seconds: prompts are
// computed one after another, slots are held side by side.
func (q *Queue) drain(s sums) float64 {
	return max(s.fresh/q.rates.prefill, q.rates.hold(s)/q.rates.parallel(&q.limits))
}

// combine is when a lane's own work ahead is done while the other lane has its
// share: the floor for long, the rest for short; whichever lane runs dry leaves
// its share to the other.
func combine(lane int, mine, other float64) float64 {
	share := longFloor
	if lane == shortLane {
		share = 1 - longFloor
	}
	return min(mine/share, mine+other)
}
