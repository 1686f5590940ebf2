package mtqueue

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

// scanInterval is the minimum time between two scans of all waiting requests. Scanning 12,000
// requests takes well under 1 ms, so ten scans a second use less than 1% of a core, and a delay
// of 100 ms does not matter to callers.
const scanInterval = 100 * time.Millisecond

// Expire removes waiting requests that can no longer be served and passes each with its refusal
// to refuse. These are the requests evicted in favour of accounts with less queued work, and
// those whose predicted wait now exceeds their deadline.
func (q *Queue) Expire(refuse func(*mustardtidev1.Work, *mtrefusal.Refusal)) {
	q.now = time.Now()
	for _, it := range q.evicted {
		refuse(it.work, q.queueFull().WithRetryAfter(q.retryAfter(0)))
	}
	q.evicted = q.evicted[:0]
	if q.now.Sub(q.lastScan) < scanInterval {
		return
	}
	q.lastScan = q.now
	for lane := range q.lanes {
		q.scan(lane, refuse)
	}
}

// scan checks the deadlines of a lane's items in tag order. An expired item does not count as
// work ahead of the items behind it.
func (q *Queue) scan(lane int, refuse func(*mustardtidev1.Work, *mtrefusal.Refusal)) {
	var ahead sums
	var expired []*item
	var refusals []*mtrefusal.Refusal
	base := q.baseWait(q.Queued() > 0)
	otherDrain := q.drainTime(q.lanes[1-lane].total())
	each(q.lanes[lane].root, func(it *item) {
		wait := seconds(base + laneWait(lane, q.drainTime(ahead), otherDrain))
		if refusal := q.checkDeadline(it, wait); refusal != nil {
			expired = append(expired, it)
			refusals = append(refusals, refusal)
			return
		}
		ahead = ahead.plus(it.demand)
	})
	for i, it := range expired {
		q.lanes[lane].remove(it)
		delete(q.byKey, it.key)
		refuse(it.work, refusals[i])
	}
}

// makeRoom keeps the lane within its bounds. A full lane evicts the items with the latest tags,
// which belong to the account with the most queued work. A new item that would itself be last
// is refused.
func (q *Queue) makeRoom(it *item) *mtrefusal.Refusal {
	for q.overBounds(it) {
		victim := last(q.lanes[it.lane].root)
		if victim == nil || victim.before(it) {
			return q.queueFull().WithRetryAfter(q.retryAfter(0))
		}
		q.lane(victim).remove(victim)
		delete(q.byKey, victim.key)
		q.evicted = append(q.evicted, victim)
	}
	return nil
}

// overBounds reports whether adding an item would exceed its lane's bounds. Each lane has its
// own bounds, so that a flood of one class takes no room from the other.
func (q *Queue) overBounds(it *item) bool {
	s := q.lane(it).total()
	if s.count == 0 {
		return false
	}
	s = s.plus(it.demand)
	return s.prompt > maxQueuedTokens/float64(len(q.lanes)) || q.drainTime(s) > maxBacklogTime.Seconds()
}

func (q *Queue) queueFull() *mtrefusal.Refusal { return mtrefusal.New(mtcode.QueueFull, "") }
