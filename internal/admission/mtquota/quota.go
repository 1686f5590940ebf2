// Package mtquota admits the requests of client accounts whose quotas hold over the whole fleet.
//
// An account that sends many times its quota, through any entries, is admitted up to its quota
// and does not affect other accounts. An entry admits from local credit, which it draws from an
// allocator ahead of need; a request without enough credit waits briefly for the allocator's
// answer. No entry admits without credit, so the quota holds while processes die, freeze or are
// partitioned.
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
	// drawTimeout is how long an entry waits for the answer to a draw.
	drawTimeout = 2 * time.Second
	// unreachableRetryAfter is the least retry delay for callers refused because no allocator
	// answered or none was available.
	unreachableRetryAfter = 150 * time.Millisecond
	// minBlockTime is the shortest time for which an account without credit draws none.
	minBlockTime = 25 * time.Millisecond
	// minRetrySpread is the shortest range over which retry delays are randomized.
	minRetrySpread = 400 * time.Millisecond
	// maxRetryAfter bounds the retry delay before randomization.
	maxRetryAfter = 10 * time.Second
)

// Quota is one entry's part of all accounts' quotas. It is safe for concurrent use; a request
// that finds enough credit takes no lock.
type Quota struct {
	self     string
	bounds   *fleetv1.Bounds
	started  time.Time
	run      uint64
	accounts sync.Map

	// mu guards the fields below, except size, and the demand estimates of accounts. A request
	// locks it only if its account lacks credit.
	mu         sync.Mutex
	lastNumber uint64
	shards     []*shard
	pending    map[uint64]*pendingDraw
	peersSeen  map[string]time.Time
	lastTick   time.Time
	// storedSize and peerSize are the fleet's size as known to the store and to other entries;
	// peerSizeAt is when peerSize was last set.
	storedSize int
	peerSize   int
	peerSizeAt time.Time
	size       atomic.Int64
}

// pendingDraw is a draw that was sent and not yet answered.
type pendingDraw struct {
	shard     *shard
	allocator string
	sent      time.Time
	// ticket is the request that waits for the draw, if any.
	ticket *Ticket
	// releases is set if the draw ends the lease.
	releases bool
}

// New returns the quotas of the entry at address self, which holds no credit yet.
func New(self string, bounds *fleetv1.Bounds) *Quota {
	now := time.Now()
	q := &Quota{
		self: self, bounds: bounds, started: now, lastTick: now, run: rand.Uint64(),
		pending: map[uint64]*pendingDraw{}, peersSeen: map[string]time.Time{},
	}
	q.size.Store(minStartEntries)
	return q
}

// Admit decides on a request of an account. After Waiting, the caller must send the ticket's
// message and call Resolve; after Admitted, it must call Refund if the request did not run.
func (q *Quota) Admit(client *fleetv1.Account, cost int64) Verdict {
	if client.GetRate() <= 0 {
		return Admitted{}
	}
	a := q.account(client)
	a.observe(cost)
	if a.take(cost) {
		return Admitted{}
	}
	if float64(cost) > mtmargin.Burst(client)+mtmargin.Of(client, q.bounds).MaxOverdraft() {
		return q.refuse(a, cost, maxRetryAfter, reasonTooLarge)
	}
	if wait := time.Duration(a.blockedUntil.Load()) - time.Since(q.started); wait > 0 {
		return q.refuse(a, cost, wait, reasonBlocked)
	}
	return q.drawFor(a, cost)
}

// Resolve decides on a request that waited, whether or not its draw was answered.
func (q *Quota) Resolve(t *Ticket) Verdict {
	q.mu.Lock()
	_, unanswered := q.pending[t.message.draw.GetNumber()]
	granted := t.granted
	t.resolved = true
	q.mu.Unlock()
	a := t.account
	if granted {
		a.totals.admitted.Add(t.cost)
		return Admitted{}
	}
	a.credit.Add(t.reserved)
	switch {
	case a.take(t.cost):
		return Admitted{}
	case unanswered:
		return q.refuse(a, t.cost, unreachableRetryAfter, reasonNoAnswer)
	default:
		return q.refuse(a, t.cost, time.Duration(a.blockedUntil.Load())-time.Since(q.started), reasonUsedUp)
	}
}

// Refund returns the cost of a request that did not run.
func (q *Quota) Refund(client *fleetv1.Account, cost int64) { q.Settle(client, cost, 0) }

// Settle replaces the charge for a request by its actual cost. A cost beyond the entry's credit
// is deducted from the account's next credit, at any entry.
func (q *Quota) Settle(client *fleetv1.Account, charged, cost int64) {
	if client.GetRate() <= 0 {
		return
	}
	a := q.account(client)
	a.credit.Add(charged - cost)
	a.totals.admitted.Add(cost - charged)
}

// refuse refuses a request and returns when it is expected to fit. The delay is randomized so
// that callers refused together do not retry together.
func (q *Quota) refuse(a *account, cost int64, wait time.Duration, reason string) Refused {
	a.refusedSinceTick.Store(true)
	a.totals.refused.Add(cost)
	fits := time.Duration(float64(cost) / a.limit.Load().GetRate() * float64(time.Second))
	wait = min(maxRetryAfter, max(wait, fits))
	return Refused{retryAfter: wait + rand.N(max(wait, minRetrySpread)), reason: reason}
}

// drawFor draws the cost of one request and returns Waiting, or Refused if there is no allocator.
func (q *Quota) drawFor(a *account, cost int64) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.shardOf(a.name)
	if s == nil || s.allocator == "" {
		return q.refuse(a, cost, unreachableRetryAfter, reasonNoAllocator)
	}
	t := &Ticket{account: a, cost: cost, reserved: a.takePartial(cost), done: make(chan struct{})}
	t.message = q.newDraw(s, []*fleetv1.Need{{Account: a.name, Waiting: cost - t.reserved}}, t)
	return Waiting{ticket: t}
}

// Receive handles an allocator's answer. A late or duplicate answer, or one from another entry
// than the one asked, is ignored: its credit is lost, but never counted twice.
func (q *Quota) Receive(from string, grant *fleetv1.Grant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.pending[grant.GetNumber()]
	if p == nil || p.allocator != from {
		return
	}
	delete(q.pending, grant.GetNumber())
	p.shard.recordAnswer(p)
	for _, credit := range grant.GetCredits() {
		q.addCredit(p.ticket, credit)
	}
	if p.ticket != nil {
		close(p.ticket.done)
	}
}

// addCredit adds the credit granted to one account and serves the waiting request from it.
func (q *Quota) addCredit(t *Ticket, credit *fleetv1.Credit) {
	found, ok := q.accounts.Load(credit.GetAccount())
	if !ok {
		return
	}
	a := found.(*account)
	amount := credit.GetAmount()
	a.totals.drawn.Add(amount)
	if t != nil && !t.resolved && amount >= t.cost-t.reserved {
		t.granted = true
		amount -= t.cost - t.reserved
	}
	a.credit.Add(amount)
	if credit.GetWait() != nil {
		wait := max(minBlockTime, credit.GetWait().AsDuration())
		a.blockedUntil.Store(int64(time.Since(q.started) + wait + rand.N(minBlockTime)))
	}
}
