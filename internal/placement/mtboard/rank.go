package mtboard

import (
	"github.com/mustardtide/mustardtide/internal/placement/mtbacklog"
)

// chunkTokens is how many tokens of a less urgent prompt an engine may be prefilling when a more
// urgent request arrives. Engines prefill in chunks of one to two thousand tokens and admit by
// urgency between them.
const chunkTokens = 2048

// SetRanked sets the services whose requests are placed by rank.
func (b *Board) SetRanked(services map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ranked = services
}

// queuedAhead returns the number of prompt tokens that are prefilled on the target before those of
// the request: all that wait, or, if the request is placed by rank, those that it does not overtake
// and at most one chunk of the others.
func (r *record) queuedAhead(q *Query) int64 {
	all := r.queuedTokens()
	if !q.ranked {
		return all
	}
	ahead := r.backlog.QueuedAhead(q.rank)
	if r.fresh() {
		others := mtbacklog.Of(r.state.GetBacklog())
		ahead += others.QueuedAhead(q.rank)
		// What entries of an earlier version have sent is not told by rank.
		ahead += max(0, r.state.GetPending()-others.Queued())
	}
	return min(all, ahead+min(chunkTokens, max(0, all-ahead)))
}

// preemptedTokens returns how many tokens of less urgent runs the request would preempt, which are
// then prefilled again.
func (r *record) preemptedTokens(q *Query) int64 {
	report := r.state.GetReport()
	work := mtbacklog.Of(report.GetBacklog())
	if !q.ranked || !r.fresh() || report.GetTotal() == 0 || !work.Known() {
		return 0
	}
	room := int64(maxMemoryShare*float64(report.GetTotal())) - report.GetUsed()
	behind := max(0, report.GetUsed()-work.UsedAhead(q.rank))
	return min(behind, max(0, q.ask.GetPrompt()+q.ask.GetOutput()-room))
}

// FreeShare returns the share of a service's places that are free: of its targets' slots or of their
// memory, whichever is less. It is 0 if no target's state is known.
func (b *Board) FreeShare(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var slots, runs, total, used float64
	for _, r := range b.services[service] {
		if !r.fresh() || !r.usable() {
			continue
		}
		report := r.state.GetReport()
		slots += float64(r.target.GetSlots())
		runs += float64(r.running + r.otherRequests())
		total += float64(report.GetTotal())
		used += float64(report.GetUsed() + r.queuedTokens())
	}
	if slots == 0 || total == 0 {
		return 0
	}
	return max(0, min(1-runs/slots, 1-used/total))
}
