package mtboard

import (
	"cmp"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// The load that asking answers is a fleet of hundreds of engines and entries. What an
// entry has heard of an engine is then most of a second old, some ten prompts of other
// entries: all of them take the engine that looked idle, and callers wait there while
// others idle. So the engines that look best are asked before one is chosen, which
// costs by requests, not by entries times engines.

const (
	// currentTime is how long a sidecar's word counts as of this moment: an engine
	// reads a thousand tokens in it.
	currentTime = 25 * time.Millisecond
	// mutedTime is how long a sidecar that did not answer is not asked again: each
	// request would wait for one that is dead. It doubles with each further question
	// without an answer, up to mostMuted.
	mutedTime = 500 * time.Millisecond
	mostMuted = 8 * time.Second
)

// mostDoublings reach mostMuted.
const mostDoublings = 4

// Doubtful lists the cheapest targets, at most so many, whose sidecars should be asked
// before one is chosen; none where the cheapest was heard of just now.
func (b *Board) Doubtful(q *Query, most int) []*fleetv1.Target {
	if q.model() == "" || b.without.asks {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	q.asked = true
	best := make([]weighed, 0, most+1)
	for c, l := range b.weighing(q).candidates() {
		if l == lackNone {
			best = keepBest(best, weighed{c.record, c.cost}, most, func(a, b weighed) int { return cmp.Compare(a.cost, b.cost) })
		}
	}
	if len(best) == 0 || q.current(best[0].record) {
		return nil
	}
	var ask []*fleetv1.Target
	for _, w := range best {
		if !q.current(w.record) && time.Now().After(w.record.muted) {
			ask = append(ask, w.record.target)
		}
	}
	return ask
}

// weighed is a target and its cost.
type weighed struct {
	record *record
	cost   time.Duration
}

// Silent notes that a target's sidecar was asked and did not answer.
func (b *Board) Silent(q *Query, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[target]; r != nil {
		r.muted = time.Now().Add(min(mostMuted, mutedTime<<min(r.unanswered, mostDoublings)))
		r.unanswered++
	}
	if q.silent == nil {
		q.silent = map[string]bool{}
	}
	q.silent[target] = true
}

// current says that a target's state is known as well as it can be. Of an engine
// whose sidecar is gone no more is known than what this entry has sent there: it must
// not be passed over for that, as many sidecars may be gone at once.
func (q *Query) current(r *record) bool {
	if !q.asked {
		return false
	}
	if time.Since(r.heard) < currentTime {
		return true
	}
	return !r.fresh() && (q.silent[r.target.GetId()] || time.Now().Before(r.muted))
}
