// Package mtqueue decides which request a target runs next, which requests wait and which are
// refused at once.
//
// It is built for bursts: all accounts sending within one minute, one account with a hundred
// times the requests of the others, long jobs mixed with short ones, and a target that turns
// slow meanwhile. A target's own queue is first come, first served: there the account with the
// most requests determines everyone's wait, a short interactive query queues behind a long job,
// and callers wait until their deadline for an answer that can no longer arrive in time.
//
// Accounts share a target by start-time fair queueing over the estimated cost of their
// requests, weighted by their settings. Short requests go ahead of long ones, which keep a
// minimum share. A request is refused at once if its predicted wait exceeds its deadline, and
// waiting requests are checked again as the target's measured rates change.
package mtqueue

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
)

// Queue holds one target's waiting and running requests. It starts no goroutines and is not
// safe for concurrent use: its owner locks around every call, and calls Next and Expire after
// every change and again at the wake time.
type Queue struct {
	weight       func(account string) float64
	limits       limits
	rates        rates
	outputs      outputEstimates
	lanes        [2]lane
	byKey        map[key]*item
	batch        batch
	reservations reservations
	longCredit   float64
	refusals     uint64
	serial       uint64
	lastScan     time.Time
	now          time.Time // read once per call
	evicted      []*item
}

// New returns an empty queue for a target of a service. It uses the service's slots, memory,
// prefill rate and decode time; unset slots and rates get defaults, and unset memory is not
// limited. weight returns an account's weight; if it is nil, all accounts have the same weight.
func New(service *mustardtidev1.Service, weight func(account string) float64) *Queue {
	if weight == nil {
		weight = func(string) float64 { return 1 }
	}
	q := &Queue{weight: weight, byKey: map[key]*item{}}
	for i := range q.lanes {
		q.lanes[i].nextTags = map[string]float64{}
	}
	q.batch.pinned = map[string]*pin{}
	q.Configure(service)
	return q
}

// Configure applies changed settings. Measured rates are kept unless the prefill or decode
// setting changes.
func (q *Queue) Configure(service *mustardtidev1.Service) {
	q.limits.configure(service)
	q.rates.configure(service)
}

// Add queues a request whose first matched prompt tokens are cached on the target. Adding an
// attempt that is already queued or running does nothing. If Add returns a refusal, the request
// was not queued, and this target does not run it.
func (q *Queue) Add(work *mustardtidev1.Work, matched uint64) *mtrefusal.Refusal {
	q.now = time.Now()
	added := q.newItem(work, matched)
	if _, known := q.byKey[added.key]; known {
		return nil
	}
	q.reservations.expire(q.now)
	q.reservations.release(added.key.run)
	added.tag = q.lane(added).startTag(added.account)
	if refusal := q.checkPredictedWait(added); refusal != nil {
		return refusal
	}
	if refusal := q.makeRoom(added); refusal != nil {
		return refusal
	}
	q.lane(added).push(added)
	q.byKey[added.key] = added
	return nil
}

// Next returns a request to start now, or nil. The owner passes it to the target and calls Next
// again.
func (q *Queue) Next() *mustardtidev1.Work {
	next := q.pick()
	if next == nil || !q.batch.fits(next, &q.limits, &q.rates) {
		return nil
	}
	q.updateLongCredit(next)
	q.lane(next).pop(next)
	next.running = true
	q.batch.start(next, &q.rates)
	return next.work
}

// FirstOutput records the first output of a running request: its prefill is complete, and the target
// can compute the next prompt.
func (q *Queue) FirstOutput(run string, attempt uint32) {
	if it := q.byKey[key{run, attempt}]; it != nil && it.running {
		q.batch.firstOutput(it, &q.rates)
	}
}

// Done removes a waiting or running request. finish holds the usage that the target measured,
// nil if it reported none.
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
		q.rates.measureFinish(it, finish.GetOutput())
		q.recordFinish(it, finish)
	}
}

// PredictWait predicts the queueing time of a request without queueing it.
func (q *Queue) PredictWait(work *mustardtidev1.Work, matched uint64) time.Duration {
	q.now = time.Now()
	q.reservations.expire(q.now)
	it := q.newItem(work, matched)
	it.tag = q.lane(it).startTag(it.account)
	return q.predictWait(it, q.reservations.total)
}

// WakeTime returns when Next or Expire may have a new result although nothing was added or done. It
// returns the zero time if nothing waits.
func (q *Queue) WakeTime() time.Time {
	if q.Queued() == 0 && len(q.evicted) == 0 {
		return time.Time{}
	}
	scan := q.lastScan.Add(scanInterval)
	if open := q.batch.prefillOpensAt(); open.After(time.Now()) && open.Before(scan) {
		return open
	}
	return scan
}

// Running returns the number of requests that run on the target.
func (q *Queue) Running() int { return q.batch.count }

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.lanes[0].total().count + q.lanes[1].total().count }

// BacklogCost returns the cost of the waiting requests in prefill tokens.
func (q *Queue) BacklogCost() uint64 {
	return uint64(q.lanes[0].total().cost + q.lanes[1].total().cost)
}

// PrefillRate returns the target's measured prefill rate in tokens per second.
func (q *Queue) PrefillRate() float64 { return q.rates.prefill }
