package mtquota

import (
	"slices"
	"strings"
	"time"
)

// overTime is how long after a refusal an account counts as over its quota.
const overTime = 2 * time.Second

// Status is what an entry holds of one account's quota.
type Status struct {
	account string
	credit  int64
	demand  float64
	limit   float64
	totals  [3]int64
	over    bool
}

// Account is the account's name.
func (s Status) Account() string { return s.account }

// Credit is what the entry may admit at once.
func (s Status) Credit() int64 { return s.credit }

// Demand is the cost that its callers ask for in a second.
func (s Status) Demand() float64 { return s.demand }

// Limit is the account's rate over the whole fleet.
func (s Status) Limit() float64 { return s.limit }

// Admitted is the cost of the requests admitted since the start.
func (s Status) Admitted() int64 { return s.totals[0] }

// Refused is the cost of the requests refused since the start.
func (s Status) Refused() int64 { return s.totals[1] }

// Drawn is the credit that was granted since the start.
func (s Status) Drawn() int64 { return s.totals[2] }

// Over says that requests of the account were refused of late.
func (s Status) Over() bool { return s.over }

// Accounts lists the accounts in use, by their names.
func (q *Quota) Accounts() []Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Status
	for _, value := range q.accounts.Range {
		a := value.(*account)
		list = append(list, Status{
			account: a.name, credit: a.credit.Load(), demand: a.demand, limit: a.limit.Load().GetRate(), over: !a.exceeded.IsZero() && time.Since(a.exceeded) < overTime,
			totals: [3]int64{a.totals.admitted.Load(), a.totals.refused.Load(), a.totals.drawn.Load()},
		})
	}
	slices.SortFunc(list, func(x, y Status) int { return strings.Compare(x.account, y.account) })
	return list
}

// Allocator is the entry from which an account's credit is drawn, "" for none.
func (q *Quota) Allocator(name string) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.shardOf(name); s != nil {
		return s.lentTo
	}
	return ""
}
