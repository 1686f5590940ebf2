package mtboard

import (
	"fmt"
	"strings"
	"time"
)

// lack is what keeps a target from being considered.
type lack int

const (
	lackNone lack = iota
	lackTried
	lackBuild
	lackLeaving
	lackMisplaced
	lackPaused
	lackLimited
	lackUnreached
	lackSilent
	lackLoading
	lackOutdated
	lacks
)

// reasons are what the lacks are called in logs and refusals.
var reasons = [lacks]string{
	lackTried:     "tried",
	lackBuild:     "of other software versions",
	lackLeaving:   "leaving",
	lackMisplaced: "replaced",
	lackPaused:    "asked for a pause",
	lackLimited:   "at their limits",
	lackUnreached: "unreached of late",
	lackSilent:    "silent",
	lackLoading:   "loading weights",
	lackOutdated:  "with outdated weights",
}

// lack says what keeps the target from being given requests at all.
func (r *record) lack() lack {
	switch {
	case r.leaves():
		return lackLeaving
	case r.misplaced:
		return lackMisplaced
	case r.board.pauses.Remaining(r.target.GetId()) > 0:
		return lackPaused
	case r.board.limiter.Wait(r.target.GetId()) > 0:
		return lackLimited
	case time.Now().Before(r.faults.out):
		return lackUnreached
	case r.fresh() && !r.state.GetAnswers():
		return lackSilent
	case r.fresh() && r.state.GetOrdering():
		return lackLoading
	default:
		return lackNone
	}
}

// usable says that the target may be given requests at all.
func (r *record) usable() bool { return r.lack() == lackNone }

// unfit counts the targets that were not considered, by what they lack.
type unfit [lacks]int

func (u *unfit) String() string {
	var parts []string
	for l, count := range u {
		if lack(l) != lackNone && count > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", count, reasons[l]))
		}
	}
	return strings.Join(parts, ", ")
}

// Unfit says how many of the service's targets were not considered, and why;
// empty where all were.
func (c *Choice) Unfit() string { return c.unfit.String() }

// Lacks says why no target could be chosen: how many of the service's are known
// and what keeps each from use.
func (b *Board) Lacks(q *Query) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all unfit
	known := 0
	for _, l := range b.weighing(q).candidates() {
		all[l]++
		known++
	}
	return fmt.Sprintf("%d known: %s", known, all.String())
}

// RetryAfter is when a request that no target can take should come back, where all that do not
// leave have asked for a pause or are at their limits: when the first of them takes requests
// again. 0 where others may take it sooner.
func (b *Board) RetryAfter(q *Query) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var first time.Duration
	for _, r := range b.services[q.service.GetName()] {
		left := max(b.pauses.Remaining(r.target.GetId()), b.limiter.Wait(r.target.GetId()))
		switch {
		case r.leaves() || q.foreign(r):
		case left == 0:
			return 0
		case first == 0 || left < first:
			first = left
		}
	}
	return first
}
