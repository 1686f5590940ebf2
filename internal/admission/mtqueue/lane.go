package mtqueue

import mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"

const (
	shortLane = iota
	longLane
)

// longMinShare is the share of cost that long requests get while short ones wait. At a fifth, a
// long job takes at most five times its own run time under a flood of short requests, and short
// requests lose at most a quarter of their speed.
const longMinShare = 0.2

// sweepSlack is added to twice the number of accounts that remain after a sweep, to get the
// number at which the next one runs. Doubling gives sweeps a constant amortised cost per
// request.
const sweepSlack = 256

// lane holds the waiting requests of one class, ordered by start-time fair queueing. A
// request's tag is its virtual start time: the virtual finish time of its account's previous
// request, or the current virtual time if that is later.
type lane struct {
	root        *item
	virtualTime float64
	maxNextTag  float64
	nextTags    map[string]float64
	sweepLimit  int
}

func (q *Queue) lane(it *item) *lane { return &q.lanes[it.lane] }

// startTag returns the tag of an account's next request. An account with nothing waiting starts
// at the current virtual time: being idle earns no credit.
func (l *lane) startTag(account string) float64 {
	return max(l.virtualTime, l.nextTags[account])
}

func (l *lane) total() sums {
	if l.root == nil {
		return sums{}
	}
	return l.root.sum
}

// push inserts an item whose tag is set and advances its account's next tag by the item's
// weighted cost.
func (l *lane) push(it *item) {
	l.root = insert(l.root, it)
	next := it.tag + it.weightedCost
	l.nextTags[it.account] = next
	l.maxNextTag = max(l.maxNextTag, next)
}

// pop removes an item that is about to start and advances virtual time to its tag.
func (l *lane) pop(it *item) {
	l.root = remove(l.root, it)
	l.virtualTime = max(l.virtualTime, it.tag)
	l.sweep()
}

// remove removes an item that will not start and refunds its weighted cost to its account.
func (l *lane) remove(it *item) {
	l.root = remove(l.root, it)
	l.nextTags[it.account] = max(l.virtualTime, l.nextTags[it.account]-it.weightedCost)
	l.sweep()
}

// sweep drops the accounts whose next tag is not ahead of virtual time. If nothing waits, it
// advances virtual time past all tags and drops every account.
func (l *lane) sweep() {
	if l.root == nil {
		l.virtualTime = max(l.virtualTime, l.maxNextTag)
		clear(l.nextTags)
		return
	}
	if len(l.nextTags) <= l.sweepLimit {
		return
	}
	for account, next := range l.nextTags {
		if next <= l.virtualTime {
			delete(l.nextTags, account)
		}
	}
	l.sweepLimit = 2*len(l.nextTags) + sweepSlack
}

// pick returns the item to start next. Short requests go before long ones, unless the long lane
// has accumulated enough credit for the cost of its first item.
func (q *Queue) pick() *item {
	short := first(q.lanes[shortLane].root)
	long := first(q.lanes[longLane].root)
	switch {
	case long == nil:
		q.longCredit = 0
		return short
	case !q.batch.longLaneFits(&q.limits):
		return short
	case short == nil || q.longCredit >= long.demand.cost:
		return long
	default:
		return short
	}
}

// updateLongCredit adjusts the long lane's credit for an item that starts: starting a short
// item adds credit in proportion to longMinShare, starting a long one uses it up.
func (q *Queue) updateLongCredit(it *item) {
	long := first(q.lanes[longLane].root)
	if long == nil {
		return
	}
	if it.lane == longLane {
		q.longCredit = max(0, q.longCredit-it.demand.cost)
		return
	}
	q.longCredit = min(long.demand.cost, q.longCredit+it.demand.cost*longMinShare/(1-longMinShare))
}

// recordFinish records the output length of a finished request and corrects its account's next
// tag by the difference between actual and estimated cost.
func (q *Queue) recordFinish(it *item, finish *mustardtidev1.Finish) {
	q.outputs.record(it.work, finish.GetOutput())
	correction := (float64(finish.GetOutput()) - it.demand.output) * q.limits.outputTokenCost
	if finish.GetPrompt() > 0 {
		correction += float64(finish.GetPrompt()) - float64(finish.GetCached()) - it.demand.fresh
	}
	l := q.lane(it)
	if _, tracked := l.nextTags[it.account]; tracked {
		l.nextTags[it.account] = max(l.virtualTime, l.nextTags[it.account]+correction/q.accountWeight(it.account))
	}
}

// accountWeight returns an account's weight. Settings refuse weights that are not positive.
func (q *Queue) accountWeight(account string) float64 {
	if w := q.weight(account); w > 0 {
		return w
	}
	return 1
}
