// Package mtquota admits the requests of client accounts whose quotas hold over the whole
// fleet.
//
// An account that sends many times its quota, through whichever entries its callers reach,
// gets its quota and no more, and the others do not notice. An entry admits from credit that it holds, which it draws from an allocator
// ahead of need; a request for which it has none waits for an answer of the allocator for
// a moment. No entry admits without credit, so the quota holds while processes die,
// freeze or lose sight of each other.
package mtquota

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtmargin"
)

const (
	// askedTime is how long the answer to a draw is waited for.
	askedTime = 2 * time.Second
	// blindTime is when a caller should come back who got no answer of the allocator.
	blindTime = 150 * time.Millisecond
	// blockTime is the least time for which an account without credit draws none.
	blockTime = 25 * time.Millisecond
	// spreadTime is the least time over which those refused come back.
	spreadTime = 400 * time.Millisecond
	// longest bounds the time after which they are told to come back.
	longest = 10 * time.Second
)

// Quota is one entry's part of all accounts' quotas. It is safe for concurrent use; a
// request for which there is credit takes no lock.
type Quota struct {
	self     string
	bounds   *fleetv1.Bounds
	begun    time.Time
	run      uint64
	accounts sync.Map

	// mu guards what follows; a request takes it only where credit is out.
	mu      sync.Mutex
	number  uint64
	shards  []*shard
	pending map[uint64]*pending
	fleet   map[string]time.Time
	ticked  time.Time
	// storedSize and peerSize are the fleet's size as the store and other entries know it;
	// peerSizeAt is when one of these said so.
	storedSize int
	peerSize   int
	peerSizeAt time.Time
	size       atomic.Int64
}

// pending is a draw that was sent.
type pending struct {
	shard *shard
	to    string
	at    time.Time
	// ticket is the request that waits for it, if any.
	ticket *Ticket
	// leaves says that it ends the lease.
	leaves bool
}

// New returns the quotas of the entry at an address, which holds no credit yet.
func New(self string, bounds *fleetv1.Bounds) *Quota {
	now := time.Now()
	q := &Quota{
		self: self, bounds: bounds, begun: now, ticked: now, run: rand.Uint64(),
		pending: map[uint64]*pending{}, fleet: map[string]time.Time{},
	}
	q.size.Store(fewest)
	return q
}

// Admit decides on a request of an account. After Waiting, the ticket's message must be
// sent and Resolve called; after Admitted, Refund where the request has not run.
func (q *Quota) Admit(of *fleetv1.Account, cost int64) Verdict {
	if of.GetRate() <= 0 {
		return Admitted{}
	}
	a := q.account(of)
	a.observe(cost)
	if a.take(cost) {
		return Admitted{}
	}
	if float64(cost) > mtmargin.Burst(of)+mtmargin.Of(of, q.bounds).Overdraw() {
		return q.refuse(a, cost, longest, whyLarge)
	}
	if wait := time.Duration(a.blocked.Load()) - time.Since(q.begun); wait > 0 {
		return q.refuse(a, cost, wait, whyBlocked)
	}
	return q.wait(a, cost)
}

// Resolve decides on a request that waited, whether or not its draw was answered.
func (q *Quota) Resolve(t *Ticket) Verdict {
	q.mu.Lock()
	_, unanswered := q.pending[t.message.draw.GetNumber()]
	granted := t.granted
	t.left = true
	q.mu.Unlock()
	a := t.account
	if granted {
		a.totals.admitted.Add(t.cost)
		return Admitted{}
	}
	a.credit.Add(t.part)
	switch {
	case a.take(t.cost):
		return Admitted{}
	case unanswered:
		return q.refuse(a, t.cost, blindTime, whySilent)
	default:
		return q.refuse(a, t.cost, time.Duration(a.blocked.Load())-time.Since(q.begun), whyUsedUp)
	}
}

// Refund gives back the cost of a request that has not run.
func (q *Quota) Refund(of *fleetv1.Account, cost int64) { q.Settle(of, cost, 0) }

// Settle corrects what a request was charged to what it has cost. What is beyond the
// entry's credit is paid off by the account's next credit, at whichever entry.
func (q *Quota) Settle(of *fleetv1.Account, charged, cost int64) {
	if of.GetRate() <= 0 {
		return
	}
	a := q.account(of)
	a.credit.Add(charged - cost)
	a.totals.admitted.Add(cost - charged)
}

// refuse tells when a request of this size fits, spread so that those who are refused
// together do not return together.
func (q *Quota) refuse(a *account, cost int64, wait time.Duration, why string) Refused {
	a.over.Store(true)
	a.totals.refused.Add(cost)
	fits := time.Duration(float64(cost) / a.limit.Load().GetRate() * float64(time.Second))
	wait = min(longest, max(wait, fits))
	return Refused{again: wait + rand.N(max(wait, spreadTime)), why: why}
}

// wait draws the cost of one request.
func (q *Quota) wait(a *account, cost int64) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.shardOf(a.name)
	if s == nil || s.allocator == "" {
		return q.refuse(a, cost, blindTime, whyNobody)
	}
	t := &Ticket{account: a, cost: cost, part: a.takePart(cost), done: make(chan struct{})}
	t.message = q.draw(s, []*fleetv1.Need{{Account: a.name, Waiting: cost - t.part}}, t)
	return Waiting{ticket: t}
}

// Receive takes in an allocator's answer. One that comes late, twice or from another entry
// than the one that was asked is left out: its credit is lost, never counted twice.
func (q *Quota) Receive(from string, grant *fleetv1.Grant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	open := q.pending[grant.GetNumber()]
	if open == nil || open.to != from {
		return
	}
	delete(q.pending, grant.GetNumber())
	open.shard.heard(open)
	for _, credit := range grant.GetCredits() {
		q.credit(open.ticket, credit)
	}
	if open.ticket != nil {
		close(open.ticket.done)
	}
}

// credit takes in the credit for one account.
func (q *Quota) credit(t *Ticket, credit *fleetv1.Credit) {
	found, ok := q.accounts.Load(credit.GetAccount())
	if !ok {
		return
	}
	a := found.(*account)
	amount := credit.GetAmount()
	a.totals.drawn.Add(amount)
	if t != nil && !t.left && amount >= t.cost-t.part {
		t.granted = true
		amount -= t.cost - t.part
	}
	a.credit.Add(amount)
	if credit.GetWait() != nil {
		wait := max(blockTime, credit.GetWait().AsDuration())
		a.blocked.Store(int64(time.Since(q.begun) + wait + rand.N(blockTime)))
	}
}
