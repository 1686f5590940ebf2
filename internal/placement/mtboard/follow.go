package mtboard

import (
	"cmp"
	"slices"
)

// sort puts the engines of each service in the order of their hashes, and chooses
// whose caches are followed.
func (b *Board) sort() {
	b.services = map[string][]*record{}
	for _, r := range b.records {
		service := r.target.GetService()
		b.services[service] = append(b.services[service], r)
	}
	for _, records := range b.services {
		slices.SortFunc(records, func(x, y *record) int { return cmp.Compare(x.hash, y.hash) })
		b.follow(records)
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
