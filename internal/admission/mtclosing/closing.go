// Package mtclosing decides what a stopping entry still takes and when those
// whom it refuses should come back.
//
// The pattern: every entry of a small fleet is told to stop within seconds, and
// long streams keep each of them up to the end of its grace time. Without this,
// an entry that waits for its streams has closed its doors: callers whom the
// balancer still sends find no connection, and no word of when to come back. A
// fifth of the requests of such a minute failed.
package mtclosing

import "time"

const (
	// margin is what a request must leave between the end of its own time and the
	// end of the process: its answer still has to reach the caller.
	margin = 300 * time.Millisecond
	// readTime and tokenTime bound what a model's answer takes where nothing but
	// planned work disturbs it: half a second for what waits before it, one for a
	// load of weights in the middle; and twice the usual pace of a token, as
	// long prompts are read between them.
	readTime  = 1500 * time.Millisecond
	tokenTime = 14 * time.Millisecond
	// elsewhere is when a caller should come back where other entries take
	// requests: at once, over a new connection, which leads to them.
	elsewhere = 10 * time.Millisecond
	// replaced is how long after an entry's end the balancer sends callers to the
	// process in its place: 0.3 s to start and to read configuration and targets,
	// and a second until the balancer's next look.
	replaced = 1300 * time.Millisecond
)

// Closing is the stop of one entry. The zero value stands for none.
type Closing struct {
	end time.Time
}

// Until returns the stop of an entry that is gone at a time at the latest.
func Until(end time.Time) Closing { return Closing{end: end} }

// Left is how long the entry runs at most, from now on.
func (c Closing) Left(now time.Time) time.Duration { return c.end.Sub(now) }

// Takes says whether a request may still be begun whose time, its caller's or
// its route's, is over at until: only one that can't be cut by the entry's end.
func (c Closing) Takes(until time.Time) bool { return until.Before(c.end.Add(-margin)) }

// TakesAnswer is Takes for a model's answer of so many tokens at most.
func (c Closing) TakesAnswer(now, until time.Time, most int64) bool {
	return c.Takes(until) || most > 0 && c.Takes(now.Add(readTime+time.Duration(most)*tokenTime))
}

// Again is when a refused caller should come back. Others are the ends of the
// other entries, the zero time for one that takes requests.
func (c Closing) Again(now time.Time, others []time.Time) time.Duration {
	first := c.end
	for _, end := range others {
		if end.IsZero() {
			return elsewhere
		}
		if end.Before(first) {
			first = end
		}
	}
	return max(elsewhere, first.Add(replaced).Sub(now))
}
