package mtquota

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// overQuotaTime is how long after a refusal an account counts as over its quota.
const overQuotaTime = 2 * time.Second

// Usages returns the usage of the accounts in use at this entry, sorted by name.
func (q *Quota) Usages() []*fleetv1.Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []*fleetv1.Usage
	for _, value := range q.accounts.Range {
		list = append(list, q.usage(value.(*account)))
	}
	slices.SortFunc(list, func(x, y *fleetv1.Usage) int { return strings.Compare(x.GetAccount(), y.GetAccount()) })
	return list
}

// Usage returns the usage of one account, or an empty one if it is not in use at this entry.
func (q *Quota) Usage(name string) *fleetv1.Usage {
	found, ok := q.accounts.Load(name)
	if !ok {
		return &fleetv1.Usage{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.usage(found.(*account))
}

func (q *Quota) usage(a *account) *fleetv1.Usage {
	u := &fleetv1.Usage{
		Account: a.name, Rate: a.limit.Load().GetRate(), Demand: a.demand, Held: a.credit.Load(),
		Admitted: a.totals.admitted.Load(), Refused: a.totals.refused.Load(), Drawn: a.totals.drawn.Load(),
		Over: !a.lastRefused.IsZero() && time.Since(a.lastRefused) < overQuotaTime,
	}
	if s := q.shardOf(a.name); s != nil && s.allocator != "" && !s.lastAnswer.IsZero() {
		u.Allocator, u.Heard = s.allocator, durationpb.New(time.Since(s.lastAnswer))
	}
	return u
}

// Allocator returns the entry from which an account's credit is drawn, or "" if there is none.
func (q *Quota) Allocator(name string) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.shardOf(name); s != nil {
		return s.allocator
	}
	return ""
}
