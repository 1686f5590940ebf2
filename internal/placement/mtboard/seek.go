package mtboard

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// minLookupTokens is the least number of shared tokens for which a prompt's holders are
	// looked up and announced: below it, prefill takes no longer than a fetch.
	minLookupTokens = 512
	// A sidecar of the entry's data centre must have been heard from within minHeartbeatWindow,
	// or heartbeatWindowRounds heartbeat rounds there if that is longer, to store directory
	// entries.
	minHeartbeatWindow    = 8 * time.Second
	heartbeatWindowRounds = 3
	// directorySidecars is how many sidecars store a part's holders: one may be gone, or known to
	// some entries only.
	directorySidecars = 2
	// maxLookupSalts is for how many versions of the weights holders are looked up: the newest,
	// and those that engines still serve during a rollout.
	maxLookupSalts = 2
)

// worthLookup reports whether the prompt's holders are worth a lookup.
func (b *Board) worthLookup(q *Query) bool {
	return q.model() != "" && q.sharedTokens() >= minLookupTokens && !b.disabled.directory
}

// Lookups returns the prompt's parts whose holders are to be looked up: the deepest shared one,
// and the first if this entry knows no holder of it and does not follow the caches of all
// engines. Few prompts share the deepest part, and many the first. In a fleet of hundreds, each
// entry sees the first so seldom that it forgets who holds it. The list is made once for each
// request.
func (b *Board) Lookups(q *Query) []*fleetv1.Part {
	if q.lookups != nil || !b.worthLookup(q) {
		return q.lookups
	}
	last := deepest(q.ask)
	q.lookups = []*fleetv1.Part{last}
	first := q.shared()[0]
	if first == last || first.GetTokens() < minLookupTokens {
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

// followsAll reports whether the caches of all engines of a service are followed. The caller
// holds the board's lock.
func (b *Board) followsAll(service string) bool {
	return !slices.ContainsFunc(b.services[service], func(r *record) bool { return !r.followed })
}

// DirectorySidecars returns the engines whose sidecars store the holders of a part of the prompt,
// the preferred first. They are selected by rendezvous hashing over the list of targets, so that
// all entries agree; sidecars that do not answer are passed over for a while. It returns none if
// no sidecar is heard from at all. round is the heartbeat interval in the entry's data centre.
func (b *Board) DirectorySidecars(q *Query, part *fleetv1.Part, round time.Duration) []*fleetv1.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	type ranked struct {
		target *fleetv1.Target
		score  uint64
	}
	best := make([]ranked, 0, directorySidecars+1)
	anyAlive, recent := false, max(minHeartbeatWindow, heartbeatWindowRounds*round)
	for _, r := range b.services[q.service.GetName()] {
		alive := r.heartbeatSeen && time.Since(r.lastHeartbeat) <= recent
		anyAlive = anyAlive || alive
		if time.Now().Before(r.backoffUntil) || !alive && r.target.GetDatacentre() == b.datacentre {
			continue
		}
		r := ranked{r.target, xxh3.HashStringSeed(part.GetId(), r.idHash)}
		best = insertBounded(best, r, directorySidecars, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	}
	if !anyAlive {
		return nil
	}
	list := make([]*fleetv1.Target, 0, directorySidecars)
	for _, next := range best {
		list = append(list, next.target)
	}
	return list
}

// SidecarsOf lists the addresses of the model engines whose sidecars store a key, the preferred
// first. They are selected by rendezvous hashing over instances, so that a restart under a new id
// changes nothing. With live set, sidecars that have not answered recently, and those of this data
// centre without a heartbeat, are passed over. round is the heartbeat interval there.
func (b *Board) SidecarsOf(key []byte, limit int, live bool, round time.Duration) []string {
	type ranked struct {
		record *record
		score  uint64
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	best := make([]ranked, 0, limit+1)
	now, recent := time.Now(), max(minHeartbeatWindow, heartbeatWindowRounds*round)
	for _, r := range b.engines {
		score := xxh3.HashSeed(key, r.hostHash)
		full := len(best) == limit && score <= best[limit-1].score
		if full || live && !r.reachable(now, recent) {
			continue
		}
		best = insertBounded(best, ranked{r, score}, limit, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	}
	list := make([]string, 0, len(best))
	for _, next := range best {
		list = append(list, next.record.target.GetAddress())
	}
	return list
}

// reachable reports whether the sidecar may be expected to answer.
func (r *record) reachable(now time.Time, recent time.Duration) bool {
	if now.Before(r.backoffUntil) {
		return false
	}
	return r.target.GetDatacentre() != r.board.datacentre || r.heartbeatSeen && now.Sub(r.lastHeartbeat) <= recent
}

// Salts returns the salts under which the prompt's parts may be cached now, the newest weights'
// first.
func (b *Board) Salts(q *Query) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var versions []int64
	for _, r := range b.services[q.service.GetName()] {
		if v := r.weightsVersion(q.model()); !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	slices.SortFunc(versions, func(a, b int64) int { return cmp.Compare(b, a) })
	var salts []string
	for _, v := range versions[:min(maxLookupSalts, len(versions))] {
		salts = append(salts, q.salt(v))
	}
	return salts
}

// SetPartition moves a request to another partition of cached parts, in which nothing has been looked
// up yet.
func (b *Board) SetPartition(q *Query, partition string) {
	if q.partition == partition {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	q.partition = partition
	q.lookups, q.fullHolders, q.prefixHolders = nil, nil, nil
}

// AddHolders records the holders found for a part of the prompt; they hold the parts before it
// too.
func (b *Board) AddHolders(q *Query, part *fleetv1.Part, holders []*fleetv1.Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, holder := range holders {
		b.holders.MergeHint(holder, q.upTo(part))
		if holder.GetStore() || b.records[holder.GetTarget()] == nil {
			continue
		}
		if part == deepest(q.ask) {
			q.fullHolders = append(q.fullHolders, holder.GetTarget())
		} else {
			q.prefixHolders = append(q.prefixHolders, holder.GetTarget())
		}
	}
}

// UnconfirmedHolders returns up to limit holders that were found and whose state is not current,
// those of the entry's data centre first. Those that hold only the prompt's first part are
// returned if no other was found.
func (b *Board) UnconfirmedHolders(q *Query, limit int) []*fleetv1.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := q.fullHolders
	if len(found) == 0 {
		found = q.prefixHolders
	}
	var near, far []*fleetv1.Target
	for _, id := range found {
		r := b.records[id]
		switch {
		case r == nil || q.current(r) || time.Now().Before(r.backoffUntil):
		case r.target.GetDatacentre() == b.datacentre:
			near = append(near, r.target)
		default:
			far = append(far, r.target)
		}
	}
	near = append(near, far...)
	return near[:min(limit, len(near))]
}

// RecordHeld records which of the prompt's shared parts an engine holds.
func (b *Board) RecordHeld(q *Query, target string, salts []string, found []*fleetv1.Held) {
	b.holders.ApplyReply(target, salts, q.SharedParts(), found)
}
