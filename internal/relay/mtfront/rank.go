package mtfront

// rank is the account's where it has one, else the route's.
func (r *request) rank() int32 {
	if r.account != nil && r.account.Rank != nil {
		return r.account.GetRank()
	}
	return r.route.GetRank()
}

// ranked reports whether the request's service places and admits requests by rank.
func (r *request) ranked() bool { return r.ranking != nil }

// background reports whether the request is background work of a service that ranks its requests.
func (r *request) background() bool {
	return r.ranked() && r.ranking.Background(r.route)
}

// urgency is the rank at which targets admit the request. Of two requests of the same rank, that of
// the more urgent route goes first, where the service ranks its requests: most accounts have the
// same rank, which would else hide the ranks of the routes.
func (r *request) urgency() int32 {
	if r.ranked() {
		return r.ranking.Urgency(r.rank(), r.route)
	}
	return r.rank()
}

// class is the one by which the request is admitted.
func (r *request) class() int32 { return r.ranking.Class(r.rank(), r.route) }
