package mtquota

import (
	"slices"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtmargin"
)

const (
	// TickTime is how often Tick is called.
	TickTime = 50 * time.Millisecond
	// stallTime is the time between two ticks that shows that this process stood still:
	// silence says nothing of the others then.
	stallTime = 250 * time.Millisecond
	// learnTime is how long an entry that starts waits until it lends its share: it hears
	// of most others within that time.
	learnTime = 100 * time.Millisecond
	// demandTime is over how long demand is averaged; aheadTime is the demand that is
	// drawn ahead, besides the largest request of late.
	demandTime = time.Second
	aheadTime  = 500 * time.Millisecond
	// largeTimes is how many times longer the largest request is remembered than demand.
	largeTimes = 3
)

// Tick brings the quotas up to this moment and returns the draws that are due. limited is
// the number of accounts with a quota, serving the other entries that are not about to
// end, live all others that were heard of.
func (q *Quota) Tick(limited int, serving, live []string) []Message {
	return q.TickAmong(limited, append(slices.Clone(serving), q.self), live)
}

// TickAmong is Tick where only some entries allocate, which may leave out this one.
func (q *Quota) TickAmong(limited int, allocators, live []string) []Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	passed := now.Sub(q.ticked)
	q.ticked = now
	q.remember(now, live)
	q.expire(now, passed > stallTime)
	if limited == 0 || now.Sub(q.begun) < learnTime {
		return nil
	}
	q.reshard(min(mostShards, 1+limited/shardSize), now)
	needs := map[*shard][]*fleetv1.Need{}
	for _, value := range q.accounts.Range {
		a := value.(*account)
		a.forecast(now, passed)
		a.floor.Store(-int64(mtmargin.Of(a.limit.Load(), q.bounds).Debt(q.Entries())))
		s := q.shardOf(a.name)
		if need := a.need(now.Sub(q.begun), s); need != nil {
			needs[s] = append(needs[s], need)
		}
	}
	var messages []Message
	for _, s := range q.shards {
		messages = append(messages, q.due(s, now, allocators, needs[s])...)
	}
	return messages
}

// forecast averages the account's demand.
func (a *account) forecast(now time.Time, passed time.Duration) {
	if a.over.Swap(false) {
		a.exceeded = now
	}
	if passed <= 0 {
		return
	}
	rate := float64(a.wanted.Swap(0)) / passed.Seconds()
	part := min(1, passed.Seconds()/demandTime.Seconds())
	a.demand += (rate - a.demand) * part
	a.large = max(float64(a.largest.Swap(0)), a.large*(1-part/largeTimes))
}

// need returns what an account should draw or give back, nil for nothing.
func (a *account) need(since time.Duration, s *shard) *fleetv1.Need {
	if s.allocator == "" {
		return nil
	}
	target := int64(a.demand*aheadTime.Seconds() + a.large)
	credit, floor := a.credit.Load(), a.floor.Load()
	switch {
	case credit < floor:
		a.credit.Add(floor - credit)
		return &fleetv1.Need{Account: a.name, Held: floor, Owed: floor - credit}
	case credit > 2*target && credit > 0:
		if !a.credit.CompareAndSwap(credit, target) {
			return nil
		}
		return &fleetv1.Need{Account: a.name, Held: target, Returned: credit - target}
	case credit < target/2 && int64(since) >= a.blocked.Load():
		return &fleetv1.Need{Account: a.name, Held: credit, Ahead: target - credit}
	case s.unreported && credit > 0:
		return &fleetv1.Need{Account: a.name, Held: credit}
	default:
		return nil
	}
}
