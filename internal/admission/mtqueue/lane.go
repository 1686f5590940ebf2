package mtqueue

import mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"

// The two lanes.
const (
	shortLane = iota
	longLane
)

// longFloor is the share of cost that long requests keep while short ones
// wait: at a fifth a long job still ends in five times its own time under a
// flood of short requests, and the short ones lose at most a quarter of pace.
const longFloor = 0.2

// sweepSlack is how many accounts a lane may remember before it first looks for
// those whose requests are paid for. The limit doubles with what is left, so
// that a look costs a constant share of each request.
const sweepSlack = 256

// lane is one class's requests under start-time fair queueing: a request's tag
// is the virtual time at which its account's earlier requests are paid for.
type lane struct {
	root     *item
	now      float64
	top      float64
	accounts map[string]float64
	limit    int
}

func (q *Queue) lane(it *item) *lane { return &q.lanes[it.lane] }

// start is the tag of an account's next request. An account that had nothing
// waiting starts now: idle time is no credit.
func (l *lane) start(account string) float64 {
	return max(l.now, l.accounts[account])
}

func (l *lane) total() sums {
	if l.root == nil {
		return sums{}
	}
	return l.root.sum
}

// push enters an item whose tag is set and moves its account's next tag by
// the item's price, its cost over the account's weight.
func (l *lane) push(it *item) {
	l.root = insert(l.root, it)
	next := it.tag + it.price
	l.accounts[it.account] = next
	l.top = max(l.top, next)
}

// pop takes out an item that starts and moves virtual time to it.
func (l *lane) pop(it *item) {
	l.root = remove(l.root, it)
	l.now = max(l.now, it.tag)
	l.sweep()
}

// remove takes out an item that never starts; its account gets the price back.
func (l *lane) remove(it *item) {
	l.root = remove(l.root, it)
	l.accounts[it.account] = max(l.now, l.accounts[it.account]-it.price)
	l.sweep()
}

// sweep forgets accounts whose requests are all paid for.
func (l *lane) sweep() {
	if l.root == nil {
		l.now = max(l.now, l.top)
		clear(l.accounts)
		return
	}
	if len(l.accounts) <= l.limit {
		return
	}
	for account, next := range l.accounts {
		if next <= l.now {
			delete(l.accounts, account)
		}
	}
	l.limit = 2*len(l.accounts) + sweepSlack
}

// pick chooses the item to start next: short before long, but long where its
// floor has saved up the cost of its first item.
func (q *Queue) pick() *item {
	short := first(q.lanes[shortLane].root)
	long := first(q.lanes[longLane].root)
	switch {
	case long == nil:
		q.credit = 0
		return short
	case !q.batch.longFits(&q.limits):
		return short
	case short == nil || q.credit >= long.need.cost:
		return long
	default:
		return short
	}
}

// spend keeps the account of the long lane's floor.
func (q *Queue) spend(it *item) {
	long := first(q.lanes[longLane].root)
	if long == nil {
		return
	}
	if it.lane == longLane {
		q.credit = max(0, q.credit-it.need.cost)
		return
	}
	q.credit = min(long.need.cost, q.credit+it.need.cost*longFloor/(1-longFloor))
}

// learn corrects what was estimated of a request that ended.
func (q *Queue) learn(it *item, finish *mustardtidev1.Finish) {
	q.outputs.learn(it.work, finish.GetOutput())
	owed := (float64(finish.GetOutput()) - it.need.output) * q.limits.exchange
	if finish.GetPrompt() > 0 {
		owed += float64(finish.GetPrompt()) - float64(finish.GetCached()) - it.need.fresh
	}
	l := q.lane(it)
	if _, waits := l.accounts[it.account]; waits {
		l.accounts[it.account] = max(l.now, l.accounts[it.account]+owed/q.share(it.account))
	}
}

// share is an account's weight; settings refuse weights that are not positive.
func (q *Queue) share(account string) float64 {
	if w := q.weight(account); w > 0 {
		return w
	}
	return 1
}
