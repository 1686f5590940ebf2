package mtfront

import (
	"github.com/mustardtide/mustardtide/internal/routing/mtranking"
)

// rank is the account's where it has one, else the route's.
func (r *request) rank() int32 {
	if r.account != nil && r.account.Rank != nil {
		return r.account.GetRank()
	}
	return r.route.GetRank()
}

// ranking returns how the request's service ranks its requests, nil if it does not.
func (r *request) ranking() *mtranking.Ranking {
	return r.front.catalog.Load().Ranking(r.service.GetName())
}

// ranked reports whether the request's service places and admits requests by rank.
func (r *request) ranked() bool { return r.ranking() != nil }

// background reports whether the request is background work of a service that ranks its requests.
func (r *request) background() bool {
	ranking := r.ranking()
	return ranking != nil && ranking.Background(r.route)
}

// urgency is the rank at which targets admit the request. Of two requests of the same rank, that of
// the more urgent route goes first, where the service ranks its requests: most accounts have the
// same rank, which would else hide the ranks of the routes.
func (r *request) urgency() int32 {
	if ranking := r.ranking(); ranking != nil {
		return ranking.Urgency(r.rank(), r.route)
	}
	return r.rank()
}
