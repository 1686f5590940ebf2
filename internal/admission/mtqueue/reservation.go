package mtqueue

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
)

// reservationTTL is how long a reservation is held: five round trips between data centres. An
// entry offers a request to several targets and runs it on one, so most reservations are never
// used. At half a second, unused reservations inflated predicted waits, so that prefixes spread
// to more targets and were computed again (p99 540 ms against 84 ms in make measure,
// nested/riga).
const reservationTTL = 10 * time.Millisecond

// maxReservations bounds the reservations. At its share of the peak, 25,000 requests a second
// over 2,700 targets, a target gets about 10 requests a second, each offered to a few targets.
// That is some dozen per reservationTTL, and ten times that in a burst.
const maxReservations = 512

// reservation counts a request's cost as waiting until the request is added or the reservation
// expires. Without reservations all entries that ask at the same moment would see the same
// short wait and send their requests at once.
type reservation struct {
	run     string
	lane    int
	demand  sums
	expires time.Time
}

// reservations are the current reservations, ordered by expiry.
type reservations struct {
	order []*reservation
	byRun map[string]*reservation
	total [2]sums
}

// Reserve checks a request as Add does and reserves its place for reservationTTL. Adding any
// attempt of the same run uses the reservation. Reserve returns the predicted wait behind the
// other reservations. They only affect how targets are ranked: no request is refused because of
// reservations that may never be used.
func (q *Queue) Reserve(work *mustardtidev1.Work, matched uint64) (time.Duration, *mtrefusal.Refusal) {
	q.now = time.Now()
	q.reservations.expire(q.now)
	it := q.newItem(work, matched)
	it.tag = q.lane(it).startTag(it.account)
	if refusal := q.checkPredictedWait(it); refusal != nil {
		return 0, refusal
	}
	if q.overBounds(it) && last(q.lane(it).root).before(it) {
		return 0, q.queueFull().WithRetryAfter(q.retryAfter(0))
	}
	wait := q.predictWait(it, q.reservations.total)
	q.reservations.add(it)
	return wait, nil
}

func (r *reservations) add(it *item) {
	if r.byRun == nil {
		r.byRun = map[string]*reservation{}
	}
	r.release(it.key.run)
	if len(r.order) >= maxReservations {
		r.release(r.order[0].run)
		r.order = r.order[1:]
	}
	added := &reservation{run: it.key.run, lane: it.lane, demand: it.demand, expires: time.Now().Add(reservationTTL)}
	r.order = append(r.order, added)
	r.byRun[it.key.run] = added
	r.total[it.lane] = r.total[it.lane].plus(it.demand)
}

// release removes a run's reservation, if there is one.
func (r *reservations) release(run string) {
	released := r.byRun[run]
	if released == nil {
		return
	}
	delete(r.byRun, run)
	r.total[released.lane] = r.total[released.lane].minus(released.demand)
}

// expire removes the reservations that have expired.
func (r *reservations) expire(now time.Time) {
	for len(r.order) > 0 && (now.After(r.order[0].expires) || r.byRun[r.order[0].run] != r.order[0]) {
		if r.byRun[r.order[0].run] == r.order[0] {
			r.release(r.order[0].run)
		}
		r.order = r.order[1:]
	}
	if len(r.byRun) == 0 {
		r.total = [2]sums{}
	}
}
