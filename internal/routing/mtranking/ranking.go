// Package mtranking says how a model service ranks its requests.
package mtranking

import (
	"cmp"
	"slices"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// backgroundRanks is by how many ranks a route is less urgent than another of the same service
	// if its requests are background work, which the most urgent overtake. Routes of neighbouring
	// ranks share the service.
	backgroundRanks = 2
	// maxRank is the least urgent rank that is told apart. Targets know ten urgencies, which suffice
	// for three ranks of accounts with three of routes each.
	maxRank = 2
)

// Ranking is how a model service ranks its requests, if its routes serve both urgent requests and
// background work.
type Ranking struct {
	// most is the most urgent rank of its routes.
	most int32
	// classes are those of its requests, see Class.
	classes []int32
}

// New returns the ranking of a service with some routes, nil if none of them is background work to
// another. accounts are those that may send requests.
func New(routes []*fleetv1.Route, accounts []*fleetv1.Account) *Ranking {
	if len(routes) == 0 {
		return nil
	}
	most := slices.MinFunc(routes, func(a, b *fleetv1.Route) int { return cmp.Compare(a.GetRank(), b.GetRank()) })
	r := &Ranking{most: most.GetRank(), classes: []int32{0}}
	for _, route := range routes {
		if !r.Background(route) {
			continue
		}
		r.classes = append(r.classes, r.Class(route.GetRank(), route))
		for _, account := range accounts {
			if account.Rank != nil {
				r.classes = append(r.classes, r.Class(account.GetRank(), route))
			}
		}
	}
	slices.Sort(r.classes)
	r.classes = slices.Compact(r.classes)
	if len(r.classes) == 1 {
		return nil
	}
	return r
}

// Background reports whether a route's requests are background work.
func (r *Ranking) Background(route *fleetv1.Route) bool {
	return route.GetRank()-r.most >= backgroundRanks
}

// Urgency returns the urgency of a request of a rank on a route, 0 the most urgent: the rank goes
// first, then the route's.
func (r *Ranking) Urgency(rank int32, route *fleetv1.Route) int32 {
	return bounded(rank)*(maxRank+1) + bounded(route.GetRank())
}

// Class returns the class by which a request is admitted: 0 unless it is background work, else
// one more than its rank.
func (r *Ranking) Class(rank int32, route *fleetv1.Route) int32 {
	if !r.Background(route) {
		return 0
	}
	return 1 + bounded(rank)
}

// Classes returns the classes of the service's requests, the most urgent first.
func (r *Ranking) Classes() []int32 { return r.classes }

func bounded(rank int32) int32 { return min(maxRank, max(0, rank)) }
