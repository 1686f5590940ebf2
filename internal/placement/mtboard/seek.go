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
	// keeperTime is how long ago a sidecar of the entry's data centre may have been heard
	// to be a keeper, at the least, and keeperRounds the same in rounds of greetings there.
	keeperTime   = 8 * time.Second
	keeperRounds = 3
	// keepers is how many processes keep a part's holders: one may be gone, or known
	// to some entries only.
	keepers = 2
	// askedSalts is for how many weights holders are looked for: the newest, and those
	// that engines still serve in a rollout.
	askedSalts = 2
)

// seeks says that the prompt's holders are worth looking for.
func (b *Board) seeks(q *Query) bool {
	return q.model() != "" && q.sharedTokens() >= seekLeast && !b.without.directory
}

// Lookups lists the prompt's parts whose holders are to be looked for: the deepest shared
// one, and the first where this entry knows no holder, in a fleet that has more engines than
// an entry follows the caches of. Few prompts share the deepest, and many the first: in a
// fleet of hundreds each entry sees it so seldom that it forgets who holds it. The list is
// made once for each request.
func (b *Board) Lookups(q *Query) []*fleetv1.Part {
	if q.lookups != nil || !b.seeks(q) {
		return q.lookups
	}
	last := deepest(q.ask)
	q.lookups = []*fleetv1.Part{last}
	first := q.shared()[0]
	if first == last || first.GetTokens() < seekLeast {
		return q.lookups
	}
	salts := b.Salts(q)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(salts) > 0 && !b.followsAll(q.service.GetName()) && len(b.holders.Matches(salts[0], q.shared()[:1])) == 0 {
		q.lookups = append(q.lookups, first)
	}
	return q.lookups
}

// followsAll says that the caches of all engines of a service are followed; b is locked.
func (b *Board) followsAll(service string) bool {
	return !slices.ContainsFunc(b.services[service], func(r *record) bool { return !r.followed })
}

// Keepers lists the engines whose sidecars keep the holders of a part of the prompt, the
// first of them first. They are drawn from the list of targets, so that all entries come to
// the same; a sidecar that does not answer is passed over for a while. There are none where
// no sidecar is heard at all. Each sidecar of the data centre is heard after round.
func (b *Board) Keepers(q *Query, part *fleetv1.Part, round time.Duration) []*fleetv1.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	type ranked struct {
		target *fleetv1.Target
		score  uint64
	}
	best := make([]ranked, 0, keepers+1)
	heard, recent := false, max(keeperTime, keeperRounds*round)
	for _, r := range b.services[q.service.GetName()] {
		spoke := r.attended && time.Since(r.spoke) <= recent
		heard = heard || spoke
		if time.Now().Before(r.muted) || !spoke && r.target.GetDatacentre() == b.datacentre {
			continue
		}
		r := ranked{r.target, xxh3.HashStringSeed(part.GetId(), r.hash)}
		best = keepBest(best, r, keepers, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	}
	if !heard {
		return nil
	}
	list := make([]*fleetv1.Target, 0, keepers)
	for _, k := range best {
		list = append(list, k.target)
	}
	return list
}

// SidecarsOf lists the addresses of the model engines whose sidecars store a key, the preferred
// first. They are selected by rendezvous hashing over instances, so that a restart under a new id
// changes nothing. With live set, sidecars that have not answered recently, and those of this data
// centre without a heartbeat, are passed over. round is the heartbeat interval there.
func (b *Board) SidecarsOf(key []byte, most int, live bool, round time.Duration) []string {
	type ranked struct {
		record *record
		score  uint64
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	best := make([]ranked, 0, most+1)
	now, recent := time.Now(), max(keeperTime, keeperRounds*round)
	for _, r := range b.engines {
		score := xxh3.HashSeed(key, r.place)
		full := len(best) == most && score <= best[most-1].score
		if full || live && !r.reachable(now, recent) {
			continue
		}
		best = keepBest(best, ranked{r, score}, most, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	}
	list := make([]string, 0, len(best))
	for _, next := range best {
		list = append(list, next.record.target.GetAddress())
	}
	return list
}

// reachable reports whether the sidecar may be expected to answer.
func (r *record) reachable(now time.Time, recent time.Duration) bool {
	if now.Before(r.muted) {
		return false
	}
	return r.target.GetDatacentre() != r.board.datacentre || r.attended && now.Sub(r.spoke) <= recent
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

// Sought takes in who holds a part of the prompt, and so those before it.
func (b *Board) Sought(q *Query, part *fleetv1.Part, holders []*fleetv1.Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, holder := range holders {
		b.holders.Believe(holder, q.upTo(part))
		if holder.GetStore() || b.records[holder.GetTarget()] == nil {
			continue
		}
		if part == deepest(q.ask) {
			q.sought = append(q.sought, holder.GetTarget())
		} else {
			q.begun = append(q.begun, holder.GetTarget())
		}
	}
}

// Holders lists holders that were found and whose sidecars have not been heard since,
// those of the data centre first; those of the prompt's beginning only where none was found
// that holds more.
func (b *Board) Holders(q *Query, most int) []*fleetv1.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := q.sought
	if len(found) == 0 {
		found = q.begun
	}
	var near, far []*fleetv1.Target
	for _, id := range found {
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
