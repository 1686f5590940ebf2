// Package mtallocator grants entries credit from the quotas of client accounts, each of
// which holds over the whole fleet.
//
// Every live entry owns an equal share of each quota and lends it to one allocator for a
// short lease, renewed with each draw. An allocator grants what it was lent to whichever
// entry asks, in absolute amounts that are taken off when they are granted. So the
// allocators of two halves of a divided fleet, or of a fleet that disagrees on which entry
// allocates, together grant no more than the quota; one that starts anew has no burst to
// grant again; and credit in the hands of an entry that is dead or cut off is not granted
// twice.
package mtallocator

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtmargin"
	"github.com/mustardtide/mustardtide/internal/members/mtsuspend"
)

const (
	// LeaseTime is the least time for which an entry's share stays lent after its last draw,
	// longestLease the greatest.
	LeaseTime    = 600 * time.Millisecond
	longestLease = 30 * time.Second
	// gapTime is the time without any draw after which a shard begins anew: its lenders
	// have lent their shares to others, or the process was frozen.
	gapTime = 500 * time.Millisecond
	// countTime is how often the lenders of a shard are counted.
	countTime = 20 * time.Millisecond
	// reserve is the part of a full balance that is granted to waiting requests only.
	reserve = 0.25
	// heldPart is the part of a full balance that entries may hold, besides the margin.
	heldPart = 0.5
	// leastWait is the least time to the next credit that entries are told.
	leastWait = 10 * time.Millisecond
	// leastLent bounds that time where hardly anything is lent.
	leastLent = 1e-3
	// seenDraws is the number of a lender's last draws of which it is known whether they
	// came.
	seenDraws = 64
	// mostRises bounds the rises of a shard that are kept.
	mostRises = 16
)

// Allocator grants the credit of the shards of which its entry is in charge. It is safe
// for concurrent use.
type Allocator struct {
	bounds *fleetv1.Bounds

	mu        sync.Mutex
	shards    map[uint32]*shard
	suspended *mtsuspend.Detector
}

// shard is a part of the accounts.
type shard struct {
	lenders  map[string]*lender
	accounts map[string]*balance
	// accrued is the time for which the whole quota was lent, in seconds: half of it lent
	// for two seconds counts as one.
	accrued float64
	at      time.Time
	// lent is the part of the quota that is lent now, counted when it was last counted, in a
	// fleet of so many entries.
	lent    float64
	counted time.Time
	entries int
	// rises are the times at which more was lent than before, the last few of them.
	rises []rise
}

// rise is a moment from which on more is lent. Until then a balance was full with the part
// of the burst that was lent before, whenever it is looked at.
type rise struct{ accrued, lent float64 }

// lender is an entry that lends its share.
type lender struct {
	run, previous uint64
	// number is that of its newest draw; seen has a bit for each before it that has come,
	// the newest lowest.
	number uint64
	seen   uint64
	last   time.Time
	lease  time.Duration
	// left says that it has ended its lease. It stays known for the lease's time, so that
	// an earlier draw that comes late does not begin it again.
	left bool
	held map[string]float64
}

// balance is one account's.
type balance struct {
	level   float64
	accrued float64
	// held is the credit in the hands of all lenders.
	held float64
}

// New returns an allocator to which nobody has lent anything.
func New(bounds *fleetv1.Bounds) *Allocator {
	return &Allocator{bounds: bounds, shards: map[uint32]*shard{}, suspended: mtsuspend.New()}
}

// Answer grants what it can of a draw, in a fleet of so many entries. It returns nil for
// a draw that came twice, or after the end of its lease. accounts returns an account by its name, nil
// for one that the configuration does not name.
func (a *Allocator) Answer(from string, draw *fleetv1.Draw, entries int, accounts func(string) *fleetv1.Account) *fleetv1.Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.suspended.Suspended() {
		clear(a.shards)
	}
	s := a.shard(draw.GetShard(), now)
	l, known := s.lender(from, draw)
	if l == nil {
		return nil
	}
	overtaken := draw.GetNumber() < l.number
	if !overtaken {
		l.last, l.lease = now, min(longestLease, max(LeaseTime, time.Duration(draw.GetLease())*time.Millisecond))
		l.left = draw.GetLeaves()
	}
	s.count(now, entries, !known || l.left)
	grant := &fleetv1.Grant{Shard: draw.GetShard(), Number: draw.GetNumber()}
	for _, need := range draw.GetNeeds() {
		account := accounts(need.GetAccount())
		if account.GetRate() <= 0 {
			grant.Credits = append(grant.Credits, &fleetv1.Credit{Account: need.GetAccount(), Amount: need.GetWaiting()})
			continue
		}
		b := s.balance(need.GetAccount(), account, mtmargin.Of(account, a.bounds))
		if !overtaken {
			b.reportHeld(l, need)
		}
		grant.Credits = append(grant.Credits, s.grant(l, known, need, account, mtmargin.Of(account, a.bounds)))
	}
	return grant
}

// shard returns a shard with its accrued time brought up to now.
func (a *Allocator) shard(number uint32, now time.Time) *shard {
	s := a.shards[number]
	if s == nil || now.Sub(s.at) > gapTime {
		s = &shard{lenders: map[string]*lender{}, accounts: map[string]*balance{}, at: now}
		a.shards[number] = s
	}
	s.accrue(now)
	return s
}

// accrue brings the accrued time up to now. A lease that has ended since the last count
// counts up to its end: its share may be lent to another allocator.
func (s *shard) accrue(now time.Time) {
	accrued := now.Sub(s.at).Seconds() * s.lent
	if now.Sub(s.counted) > countTime {
		var lent time.Duration
		for _, l := range s.lenders {
			if !l.left {
				lent += max(0, min(now.Sub(s.at), l.last.Add(l.lease).Sub(s.at)))
			}
		}
		accrued = min(accrued, lent.Seconds()/float64(max(s.entries, 1)))
	}
	s.accrued += accrued
	s.at = now
}

// lender returns the entry that draws, and whether this run of it has drawn before; nil
// for a draw that is not to be answered.
func (s *shard) lender(from string, draw *fleetv1.Draw) (*lender, bool) {
	previous := uint64(0)
	if l := s.lenders[from]; l != nil {
		switch {
		case draw.GetRun() == l.previous || draw.GetRun() == l.run && !l.see(draw.GetNumber()):
			return nil, false
		case draw.GetRun() == l.run:
			return l, true
		}
		previous = l.run
		s.remove(from)
	}
	l := &lender{run: draw.GetRun(), previous: previous, number: draw.GetNumber(), seen: 1, held: map[string]float64{}}
	s.lenders[from] = l
	return l, false
}

// see notes a draw of this run, and says whether it is the first of its number. One that
// another has overtaken counts, but none from before the end of a lease.
func (l *lender) see(number uint64) bool {
	if number > l.number {
		l.seen = l.seen<<(number-l.number) | 1
		l.number = number
		return true
	}
	bit := uint64(1) << (l.number - number)
	if l.left || l.number-number >= seenDraws || l.seen&bit != 0 {
		return false
	}
	l.seen |= bit
	return true
}

// count counts the lenders whose leases hold, now and then.
func (s *shard) count(now time.Time, entries int, changed bool) {
	if !changed && now.Sub(s.counted) < countTime {
		return
	}
	s.counted, s.entries = now, entries
	lent := 0
	for from, l := range s.lenders {
		switch {
		case now.Sub(l.last) > l.lease:
			s.remove(from)
		case !l.left:
			lent++
		}
	}
	s.lend(min(1, float64(lent)/float64(max(entries, 1))))
}

// lend notes the part of the quota that is lent from now on.
func (s *shard) lend(part float64) {
	if part > s.lent {
		s.rises = append(s.rises, rise{s.accrued, s.lent})
	}
	if len(s.rises) > mostRises {
		// The two oldest as one, which brings no balance more than they did.
		s.rises[1].lent = min(s.rises[0].lent, s.rises[1].lent)
		s.rises = slices.Delete(s.rises, 0, 1)
	}
	s.lent = part
}

// remove forgets a lender; the credit that it holds stays taken off.
func (s *shard) remove(from string) {
	for name, held := range s.lenders[from].held {
		s.accounts[name].held -= held
	}
	delete(s.lenders, from)
}

// grant answers one need.
func (s *shard) grant(l *lender, known bool, need *fleetv1.Need, account *fleetv1.Account, margin mtmargin.Margin) *fleetv1.Credit {
	full := mtmargin.Burst(account) * s.lent
	b := s.accounts[need.GetAccount()]
	if known {
		b.level += float64(max(0, need.GetReturned()))
	}
	b.level = min(b.level, b.room(full, margin))
	b.level -= float64(max(0, need.GetOwed()))
	amount := 0.0
	// A request that fits in part is granted whole: credit that is just short of a large
	// request would always go to smaller ones. What entries hold counts as left.
	waiting := float64(max(0, need.GetWaiting()))
	if waiting > 0 && b.level > -b.held && waiting <= b.level+margin.Overdraw()*s.lent {
		amount = waiting
		b.level -= waiting
	}
	ahead := min(float64(max(0, need.GetAhead())), b.level-reserve*full, margin.Parked()+heldPart*full-b.held)
	ahead = max(0, float64(int64(ahead)))
	b.level -= ahead
	b.held += ahead
	l.held[need.GetAccount()] += ahead
	credit := &fleetv1.Credit{Account: need.GetAccount(), Amount: int64(amount + ahead)}
	if waiting > amount {
		credit.Wait = durationpb.New(s.wait(b.level, account))
	}
	return credit
}

// balance returns an account's balance at this moment. One that nobody has asked for has
// accrued since the shard began.
func (s *shard) balance(name string, account *fleetv1.Account, margin mtmargin.Margin) *balance {
	b := s.accounts[name]
	if b == nil {
		b = &balance{}
		s.accounts[name] = b
	}
	for _, r := range s.rises {
		if r.accrued < b.accrued {
			continue
		}
		b.level += account.GetRate() * (r.accrued - b.accrued)
		b.level = min(b.level, max(0, b.room(mtmargin.Burst(account)*r.lent, margin)))
		b.accrued = r.accrued
	}
	b.level += account.GetRate() * (s.accrued - b.accrued)
	b.accrued = s.accrued
	return b
}

// room is the most that a balance may have of a full one: what entries hold beyond the
// margin is a part of the burst.
func (b *balance) room(full float64, margin mtmargin.Margin) float64 {
	return full - max(0, b.held-margin.Parked())
}

// reportHeld takes in what a lender says that it holds.
func (b *balance) reportHeld(l *lender, need *fleetv1.Need) {
	held := float64(max(0, need.GetHeld()))
	b.held += held - l.held[need.GetAccount()]
	l.held[need.GetAccount()] = held
}

// wait is the time until a balance is above zero, at what is lent now.
func (s *shard) wait(level float64, account *fleetv1.Account) time.Duration {
	rate := account.GetRate() * max(s.lent, leastLent)
	return max(leastWait, time.Duration(max(0, -level)/rate*float64(time.Second)))
}

// Retain forgets all accounts but some. One that comes back has its burst.
func (a *Allocator) Retain(kept func(name string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.shards {
		for name := range s.accounts {
			if kept(name) {
				continue
			}
			delete(s.accounts, name)
			for _, l := range s.lenders {
				delete(l.held, name)
			}
		}
	}
}
