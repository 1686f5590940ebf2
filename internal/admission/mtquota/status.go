package mtquota

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// overTime is how long after a refusal an account counts as over its quota.
const overTime = 2 * time.Second

// Usages lists the accounts in use here, by their names.
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

// Usage returns that of one account, empty where it is not in use here.
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
		Over: !a.exceeded.IsZero() && time.Since(a.exceeded) < overTime,
	}
	if s := q.shardOf(a.name); s != nil && s.allocator != "" && !s.answered.IsZero() {
		u.Allocator, u.Heard = s.allocator, durationpb.New(time.Since(s.answered))
	}
	return u
}

// Allocator is the entry from which an account's credit is drawn, "" for none.
func (q *Quota) Allocator(name string) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.shardOf(name); s != nil {
		return s.allocator
	}
	return ""
}
