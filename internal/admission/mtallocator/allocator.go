// Package mtallocator grants entries credit from the quotas of client accounts, each of which
// holds over the whole fleet.
//
// Every live entry owns an equal share of each quota and lends it to one allocator for a short
// lease, renewed with each draw. An allocator grants what it was lent to whichever entry asks, in
// absolute amounts that it deducts when it grants them. So the allocators of two halves of a
// partitioned fleet, or of a fleet that disagrees on which entry allocates, together grant no
// more than the quota; an allocator that restarts has no burst to grant again; and credit held by
// an entry that is dead or partitioned is not granted twice.
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
	// MinLeaseTime is the shortest time for which an entry's share stays lent after its last draw,
	// maxLeaseTime the longest.
	MinLeaseTime = 600 * time.Millisecond
	maxLeaseTime = 30 * time.Second
	// shardResetGap is the time without any draw after which a shard starts anew: its lenders
	// have lent their shares to others, or the process was frozen.
	shardResetGap = 500 * time.Millisecond
	// recountInterval is how often the lenders of a shard are counted.
	recountInterval = 20 * time.Millisecond
	// reservedPart is the part of a full balance that is granted to waiting requests only.
	reservedPart = 0.25
	// maxHeldPart is the part of a full balance that entries may hold in addition to the margin.
	maxHeldPart = 0.5
	// minWait is the shortest time to the next credit that is reported to entries.
	minWait = 10 * time.Millisecond
	// minLentPart is the least lent part with which that time is computed, so that it stays
	// finite if hardly anything is lent.
	minLentPart = 1e-3
	// dedupWindow is the number of a lender's last draws that are checked for duplicates.
	dedupWindow = 64
	// maxIncreases bounds the increases that are kept for a shard.
	maxIncreases = 16
)

// Allocator grants the credit of the shards that its entry allocates. It is safe for concurrent
// use.
type Allocator struct {
	bounds *fleetv1.Bounds

	mu        sync.Mutex
	shards    map[uint32]*shard
	suspended *mtsuspend.Detector
}

// shard is a subset of the accounts.
type shard struct {
	lenders  map[string]*lender
	accounts map[string]*balance
	// accrued is the time for which the whole quota was lent, in seconds: half of it lent for two
	// seconds counts as one.
	accrued   float64
	accruedAt time.Time
	// lentPart is the part of the quota that is lent, as of countedAt, in a fleet of the given
	// number of entries.
	lentPart  float64
	countedAt time.Time
	entries   int
	// increases are the latest increases of lentPart, oldest first.
	increases []increase
}

// increase is a point from which on more is lent. Until then, a balance was limited by the part
// of the burst that was lent before, no matter when the balance is next updated.
type increase struct{ accrued, lentBefore float64 }

// lender is an entry that lends its share.
type lender struct {
	run, previous uint64
	// newest is the number of the newest draw. Bit n of seen is set if draw newest-n was
	// received.
	newest   uint64
	seen     uint64
	lastDraw time.Time
	lease    time.Duration
	// released is set once the lender has ended its lease. The lender stays known for the lease's
	// time, so that an earlier draw that arrives late does not start the lease again.
	released bool
	held     map[string]float64
}

// balance is the credit of one account in a shard.
type balance struct {
	level   float64
	accrued float64
	// held is the credit held by all lenders.
	held float64
}

// New returns an allocator to which no entry has lent its share yet.
func New(bounds *fleetv1.Bounds) *Allocator {
	return &Allocator{bounds: bounds, shards: map[uint32]*shard{}, suspended: mtsuspend.New()}
}

// Answer grants what it can of a draw in a fleet of the given number of entries. It returns nil
// for a duplicate draw, one of the previous run, or one that arrives after its lease has ended.
// accounts returns an account by name, or nil if the configuration does not have it.
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
	reordered := draw.GetNumber() < l.newest
	if !reordered {
		l.lastDraw, l.lease = now, min(maxLeaseTime, max(MinLeaseTime, time.Duration(draw.GetLease())*time.Millisecond))
		l.released = draw.GetLeaves()
	}
	s.count(now, entries, !known || l.released)
	grant := &fleetv1.Grant{Shard: draw.GetShard(), Number: draw.GetNumber()}
	for _, need := range draw.GetNeeds() {
		account := accounts(need.GetAccount())
		if account.GetRate() <= 0 {
			grant.Credits = append(grant.Credits, &fleetv1.Credit{Account: need.GetAccount(), Amount: need.GetWaiting()})
			continue
		}
		b := s.balance(need.GetAccount(), account, mtmargin.Of(account, a.bounds))
		if !reordered {
			b.reportHeld(l, need)
		}
		grant.Credits = append(grant.Credits, s.grant(l, known, need, account, mtmargin.Of(account, a.bounds)))
	}
	return grant
}

// shard returns a shard with its accrued time updated to now.
func (a *Allocator) shard(number uint32, now time.Time) *shard {
	s := a.shards[number]
	if s == nil || now.Sub(s.accruedAt) > shardResetGap {
		s = &shard{lenders: map[string]*lender{}, accounts: map[string]*balance{}, accruedAt: now}
		a.shards[number] = s
	}
	s.accrue(now)
	return s
}

// accrue updates the accrued time to now. A lease that has ended since the last count counts up
// to its end, since its share may be lent to another allocator from then on.
func (s *shard) accrue(now time.Time) {
	accrued := now.Sub(s.accruedAt).Seconds() * s.lentPart
	if now.Sub(s.countedAt) > recountInterval {
		var lent time.Duration
		for _, l := range s.lenders {
			if !l.released {
				lent += max(0, min(now.Sub(s.accruedAt), l.lastDraw.Add(l.lease).Sub(s.accruedAt)))
			}
		}
		accrued = min(accrued, lent.Seconds()/float64(max(s.entries, 1)))
	}
	s.accrued += accrued
	s.accruedAt = now
}

// lender returns the entry that draws, and whether this run of it has drawn before. It returns
// nil for a draw that must not be answered.
func (s *shard) lender(from string, draw *fleetv1.Draw) (*lender, bool) {
	previous := uint64(0)
	if l := s.lenders[from]; l != nil {
		switch {
		case draw.GetRun() == l.previous || draw.GetRun() == l.run && !l.firstSeen(draw.GetNumber()):
			return nil, false
		case draw.GetRun() == l.run:
			return l, true
		}
		previous = l.run
		s.remove(from)
	}
	l := &lender{run: draw.GetRun(), previous: previous, newest: draw.GetNumber(), seen: 1, held: map[string]float64{}}
	s.lenders[from] = l
	return l, false
}

// firstSeen records a draw of this run and reports whether it was not received before. A draw
// that arrives out of order counts, but not one sent before the end of a lease.
func (l *lender) firstSeen(number uint64) bool {
	if number > l.newest {
		l.seen = l.seen<<(number-l.newest) | 1
		l.newest = number
		return true
	}
	bit := uint64(1) << (l.newest - number)
	if l.released || l.newest-number >= dedupWindow || l.seen&bit != 0 {
		return false
	}
	l.seen |= bit
	return true
}

// count recounts the lenders with a valid lease and updates lentPart, at most once per
// recountInterval unless changed is set.
func (s *shard) count(now time.Time, entries int, changed bool) {
	if !changed && now.Sub(s.countedAt) < recountInterval {
		return
	}
	s.countedAt, s.entries = now, entries
	lent := 0
	for from, l := range s.lenders {
		switch {
		case now.Sub(l.lastDraw) > l.lease:
			s.remove(from)
		case !l.released:
			lent++
		}
	}
	s.setLentPart(min(1, float64(lent)/float64(max(entries, 1))))
}

// setLentPart sets the part of the quota that is lent from now on.
func (s *shard) setLentPart(part float64) {
	if part > s.lentPart {
		s.increases = append(s.increases, increase{s.accrued, s.lentPart})
	}
	if len(s.increases) > maxIncreases {
		// Merge the two oldest, which gives no balance more than both did.
		s.increases[1].lentBefore = min(s.increases[0].lentBefore, s.increases[1].lentBefore)
		s.increases = slices.Delete(s.increases, 0, 1)
	}
	s.lentPart = part
}

// remove deletes a lender. The credit that it holds remains deducted.
func (s *shard) remove(from string) {
	for name, held := range s.lenders[from].held {
		s.accounts[name].held -= held
	}
	delete(s.lenders, from)
}

// grant returns the credit granted for one need.
func (s *shard) grant(l *lender, known bool, need *fleetv1.Need, account *fleetv1.Account, margin mtmargin.Margin) *fleetv1.Credit {
	full := mtmargin.Burst(account) * s.lentPart
	b := s.accounts[need.GetAccount()]
	if known {
		b.level += float64(max(0, need.GetReturned()))
	}
	b.level = min(b.level, b.maxLevel(full, margin))
	b.level -= float64(max(0, need.GetOwed()))
	amount := 0.0
	// A request that fits in part is granted whole: credit that is just short of a large request
	// would otherwise always go to smaller ones. Credit held by entries counts as available here.
	waiting := float64(max(0, need.GetWaiting()))
	if waiting > 0 && b.level > -b.held && waiting <= b.level+margin.MaxOverdraft()*s.lentPart {
		amount = waiting
		b.level -= waiting
	}
	ahead := min(float64(max(0, need.GetAhead())), b.level-reservedPart*full, margin.HeldCredit()+maxHeldPart*full-b.held)
	ahead = max(0, float64(int64(ahead)))
	b.level -= ahead
	b.held += ahead
	l.held[need.GetAccount()] += ahead
	credit := &fleetv1.Credit{Account: need.GetAccount(), Amount: int64(amount + ahead)}
	if waiting > amount {
		credit.Wait = durationpb.New(s.timeToCredit(b.level, account))
	}
	return credit
}

// balance returns an account's balance as of now. An account that was not asked for yet has
// accrued credit since the shard started.
func (s *shard) balance(name string, account *fleetv1.Account, margin mtmargin.Margin) *balance {
	b := s.accounts[name]
	if b == nil {
		b = &balance{}
		s.accounts[name] = b
	}
	for _, r := range s.increases {
		if r.accrued < b.accrued {
			continue
		}
		b.level += account.GetRate() * (r.accrued - b.accrued)
		b.level = min(b.level, max(0, b.maxLevel(mtmargin.Burst(account)*r.lentBefore, margin)))
		b.accrued = r.accrued
	}
	b.level += account.GetRate() * (s.accrued - b.accrued)
	b.accrued = s.accrued
	return b
}

// maxLevel returns the highest level of a balance with the given full level. What entries hold
// beyond the margin is part of the burst.
func (b *balance) maxLevel(full float64, margin mtmargin.Margin) float64 {
	return full - max(0, b.held-margin.HeldCredit())
}

// reportHeld updates the credit that a lender reports to hold.
func (b *balance) reportHeld(l *lender, need *fleetv1.Need) {
	held := float64(max(0, need.GetHeld()))
	b.held += held - l.held[need.GetAccount()]
	l.held[need.GetAccount()] = held
}

// timeToCredit returns the time until a balance is above zero at the present lentPart.
func (s *shard) timeToCredit(level float64, account *fleetv1.Account) time.Duration {
	rate := account.GetRate() * max(s.lentPart, minLentPart)
	return max(minWait, time.Duration(max(0, -level)/rate*float64(time.Second)))
}

// Retain deletes every account for which keep returns false. An account that comes back starts
// with its burst.
func (a *Allocator) Retain(keep func(name string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.shards {
		for name := range s.accounts {
			if keep(name) {
				continue
			}
			delete(s.accounts, name)
			for _, l := range s.lenders {
				delete(l.held, name)
			}
		}
	}
}
