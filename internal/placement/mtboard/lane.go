package mtboard

import (
	"cmp"
	"slices"
)

// Long prompts among streams of short ones: while an engine reads a long prompt,
// piece by piece, every other stream on it makes a token only after each piece,
// and four tokens an event make a pause that callers see. So each data centre's
// engines are divided into lanes, by a hash on which all entries agree; a
// request leaves its lane where that is faster by laneTokens.
const (
	// longPrompt is the length from which on a prompt belongs to the long lane:
	// two of the pieces in which engines read.
	longPrompt = 2048
	// shortShare is the part of the engines for short prompts: a third of the
	// engines' time at today's mix of both users.
	shortShare = 1.0 / 3
	// laneTokens is what the other lane costs, in tokens that are read: the pauses
	// that a long prompt of 9,000 tokens brings to the streams beside it, spread over
	// their length.
	laneTokens = 3840
)

// divide assigns the engines of each service and data centre to lanes.
func (b *Board) divide() {
	b.services = map[string][]*record{}
	for _, r := range b.records {
		service := r.target.GetService()
		b.services[service] = append(b.services[service], r)
	}
	groups := map[[2]string][]*record{}
	for service, records := range b.services {
		slices.SortFunc(records, func(x, y *record) int { return cmp.Compare(x.hash, y.hash) })
		b.follow(records)
		for _, r := range records {
			k := [2]string{service, r.target.GetDatacentre()}
			groups[k] = append(groups[k], r)
		}
	}
	for _, group := range groups {
		short := int(float64(len(group))*shortShare + 0.5)
		for i, r := range group {
			r.short = i < short
		}
	}
}

// maxFollowed bounds the engines of a service whose caches an entry follows: at
// 140 parts an engine and 50 bytes a part, what a restarted entry is told stays
// below a quarter of a second on a link of 10 Mbit/s.
const maxFollowed = 24

// follow chooses whose caches are followed: those of the entry's data centre
// first.
func (b *Board) follow(records []*record) {
	count := 0
	for _, near := range []bool{true, false} {
		for _, r := range records {
			if (r.target.GetDatacentre() == b.datacentre) != near {
				continue
			}
			r.followed = count < maxFollowed
			count++
		}
	}
}

// long says that the request belongs to the long lane.
func (q *Query) long() bool { return q.ask.GetPrompt() >= longPrompt }

// astray says that the target is of the other lane.
func (r *record) astray(q *Query) bool { return r.short == q.long() }
