package mtquota

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtallocator"
	"github.com/mustardtide/mustardtide/internal/admission/mtmargin"
)

const (
	// TickTime is how often Tick is called.
	TickTime = 50 * time.Millisecond
	// heartbeatTime is how often an entry draws at least: a third of the lease.
	heartbeatTime = mtallocator.LeaseTime / 3
	// silentTime is how long an allocator may leave a draw unanswered.
	silentTime = 400 * time.Millisecond
	// skipTime is how long one that did is not drawn from.
	skipTime = 3 * time.Second
	// settleTime is how long another entry must have been the shard's allocator by the
	// entry's own list before it is drawn from: lists of a fleet that starts differ.
	settleTime = 300 * time.Millisecond
	// stallTime is the time between two ticks that shows that this process stood still:
	// silence says nothing of the others then.
	stallTime = 250 * time.Millisecond
	// learnTime is how long an entry that starts waits until it lends its share: it hears
	// of most others within that time.
	learnTime = 100 * time.Millisecond
	// memoryTime is how long an entry that is no longer heard of counts as one of the
	// fleet: it may be cut off and use its share.
	memoryTime = 15 * time.Second
	// toldTime is how long another entry's word on the size of the fleet counts.
	toldTime = 2 * time.Second
	// fewest is the least number of entries that are reckoned with in the first
	// startTime.
	fewest    = 6
	startTime = 2 * time.Second
	// demandTime is over how long demand is averaged, and over which the largest request
	// is forgotten; aheadTime is the demand that is drawn ahead besides one such request.
	demandTime = time.Second
	aheadTime  = 500 * time.Millisecond
	// largeTimes is how many times longer the largest request is remembered than demand.
	largeTimes = 3
	// shardSize is the number of accounts of one shard, mostShards bounds the shards.
	shardSize  = 256
	mostShards = 8
	// mostNeeds bounds the needs of one draw, so that it fits a datagram.
	mostNeeds = 16
)

// shard is a part of the accounts, which one allocator serves.
type shard struct {
	number uint32
	// lentTo is the entry to which this one lends its share, "" for none; sent is when it
	// last did.
	lentTo string
	sent   time.Time
	// free is when the last lease has ended.
	free time.Time
	// answered is when that entry last answered.
	answered time.Time
	// best is the entry that should allocate, since when.
	best  string
	since time.Time
	// fresh says that the allocator does not know yet what this entry holds.
	fresh bool
	// skipped are those that did not answer, until when.
	skipped map[string]time.Time
}

// Tick brings the quotas up to this moment and returns the draws that are due. limited is
// the number of accounts with a quota, serving the other entries that are not about to
// end, live all others that were heard of.
func (q *Quota) Tick(limited int, serving, live []string) []Letter {
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
	q.reshard(min(mostShards, 1+limited/shardSize))
	needs := make([][]*fleetv1.Need, len(q.shards))
	for _, value := range q.accounts.Range {
		a := value.(*account)
		a.forecast(now, passed)
		a.floor.Store(-int64(mtmargin.Of(a.limit.Load(), q.bounds).Debt(q.Entries())))
		s := q.shardOf(a.name)
		if need := a.need(now.Sub(q.begun), s); need != nil {
			needs[s.number] = append(needs[s.number], need)
		}
	}
	var letters []Letter
	for i, s := range q.shards {
		letters = append(letters, q.due(s, now, serving, needs[i])...)
	}
	return letters
}

// Entries is the number of entries among which the quotas are divided.
func (q *Quota) Entries() int { return int(q.size.Load()) }

// remember takes in the entries that are live.
func (q *Quota) remember(now time.Time, live []string) {
	for _, address := range live {
		q.fleet[address] = now
	}
	for address, last := range q.fleet {
		if now.Sub(last) > memoryTime {
			delete(q.fleet, address)
		}
	}
	size := len(q.fleet) + 1
	if now.Sub(q.toldAt) < toldTime {
		size = max(size, q.told)
	}
	switch age := now.Sub(q.begun); {
	case age < memoryTime && q.stored > 0:
		size = max(size, q.stored)
	case age < startTime:
		size = max(size, fewest)
	}
	q.size.Store(int64(size))
}

// Stored takes in the fleet's size as the store has it. An entry that starts in a divided
// fleet never hears of the others; without it, each side would divide the quotas among
// itself alone.
func (q *Quota) Stored(entries int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stored = entries
}

// Told takes in the fleet's size as another entry has seen it itself: it may remember
// entries that fell silent before this one started.
func (q *Quota) Told(entries int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if entries >= q.told || time.Since(q.toldAt) > toldTime {
		q.told, q.toldAt = entries, time.Now()
	}
}

// Seen is the fleet's size as this entry has seen it itself of late.
func (q *Quota) Seen() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.fleet) + 1
}

// InCharge says that this entry allocates, and for how long it has.
func (q *Quota) InCharge() (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.shards) == 0 || q.shards[0].lentTo != q.self {
		return 0, false
	}
	return time.Since(q.shards[0].since), true
}

// expire gives up draws whose answers do not come.
func (q *Quota) expire(now time.Time, stalled bool) {
	for number, open := range q.asked {
		s := open.shard
		late := now.Sub(open.at) > silentTime && s.answered.Before(open.at)
		switch {
		case stalled || now.Sub(open.at) > askedTime:
			delete(q.asked, number)
		case late && s.lentTo == open.to && open.to != q.self:
			s.skipped[open.to] = now.Add(skipTime)
			s.leave()
		}
	}
}

// reshard makes as many shards; the accounts of all move where their number changes.
func (q *Quota) reshard(count int) {
	for len(q.shards) < count {
		q.shards = append(q.shards, &shard{number: uint32(len(q.shards)), skipped: map[string]time.Time{}})
	}
	q.shards = q.shards[:count]
}

// shardOf returns an account's shard, nil before the first tick.
func (q *Quota) shardOf(name string) *shard {
	if len(q.shards) == 0 {
		return nil
	}
	return q.shards[xxh3.HashString(name)%uint64(len(q.shards))]
}

// due returns a shard's draws.
func (q *Quota) due(s *shard, now time.Time, serving []string, needs []*fleetv1.Need) []Letter {
	var letters []Letter
	if best := s.choose(now, q.self, serving); best != s.best {
		s.best, s.since = best, now
	}
	ended := s.lentTo != q.self && !slices.Contains(serving, s.lentTo)
	if s.lentTo != "" && s.lentTo != s.best && (ended || now.Sub(s.since) > settleTime) {
		to := s.lentTo
		letter := q.draw(s, nil, nil)
		letter.draw.Leaves = true
		q.asked[letter.draw.GetNumber()].leaves = true
		letters = append(letters, Letter{to: to, draw: letter.draw})
		s.leave()
	}
	if s.lentTo == "" && !now.Before(s.free) {
		s.lentTo, s.fresh = s.best, true
		return append(letters, q.draw(s, nil, nil))
	}
	if s.lentTo == "" {
		return letters
	}
	if len(needs) == 0 && now.Sub(s.sent) < heartbeatTime {
		s.fresh = false
		return letters
	}
	s.fresh = false
	for first := true; first || len(needs) > 0; first = false {
		part := needs[:min(mostNeeds, len(needs))]
		needs = needs[len(part):]
		letters = append(letters, q.draw(s, part, nil))
	}
	return letters
}

// choose returns the entry that should allocate a shard: all that know the same others
// agree on it.
func (s *shard) choose(now time.Time, self string, serving []string) string {
	key := string(rune(s.number))
	best, score := self, xxh3.HashString(key+self)
	for _, address := range serving {
		if now.Before(s.skipped[address]) {
			continue
		}
		if other := xxh3.HashString(key + address); other > score {
			best, score = address, other
		}
	}
	return best
}

// leave ends the lending to an allocator; the share is free once the lease has ended.
func (s *shard) leave() {
	s.lentTo = ""
	s.free = s.sent.Add(mtallocator.LeaseTime)
}

// heard notes that an allocator has answered.
func (s *shard) heard(open *asked) {
	s.answered = time.Now()
	if open.leaves && s.lentTo == "" {
		s.free = s.answered
	}
}

// draw makes a draw from a shard's allocator.
func (q *Quota) draw(s *shard, needs []*fleetv1.Need, ticket *Ticket) Letter {
	q.number++
	s.sent = time.Now()
	q.asked[q.number] = &asked{shard: s, to: s.lentTo, at: s.sent, ticket: ticket}
	return Letter{to: s.lentTo, draw: &fleetv1.Draw{Shard: s.number, Run: q.run, Number: q.number, Needs: needs}}
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
	if s.lentTo == "" {
		return nil
	}
	target := int64(a.demand*aheadTime.Seconds() + a.large)
	credit := a.credit.Load()
	switch {
	case credit > 2*target && credit > 0:
		if !a.credit.CompareAndSwap(credit, target) {
			return nil
		}
		return &fleetv1.Need{Account: a.name, Held: target, Returned: credit - target}
	case credit < target/2 && int64(since) >= a.blocked.Load():
		return &fleetv1.Need{Account: a.name, Held: credit, Ahead: target - credit}
	case s.fresh && credit > 0:
		return &fleetv1.Need{Account: a.name, Held: credit}
	default:
		return nil
	}
}
