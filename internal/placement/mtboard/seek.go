package mtboard

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// seekLeast is the least number of shared tokens for which a prompt's holders are
	// looked for and told: below it reading takes no longer than a fetch.
	seekLeast = 512
	// keeperTime is how long ago a sidecar may have been heard to be a keeper: two of
	// the greetings to other data centres.
	keeperTime = 8 * time.Second
	// keepers is how many processes keep a part's holders: one may be gone, or known
	// to some entries only.
	keepers = 2
	// askedSalts is for how many weights holders are looked for: the newest, and those
	// that engines still serve in a rollout.
	askedSalts = 2
)

// Seeks says that the prompt's holders are worth looking for.
func (b *Board) Seeks(q *Query) bool {
	return q.model() != "" && q.sharedTokens() >= seekLeast && !b.without.directory
}

// Keepers lists the engines whose sidecars keep the holders of the prompt's deepest
// shared part, the first of them first: all entries that hear the same sidecars come to
// the same.
func (b *Board) Keepers(q *Query) []*fleetv1.Target {
	part := deepest(q.ask).GetId()
	b.mu.Lock()
	defer b.mu.Unlock()
	type ranked struct {
		target *fleetv1.Target
		score  uint64
	}
	best := make([]ranked, 0, keepers+1)
	for _, r := range b.services[q.service.GetName()] {
		if !r.attended || time.Since(r.spoke) > keeperTime || time.Now().Before(r.muted) {
			continue
		}
		r := ranked{r.target, xxh3.HashStringSeed(part, r.hash)}
		best = keepBest(best, r, keepers, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	}
	list := make([]*fleetv1.Target, 0, keepers)
	for _, k := range best {
		list = append(list, k.target)
	}
	return list
}

// Salts are those under which the prompt's parts may be cached now, the newest weights'
// first.
func (b *Board) Salts(q *Query) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var versions []int64
	for _, r := range b.services[q.service.GetName()] {
		if v := r.weights(q.model()); !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	slices.SortFunc(versions, func(a, b int64) int { return cmp.Compare(b, a) })
	var salts []string
	for _, v := range versions[:min(askedSalts, len(versions))] {
		salts = append(salts, q.salt(v))
	}
	return salts
}

// Sought takes in who holds the prompt's deepest shared part, and so those before it.
func (b *Board) Sought(q *Query, holders []*fleetv1.Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, holder := range holders {
		b.holders.Believe(holder, q.shared())
		if !holder.GetStore() && b.records[holder.GetTarget()] != nil {
			q.sought = append(q.sought, holder.GetTarget())
		}
	}
}

// Holders lists holders that were found and whose sidecars have not been heard since,
// those of the data centre first.
func (b *Board) Holders(q *Query, most int) []*fleetv1.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var near, far []*fleetv1.Target
	for _, id := range q.sought {
		r := b.records[id]
		switch {
		case r == nil || q.current(r) || time.Now().Before(r.muted):
		case r.target.GetDatacentre() == b.datacentre:
			near = append(near, r.target)
		default:
			far = append(far, r.target)
		}
	}
	near = append(near, far...)
	return near[:min(most, len(near))]
}

// Answered takes in what an engine holds of the prompt's shared parts.
func (b *Board) Answered(q *Query, target string, salts []string, found []*fleetv1.Held) {
	b.holders.Answer(target, salts, q.Parts(), found)
}
