package mtquota

import (
	"slices"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtmargin"
)

const (
	// TickInterval is the interval at which callers must call Tick.
	TickInterval = 50 * time.Millisecond
	// stallThreshold is the time between two ticks from which on this process counts as stalled:
	// missing answers then say nothing about the others.
	stallThreshold = 250 * time.Millisecond
	// discoveryTime is how long an entry waits after its start before it lends its share: it
	// hears from most others within that time.
	discoveryTime = 100 * time.Millisecond
	// demandWindow is the averaging window for demand. drawAheadTime is the time whose demand is
	// drawn in advance, in addition to the largest recent request.
	demandWindow  = time.Second
	drawAheadTime = 500 * time.Millisecond
	// largestWindowFactor is how many times longer the largest request is remembered than demand.
	largestWindowFactor = 3
)

// Tick updates the quotas and returns the draws that are due. limited is the number of accounts
// with a quota, serving the other entries that are not about to end, live all other entries heard
// from.
func (q *Quota) Tick(limited int, serving, live []string) []Message {
	return q.TickWithAllocators(limited, append(slices.Clone(serving), q.self), live)
}

// TickWithAllocators is like Tick for a fleet where only the given entries allocate. They need not include
// this one.
func (q *Quota) TickWithAllocators(limited int, allocators, live []string) []Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(q.lastTick)
	q.lastTick = now
	q.updateSize(now, live)
	q.expire(now, elapsed > stallThreshold)
	if limited == 0 || now.Sub(q.started) < discoveryTime {
		return nil
	}
	q.reshard(min(maxShards, 1+limited/accountsPerShard), now)
	needs := map[*shard][]*fleetv1.Need{}
	for _, value := range q.accounts.Range {
		a := value.(*account)
		a.updateDemand(now, elapsed)
		a.floor.Store(-int64(mtmargin.Of(a.limit.Load(), q.bounds).MaxDebt(q.Entries())))
		s := q.shardOf(a.name)
		if need := a.need(now.Sub(q.started), s); need != nil {
			needs[s] = append(needs[s], need)
		}
	}
	var messages []Message
	for _, s := range q.shards {
		messages = append(messages, q.dueDraws(s, now, allocators, needs[s])...)
	}
	return messages
}

// updateDemand updates the account's moving averages since the last tick.
func (a *account) updateDemand(now time.Time, elapsed time.Duration) {
	if a.refusedSinceTick.Swap(false) {
		a.lastRefused = now
	}
	if elapsed <= 0 {
		return
	}
	rate := float64(a.requested.Swap(0)) / elapsed.Seconds()
	weight := min(1, elapsed.Seconds()/demandWindow.Seconds())
	a.demand += (rate - a.demand) * weight
	a.recentLargest = max(float64(a.largestSinceTick.Swap(0)), a.recentLargest*(1-weight/largestWindowFactor))
}

// need returns what an account should draw or return, or nil if nothing.
func (a *account) need(uptime time.Duration, s *shard) *fleetv1.Need {
	if s.allocator == "" {
		return nil
	}
	target := int64(a.demand*drawAheadTime.Seconds() + a.recentLargest)
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
	case credit < target/2 && int64(uptime) >= a.blockedUntil.Load():
		return &fleetv1.Need{Account: a.name, Held: credit, Ahead: target - credit}
	case s.heldUnreported && credit > 0:
		return &fleetv1.Need{Account: a.name, Held: credit}
	default:
		return nil
	}
}
