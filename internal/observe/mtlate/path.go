// Package mtlate attributes a late answer to the stage that took longest.
package mtlate

import "time"

// Stages of a request's way to the first byte of its answer, in the order in which one
// goes before another that took as long. Entry is the reading of the body, the wait for a
// quota's credit and the choice; Again are sends that brought nothing; Queue, Read, Fetch
// and Start are the target's work as it was foreseen, and Unforeseen is what it took beyond
// that.
const (
	Entry = iota
	Again
	Connection
	Queue
	Read
	Fetch
	Start
	Unforeseen
	stages
)

var names = [stages]string{
	Entry: "entry", Again: "again", Connection: "connection", Queue: "queue", Read: "read", Fetch: "fetch",
	Start: "start", Unforeseen: "unforeseen",
}

// pauses is the cause of an answer that began in time and then stood still.
const pauses = "pauses"

// Path is one request's. The zero value is at its beginning.
type Path struct {
	took [stages]time.Duration
}

// Add counts a time as a stage's.
func (p *Path) Add(stage int, took time.Duration) { p.took[stage] += max(0, took) }

// Failed counts a send that brought nothing, from the choice of its target on.
func (p *Path) Failed(took time.Duration) {
	p.took[Connection] = 0
	p.Add(Again, took)
}

// Worked counts the time of a target, with what was foreseen of it. Where it took less than
// that, each stage took as much less.
func (p *Path) Worked(took, queue, read, fetch, start time.Duration) {
	sum := queue + read + fetch + start
	share := 1.0
	if took < sum {
		share = float64(took) / float64(sum)
	}
	for stage, part := range [...]time.Duration{Queue: queue, Read: read, Fetch: fetch, Start: start} {
		p.Add(stage, time.Duration(share*float64(part)))
	}
	p.Add(Unforeseen, took-sum)
}

// Cause is the stage that took longest of an answer whose first byte came later than its
// aim, or the pauses of one that stood still for longer than its gap allows; empty where
// it was in time. An aim or a gap of 0 is none.
func (p *Path) Cause(first, aim, pause, gap time.Duration) string {
	if aim > 0 && first > aim {
		longest := Entry
		for stage, took := range p.took {
			if took > p.took[longest] {
				longest = stage
			}
		}
		return names[longest]
	}
	if gap > 0 && pause > gap {
		return pauses
	}
	return ""
}
