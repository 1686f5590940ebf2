package mtqueue

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
)

// ticketTime is how long a reservation holds: the entry's other offers come
// back within a few milliseconds in a data centre and about 100 between
// regions, so that half a second outlasts the slowest sound one.
const ticketTime = 500 * time.Millisecond

// keptTickets bounds the reservations: a target at its share of the peak, 25,000
// requests a second over 2,700 targets, gets about 40 offers in ticketTime.
const keptTickets = 512

// ticket is a reservation: its cost counts as waiting until it is used or
// lapses. Without it every entry that asks in the same moment sees the same
// short wait, and all of them send.
type ticket struct {
	key    key
	lane   int
	need   sums
	lapses time.Time
}

// tickets holds reservations in the order in which they lapse.
type tickets struct {
	order []*ticket
	byKey map[key]*ticket
	held  [2]sums
}

// Hold judges a request as Add does and reserves its place for a short while;
// Add of the same attempt uses the reservation.
func (q *Queue) Hold(work *mustardtidev1.Work, matched uint64) (time.Duration, *mtrefusal.Refusal) {
	q.tickets.lapse(time.Now())
	it := q.item(work, matched)
	it.tag = q.lane(it).start(it.account)
	wait := q.wait(it)
	if refusal := q.late(it, wait); refusal != nil {
		return wait, refusal
	}
	if worst := last(q.lane(it).root); q.over(it) && worst.before(it) {
		return wait, q.full().After(q.comeBack(0))
	}
	q.tickets.add(it)
	return wait, nil
}

func (t *tickets) add(it *item) {
	if t.byKey == nil {
		t.byKey = map[key]*ticket{}
	}
	t.drop(it.key)
	if len(t.order) >= keptTickets {
		t.drop(t.order[0].key)
		t.order = t.order[1:]
	}
	added := &ticket{key: it.key, lane: it.lane, need: it.need, lapses: time.Now().Add(ticketTime)}
	t.order = append(t.order, added)
	t.byKey[it.key] = added
	t.held[it.lane] = t.held[it.lane].plus(it.need)
}

// drop ends a reservation, if there is one.
func (t *tickets) drop(k key) {
	held := t.byKey[k]
	if held == nil {
		return
	}
	delete(t.byKey, k)
	t.held[held.lane] = t.held[held.lane].minus(held.need)
}

// lapse ends the reservations whose time is over.
func (t *tickets) lapse(now time.Time) {
	for len(t.order) > 0 && (now.After(t.order[0].lapses) || t.byKey[t.order[0].key] != t.order[0]) {
		if t.byKey[t.order[0].key] == t.order[0] {
			t.drop(t.order[0].key)
		}
		t.order = t.order[1:]
	}
	if len(t.byKey) == 0 {
		t.held = [2]sums{}
	}
}
