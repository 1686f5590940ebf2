package mtboard

import (
	"cmp"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Probing addresses fleets of hundreds of engines and entries. There, an entry's view of an
// engine is on average most of a second old, which is some ten prompts of other entries. All
// entries then choose the engine that looked idle: callers wait there while other engines idle.
// The engines that look best are therefore probed before one is chosen, which costs messages in
// proportion to requests rather than to entries times engines.

const (
	// currentTTL is how long a sidecar's state counts as current. An engine prefills a thousand
	// tokens in that time.
	currentTTL = 25 * time.Millisecond
	// probeBackoff is how long a sidecar that did not answer is not probed again, as each request
	// would wait for a dead one. It doubles with each further unanswered probe, up to
	// maxProbeBackoff.
	probeBackoff    = 500 * time.Millisecond
	maxProbeBackoff = 8 * time.Second
)

// maxBackoffDoublings is the number of doublings that reaches maxProbeBackoff.
const maxBackoffDoublings = 4

// ProbeCandidates returns up to limit of the cheapest targets whose sidecars should be probed
// before one is chosen. It returns none if the state of the cheapest is current.
func (b *Board) ProbeCandidates(q *Query, limit int) []*fleetv1.Target {
	if q.model() == "" || b.disabled.probes {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	q.probed = true
	best := make([]recordCost, 0, limit+1)
	for c, why := range b.newEvaluation(q).candidates() {
		if why == unfitNone {
			best = insertBounded(best, recordCost{c.record, c.cost}, limit, func(a, b recordCost) int { return cmp.Compare(a.cost, b.cost) })
		}
	}
	if len(best) == 0 || q.current(best[0].record) {
		return nil
	}
	var toProbe []*fleetv1.Target
	for _, rc := range best {
		if !q.current(rc.record) && time.Now().After(rc.record.backoffUntil) {
			toProbe = append(toProbe, rc.record.target)
		}
	}
	return toProbe
}

// recordCost is a target and its estimated cost.
type recordCost struct {
	record *record
	cost   time.Duration
}

// ProbeFailed records that a target's sidecar did not answer a probe.
func (b *Board) ProbeFailed(q *Query, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[target]; r != nil {
		r.backoffUntil = time.Now().Add(min(maxProbeBackoff, probeBackoff<<min(r.unansweredProbes, maxBackoffDoublings)))
		r.unansweredProbes++
	}
	if q.unresponsive == nil {
		q.unresponsive = map[string]bool{}
	}
	q.unresponsive[target] = true
}

// current reports whether a target's state is as recent as it can be. Where the sidecar is gone,
// nothing is known beyond what this entry has sent to the engine. Such a target counts as
// current, so that it is not passed over: many sidecars may be gone at once.
func (q *Query) current(r *record) bool {
	if !q.probed {
		return false
	}
	if time.Since(r.stateAt) < currentTTL {
		return true
	}
	return !r.fresh() && (q.unresponsive[r.target.GetId()] || time.Now().Before(r.backoffUntil))
}
