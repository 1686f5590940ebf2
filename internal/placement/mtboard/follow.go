package mtboard

import (
	"cmp"
	"slices"
)

// groupByService orders the targets of each service by the hash of their ids, and selects those
// whose caches are followed.
func (b *Board) groupByService() {
	b.services = map[string][]*record{}
	for _, r := range b.records {
		service := r.target.GetService()
		b.services[service] = append(b.services[service], r)
	}
	for _, records := range b.services {
		slices.SortFunc(records, func(x, y *record) int { return cmp.Compare(x.idHash, y.idHash) })
		b.selectFollowed(records)
	}
}

// maxFollowed limits the engines of a service whose caches an entry follows. At 140 parts an
// engine and 50 bytes a part, a restarted entry then receives them in less than a quarter of a
// second on a link of 10 Mbit/s.
const maxFollowed = 24

// selectFollowed selects the engines whose caches are followed, those of the entry's data centre
// first.
func (b *Board) selectFollowed(records []*record) {
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
