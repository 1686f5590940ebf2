package mtqueue

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

// scanEvery is the time between two looks at all that waits. A look at 12,000
// requests takes well under a millisecond; ten a second are below a percent of
// a core, and no caller notices a tenth of a second.
const scanEvery = 100 * time.Millisecond

// Expire gives each waiting request that is given up, with its refusal, and
// takes it out: those displaced by accounts with less in the queue, and those
// whose predicted wait now passes their deadline.
func (q *Queue) Expire(give func(*mustardtidev1.Work, *mtrefusal.Refusal)) {
	q.now = time.Now()
	for _, it := range q.evicted {
		give(it.work, q.full().After(q.comeBack(0)))
	}
	q.evicted = q.evicted[:0]
	if q.now.Sub(q.scanned) < scanEvery {
		return
	}
	q.scanned = q.now
	for lane := range q.lanes {
		q.scan(lane, give)
	}
}

// scan judges a lane in the order of its tags. What is given up is not ahead
// of those behind it.
func (q *Queue) scan(lane int, give func(*mustardtidev1.Work, *mtrefusal.Refusal)) {
	var before sums
	var late []*item
	var refusals []*mtrefusal.Refusal
	base := q.base(q.Queued() > 0)
	other := q.drain(q.lanes[1-lane].total())
	each(q.lanes[lane].root, func(it *item) {
		wait := seconds(base + combine(lane, q.drain(before), other))
		if refusal := q.late(it, wait); refusal != nil {
			late = append(late, it)
			refusals = append(refusals, refusal)
			return
		}
		before = before.plus(it.need)
	})
	for i, it := range late {
		q.lanes[lane].remove(it)
		delete(q.byKey, it.key)
		give(it.work, refusals[i])
	}
}

// makeRoom keeps the queue within its bounds. A full queue gives up the
// requests of the account that has most of it, which stand last; a newcomer
// that would itself stand last is refused.
func (q *Queue) makeRoom(it *item) *mtrefusal.Refusal {
	for q.over(it) {
		worst := last(q.lanes[it.lane].root)
		if worst == nil || worst.before(it) {
			return q.full().After(q.comeBack(0))
		}
		q.lane(worst).remove(worst)
		delete(q.byKey, worst.key)
		q.evicted = append(q.evicted, worst)
	}
	return nil
}

// over says whether a lane has no room for an item. Each lane has its own
// bounds: a flood of one class takes no room from the other.
func (q *Queue) over(it *item) bool {
	s := q.lane(it).total()
	if s.count == 0 {
		return false
	}
	s = s.plus(it.need)
	return s.prompt > heldTokens/float64(len(q.lanes)) || q.drain(s) > backlogTime.Seconds()
}

func (q *Queue) full() *mtrefusal.Refusal { return mtrefusal.New(mtcode.QueueFull, "") }
