package mtquota

import (
	"sync/atomic"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtmargin"
)

// account is the entry's state of one client account. An account in use takes about 300 bytes.
type account struct {
	name string
	// credit is the cost that the entry may admit without a draw. floor, zero or less, is the
	// lowest value that credit may reach.
	credit atomic.Int64
	floor  atomic.Int64
	// requested is the total cost of the requests since the last tick.
	requested atomic.Int64
	// blockedUntil is the time, as an offset from Quota.started, before which no credit is drawn.
	blockedUntil atomic.Int64
	// demand is the average cost requested per second. Quota.mu guards it.
	demand float64
	// largestSinceTick is the cost of the largest request since the last tick; recentLargest is a
	// maximum that decays over time.
	largestSinceTick atomic.Int64
	recentLargest    float64
	// refusedSinceTick is set if requests were refused since the last tick; lastRefused is the
	// last tick that found it set.
	refusedSinceTick atomic.Bool
	lastRefused      time.Time
	limit            atomic.Pointer[fleetv1.Account]
	totals           totals
}

// totals are the cumulative costs of an account.
type totals struct{ admitted, refused, drawn atomic.Int64 }

// account returns the entry's state of a client account and creates it if needed.
func (q *Quota) account(client *fleetv1.Account) *account {
	found, ok := q.accounts.Load(client.GetName())
	if !ok {
		fresh := &account{name: client.GetName()}
		fresh.floor.Store(-int64(mtmargin.Of(client, q.bounds).MaxDebt(q.Entries())))
		found, _ = q.accounts.LoadOrStore(client.GetName(), fresh)
	}
	a := found.(*account)
	if a.limit.Load() != client {
		a.limit.Store(client)
	}
	return a
}

// take deducts a cost from the credit and reports whether there was enough.
func (a *account) take(cost int64) bool {
	for {
		credit := a.credit.Load()
		if credit-cost < a.floor.Load() {
			return false
		}
		if a.credit.CompareAndSwap(credit, credit-cost) {
			a.totals.admitted.Add(cost)
			return true
		}
	}
}

// takePartial deducts the available credit, at most cost-1, and returns the amount deducted.
func (a *account) takePartial(cost int64) int64 {
	for {
		credit := a.credit.Load()
		amount := min(max(0, credit), cost-1)
		if a.credit.CompareAndSwap(credit, credit-amount) {
			return max(0, amount)
		}
	}
}

// observe records the cost of a request for the demand estimate.
func (a *account) observe(cost int64) {
	a.requested.Add(cost)
	for {
		largest := a.largestSinceTick.Load()
		if cost <= largest || a.largestSinceTick.CompareAndSwap(largest, cost) {
			return
		}
	}
}

// BlockedFor returns for how long an account that has used up its quota may draw no credit, or 0 if
// it may draw now.
func (q *Quota) BlockedFor(name string) time.Duration {
	found, ok := q.accounts.Load(name)
	if !ok || found.(*account).credit.Load() > 0 {
		return 0
	}
	return max(0, time.Duration(found.(*account).blockedUntil.Load())-time.Since(q.started))
}

// Retain deletes every account for which keep returns false.
func (q *Quota) Retain(keep func(name string) bool) {
	for name := range q.accounts.Range {
		if !keep(name.(string)) {
			q.accounts.Delete(name)
		}
	}
}
