package mtqueue

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
)

// ticketTime is how long a reservation holds: five round trips between data
// centres. An entry offers a request to several targets and runs it on one, so
// that most reservations are never used: held for half a second they made
// waits look long, prefixes widened and were computed anew (make measure,
// nested/riga: p99 540 ms against 84 ms).
const ticketTime = 10 * time.Millisecond

// keptTickets bounds the reservations: a target at its share of the peak, 25,000
// requests a second over 2,700 targets, gets about 10 requests a second, each
// offered to a few targets: some dozen in ticketTime, and ten times that in a burst.
const keptTickets = 512

// ticket is a reservation: its cost counts as waiting until it is used or
// lapses. Without it every entry that asks in the same moment sees the same
// short wait, and all of them send.
type ticket struct {
	run    string
	lane   int
	need   sums
	lapses time.Time
}

// tickets holds reservations in the order in which they lapse.
type tickets struct {
	order []*ticket
	byRun map[string]*ticket
	held  [2]sums
}

// Hold judges a request as Add does and reserves its place for a short while;
// Add of the same run, whichever attempt, uses the reservation. It returns the
// predicted wait behind the other reservations, which only rank targets: no
// request is refused for what may never come.
func (q *Queue) Hold(work *mustardtidev1.Work, matched uint64) (time.Duration, *mtrefusal.Refusal) {
	q.now = time.Now()
	q.tickets.lapse(q.now)
	it := q.item(work, matched)
	it.tag = q.lane(it).start(it.account)
	if refusal := q.judge(it); refusal != nil {
		return 0, refusal
	}
	if q.over(it) && last(q.lane(it).root).before(it) {
		return 0, q.full().After(q.comeBack(0))
	}
	wait := q.wait(it, q.tickets.held)
	q.tickets.add(it)
	return wait, nil
}

func (t *tickets) add(it *item) {
	if t.byRun == nil {
		t.byRun = map[string]*ticket{}
	}
	t.drop(it.key.run)
	if len(t.order) >= keptTickets {
		t.drop(t.order[0].run)
		t.order = t.order[1:]
	}
	added := &ticket{run: it.key.run, lane: it.lane, need: it.need, lapses: time.Now().Add(ticketTime)}
	t.order = append(t.order, added)
	t.byRun[it.key.run] = added
	t.held[it.lane] = t.held[it.lane].plus(it.need)
}

// drop ends a reservation, if there is one.
func (t *tickets) drop(run string) {
	held := t.byRun[run]
	if held == nil {
		return
	}
	delete(t.byRun, run)
	t.held[held.lane] = t.held[held.lane].minus(held.need)
}

// lapse ends the reservations whose time is over.
func (t *tickets) lapse(now time.Time) {
	for len(t.order) > 0 && (now.After(t.order[0].lapses) || t.byRun[t.order[0].run] != t.order[0]) {
		if t.byRun[t.order[0].run] == t.order[0] {
			t.drop(t.order[0].run)
		}
		t.order = t.order[1:]
	}
	if len(t.byRun) == 0 {
		t.held = [2]sums{}
	}
}
