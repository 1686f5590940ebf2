package mtquota

import (
	"sync/atomic"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtmargin"
)

// account is what an entry holds of one account's quota. One in use takes about 300
// bytes.
type account struct {
	name string
	// credit is what the entry may admit at once; floor, zero or less, is how far it may
	// go down.
	credit atomic.Int64
	floor  atomic.Int64
	// wanted is the cost of the requests since the last tick.
	wanted atomic.Int64
	// blocked is the time since the entry's start until which there is no credit to draw.
	blocked atomic.Int64
	// demand is the cost that is asked for in a second. Ticks alone use it.
	demand float64
	// largest is the largest request since the last tick, large that of late.
	largest atomic.Int64
	large   float64
	// over says that requests were refused since the last tick, exceeded is when some
	// were refused last.
	over     atomic.Bool
	exceeded time.Time
	limit    atomic.Pointer[fleetv1.Account]
	totals   totals
}

// totals count an account's cost.
type totals struct{ admitted, refused, drawn atomic.Int64 }

// account returns the entry's part of an account's quota.
func (q *Quota) account(of *fleetv1.Account) *account {
	found, ok := q.accounts.Load(of.GetName())
	if !ok {
		fresh := &account{name: of.GetName()}
		fresh.floor.Store(-int64(mtmargin.Of(of, q.bounds).Debt(q.Entries())))
		found, _ = q.accounts.LoadOrStore(of.GetName(), fresh)
	}
	a := found.(*account)
	if a.limit.Load() != of {
		a.limit.Store(of)
	}
	return a
}

// take takes a cost from the credit.
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

// takePart takes what credit there is, and less than a cost.
func (a *account) takePart(cost int64) int64 {
	for {
		credit := a.credit.Load()
		some := min(max(0, credit), cost-1)
		if a.credit.CompareAndSwap(credit, credit-some) {
			return max(0, some)
		}
	}
}

// observe notes what a request asks.
func (a *account) observe(cost int64) {
	a.wanted.Add(cost)
	for {
		largest := a.largest.Load()
		if cost <= largest || a.largest.CompareAndSwap(largest, cost) {
			return
		}
	}
}

// Blocked is how long an account that has used up its quota draws no credit; 0 where it may
// ask for some.
func (q *Quota) Blocked(name string) time.Duration {
	found, ok := q.accounts.Load(name)
	if !ok || found.(*account).credit.Load() > 0 {
		return 0
	}
	return max(0, time.Duration(found.(*account).blocked.Load())-time.Since(q.begun))
}

// Retain forgets all accounts but some.
func (q *Quota) Retain(kept func(name string) bool) {
	for name := range q.accounts.Range {
		if !kept(name.(string)) {
			q.accounts.Delete(name)
		}
	}
}
