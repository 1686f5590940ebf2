// Package mtqueue decides which request a target runs next, which waits and
// which is refused at once.
//
// The load it answers is a burst: everyone within one minute, one account with
// a hundred times the requests of the others, long jobs among short ones, and
// a target that turns slow meanwhile. Without it the target's own queue is
// first come, first served: the loudest account decides everyone's wait, a
// clerk's query stands behind a valuation, and callers wait out their deadline
// for an answer that can no longer come in time.
//
// Accounts share by start-time fair queueing over the estimated cost of their
// requests, weighted by their settings. Short requests go ahead of long ones;
// a floor keeps a share for the long. A request is refused at once where its
// predicted wait passes its deadline, and waiting ones are judged again as the
// target's measured rates change.
package mtqueue

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
)

// Queue holds one target's waiting and running requests. It starts no
// goroutine and is not safe for concurrent use: its owner locks, calls Next
// and Expire after every change, and again at Wake.
type Queue struct {
	weight  func(account string) float64
	limits  limits
	rates   rates
	outputs outputs
	lanes   [2]lane
	byKey   map[key]*item
	batch   batch
	tickets tickets
	credit  float64
	spread  uint64
	serial  uint64
	scanned time.Time
	now     time.Time // read once for each call
	evicted []*item
}

// New returns an empty queue for a target of a service: its slots, memory,
// prefill and decode are taken, or defaults where they are zero. weight gives
// an account's share; a nil function gives all accounts the same.
func New(service *mustardtidev1.Service, weight func(account string) float64) *Queue {
	if weight == nil {
		weight = func(string) float64 { return 1 }
	}
	q := &Queue{weight: weight, byKey: map[key]*item{}}
	for i := range q.lanes {
		q.lanes[i].accounts = map[string]float64{}
	}
	q.batch.pinned = map[string]*pin{}
	q.Configure(service)
	return q
}

// Configure takes changed settings. What was measured of the target is kept
// unless its prefill or decode setting changes.
func (q *Queue) Configure(service *mustardtidev1.Service) {
	q.limits.configure(service)
	q.rates.configure(service)
}

// Add enters a request of which the target has matched prompt tokens cached.
// A refusal is final for this target: the request was not entered.
func (q *Queue) Add(work *mustardtidev1.Work, matched uint64) *mtrefusal.Refusal {
	q.now = time.Now()
	added := q.item(work, matched)
	if _, known := q.byKey[added.key]; known {
		return nil
	}
	q.tickets.lapse(q.now)
	q.tickets.drop(added.key.run)
	added.tag = q.lane(added).start(added.account)
	if refusal := q.judge(added); refusal != nil {
		return refusal
	}
	if refusal := q.makeRoom(added); refusal != nil {
		return refusal
	}
	q.lane(added).push(added)
	q.byKey[added.key] = added
	return nil
}

// Next returns a request that starts now, or nil. Its owner hands it to the
// target and calls again.
func (q *Queue) Next() *mustardtidev1.Work {
	next := q.pick()
	if next == nil || !q.batch.fits(next, &q.limits, &q.rates) {
		return nil
	}
	q.spend(next)
	q.lane(next).pop(next)
	next.running = true
	q.batch.start(next, &q.rates)
	return next.work
}

// First tells that a running request's first output came: its prompt is
// computed, and the target's prefill is free for the next.
func (q *Queue) First(run string, attempt uint32) {
	if it := q.byKey[key{run, attempt}]; it != nil && it.running {
		q.batch.first(it, &q.rates)
	}
}

// Done takes out a request, waiting or running. finish holds the usage that
// the target measured; nil where it gave none.
func (q *Queue) Done(run string, attempt uint32, finish *mustardtidev1.Finish) {
	it := q.byKey[key{run, attempt}]
	if it == nil {
		return
	}
	delete(q.byKey, it.key)
	if !it.running {
		q.lane(it).remove(it)
		return
	}
	q.batch.end(it, &q.rates)
	if finish.GetComplete() {
		q.rates.measureEnd(it, finish.GetOutput())
		q.learn(it, finish)
	}
}

// Wait is the predicted time in queue of a request that is not entered.
func (q *Queue) Wait(work *mustardtidev1.Work, matched uint64) time.Duration {
	q.now = time.Now()
	q.tickets.lapse(q.now)
	it := q.item(work, matched)
	it.tag = q.lane(it).start(it.account)
	return q.wait(it, q.tickets.held)
}

// Wake is when Next or Expire may have a new answer though nothing was added
// or done; the zero time where nothing waits.
func (q *Queue) Wake() time.Time {
	if q.Queued() == 0 && len(q.evicted) == 0 {
		return time.Time{}
	}
	scan := q.scanned.Add(scanEvery)
	if open := q.batch.opens(); open.After(time.Now()) && open.Before(scan) {
		return open
	}
	return scan
}

// Running counts the requests that the target has.
func (q *Queue) Running() int { return q.batch.count }

// Queued counts the requests that wait.
func (q *Queue) Queued() int { return q.lanes[0].total().count + q.lanes[1].total().count }

// Backlog is the cost that waits, in tokens of prefill.
func (q *Queue) Backlog() uint64 {
	return uint64(q.lanes[0].total().cost + q.lanes[1].total().cost)
}

// Prefill is the target's measured prefill rate in tokens a second.
func (q *Queue) Prefill() float64 { return q.rates.prefill }
