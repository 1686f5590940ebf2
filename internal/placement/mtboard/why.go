package mtboard

import (
	"fmt"
	"strings"
	"time"
)

// unfitReason is why a target is not considered.
type unfitReason int

const (
	unfitNone unfitReason = iota
	unfitTried
	unfitBuild
	unfitLeaving
	unfitWrongProgram
	unfitPaused
	unfitLimited
	unfitUnreachable
	unfitUnresponsive
	unfitLoading
	unfitOutdated
	numUnfitReasons
)

// unfitTexts are the texts of the reasons in logs and refusals.
var unfitTexts = [numUnfitReasons]string{
	unfitTried:        "tried",
	unfitBuild:        "of other software versions",
	unfitLeaving:      "leaving",
	unfitWrongProgram: "replaced",
	unfitPaused:       "asked for a pause",
	unfitLimited:      "at their limits",
	unfitUnreachable:  "recently unreachable",
	unfitUnresponsive: "silent",
	unfitLoading:      "loading weights",
	unfitOutdated:     "with outdated weights",
}

// whyUnfit returns why the target must not be sent any requests.
func (r *record) whyUnfit() unfitReason {
	switch {
	case r.leaving():
		return unfitLeaving
	case r.wrongProgram:
		return unfitWrongProgram
	case r.board.pauses.Remaining(r.target.GetId()) > 0:
		return unfitPaused
	case r.board.limiter.BlockedFor(r.target.GetId()) > 0:
		return unfitLimited
	case time.Now().Before(r.failures.excludedUntil):
		return unfitUnreachable
	case r.fresh() && !r.state.GetAnswers():
		return unfitUnresponsive
	case r.fresh() && r.state.GetOrdering():
		return unfitLoading
	default:
		return unfitNone
	}
}

// usable reports whether the target may be sent requests at all.
func (r *record) usable() bool { return r.whyUnfit() == unfitNone }

// unfit counts the targets that were not considered, by reason.
type unfit [numUnfitReasons]int

func (u *unfit) String() string {
	var parts []string
	for reason, count := range u {
		if unfitReason(reason) != unfitNone && count > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", count, unfitTexts[reason]))
		}
	}
	return strings.Join(parts, ", ")
}

// Unfit describes how many of the service's targets were not considered, and why; "" if all were.
func (c *Choice) Unfit() string { return c.unfit.String() }

// UnfitSummary describes why no target could be chosen: how many of the service's targets are
// known, and why they are unfit.
func (b *Board) UnfitSummary(q *Query) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all unfit
	known := 0
	for _, why := range b.newEvaluation(q).candidates() {
		all[why]++
		known++
	}
	return fmt.Sprintf("%d known: %s", known, all.String())
}

// RetryAfter returns when to retry a request that no target can take, if all that are not leaving
// have asked for a pause or are at their limits: when the first of them takes requests again. It
// returns 0 if others may take it sooner.
func (b *Board) RetryAfter(q *Query) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var first time.Duration
	for _, r := range b.services[q.service.GetName()] {
		left := max(b.pauses.Remaining(r.target.GetId()), b.limiter.BlockedFor(r.target.GetId()))
		switch {
		case r.leaving() || q.wrongBuild(r):
		case left == 0:
			return 0
		case first == 0 || left < first:
			first = left
		}
	}
	return first
}
