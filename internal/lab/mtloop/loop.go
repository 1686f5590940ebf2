// Package mtloop runs the laboratory's events one after another in the order
// of their times, so that a run is the same every time.
package mtloop

import (
	"container/heap"
	"time"
)

// Loop is a queue of events. All of them run on the goroutine of Run, which
// sleeps between them: in a synctest bubble that costs no time, and the
// modules under measurement see the runtime's clock move.
type Loop struct {
	start  time.Time
	count  uint64
	events events
}

// New returns an empty loop that starts now.
func New() *Loop { return &Loop{start: time.Now()} }

// Now is the time since the start.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

// After calls do when so much time has passed. Events of one instant run in
// the order in which they were added.
func (l *Loop) After(wait time.Duration, do func()) {
	l.count++
	heap.Push(&l.events, event{at: l.Now() + max(0, wait), order: l.count, do: do})
}

// Run runs events until there are no more.
func (l *Loop) Run() {
	for len(l.events) > 0 {
		next := heap.Pop(&l.events).(event)
		if wait := next.at - l.Now(); wait > 0 {
			time.Sleep(wait)
		}
		next.do()
	}
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
