// Package mtentries keeps what an engine's sidecar knows of the entries that use it.
package mtentries

import (
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtbacklog"
)

const (
	// lifetime is how long an entry counts as live after its last word, at the least.
	lifetime = 4 * time.Second
	// lifeRounds is the same in rounds of its greetings: one may be lost, and the next be
	// late.
	lifeRounds = 2.5
	// pendingTime is how long what an entry gave the engine to read counts: it tells at
	// once when that has been read.
	pendingTime = 4 * time.Second
)

// Entries are those that greet one engine. It is not safe for concurrent use.
type Entries struct {
	known map[string]*entry
}

type entry struct {
	last    time.Time
	pending int64
	// backlog is pending by rank, ranked whether the entry wants it told.
	backlog []*fleetv1.Backlog
	ranked  bool
	// round is how often it greets; zero until it has told.
	round time.Duration
	// far says that it stands in another data centre, and sees little of the engine's
	// queue.
	far bool
}

// New returns an empty list.
func New() *Entries { return &Entries{known: map[string]*entry{}} }

// Hear takes in an entry's greeting.
func (e *Entries) Hear(from string, hello *fleetv1.Hello) {
	known := e.known[from]
	if known == nil {
		known = &entry{}
		e.known[from] = known
	}
	known.last, known.pending = time.Now(), hello.GetPending()
	known.backlog, known.ranked = hello.GetBacklog(), hello.GetRanked()
	if hello.GetTurn() != nil {
		known.far, known.round = hello.GetFar(), hello.GetRound().AsDuration()
	}
}

// Live counts the entries heard of late and forgets the others.
func (e *Entries) Live() int {
	for from, known := range e.known {
		if !known.live() {
			delete(e.known, from)
		}
	}
	return len(e.known)
}

// live says that the entry was heard of late. Those of other data centres greet so seldom
// in a large fleet that waiting for them would keep the dead for minutes.
func (e *entry) live() bool {
	life := lifetime
	if !e.far {
		life = max(life, time.Duration(lifeRounds*float64(e.round)))
	}
	return time.Since(e.last) <= life
}

// Some names at most so many of them, drawn by the map's order.
func (e *Entries) Some(most int) []string { return e.draw(most, func(*entry) bool { return true }) }

// Near names at most so many of those that greet often, drawn by the map's order.
func (e *Entries) Near(most int) []string {
	return e.draw(most, func(known *entry) bool { return !known.far })
}

func (e *Entries) draw(most int, fits func(*entry) bool) []string {
	var list []string
	for from, known := range e.known {
		if len(list) >= most {
			break
		}
		if fits(known) {
			list = append(list, from)
		}
	}
	return list
}

// HeardNear says that some entry which greets often was heard of late: it sees the queue
// of loads move, and its word on the engine's turn goes before the others'.
func (e *Entries) HeardNear() bool {
	for _, known := range e.known {
		if !known.far && known.live() {
			return true
		}
	}
	return false
}

// Pending are the tokens that all entries but one, "" for none, have given the engine to
// read.
func (e *Entries) Pending(but string) int64 {
	var total int64
	for from, known := range e.known {
		if from != but && time.Since(known.last) <= pendingTime {
			total += known.pending
		}
	}
	return total
}

// Ranked reports whether some entry that was heard of late wants the engine's work by rank.
func (e *Entries) Ranked() bool {
	for _, known := range e.known {
		if known.ranked && known.live() {
			return true
		}
	}
	return false
}

// Backlog is Pending by rank.
func (e *Entries) Backlog(but string) []*fleetv1.Backlog {
	var total mtbacklog.Backlog
	for from, known := range e.known {
		if from != but && time.Since(known.last) <= pendingTime {
			total.Merge(known.backlog)
		}
	}
	return total.Message()
}
