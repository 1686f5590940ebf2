// Package mtwindow checks that a target gets no more requests than the limit that it has named
// allows, from the entries together that have passed on an answer that named it.
package mtwindow

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// What the platform allows: in any span, so many times what the limit allows and some requests
// more, of entries that were told so long before.
const (
	Span  = 4 * time.Second
	times = 1.5
	slack = 5
	grace = 500 * time.Millisecond
)

// Window checks one target. It is safe for concurrent use.
type Window struct {
	limit float64

	mu     sync.Mutex
	told   map[string]time.Time
	visits []visit

	excuses []excuse
}

// excuse is a time in which an entry's requests do not count.
type excuse struct {
	entry    string
	from, to time.Time
}

// visit is one request that has come from an entry.
type visit struct {
	entry string
	at    time.Time
}

// New returns the check of a target that names a limit of requests a second.
func New(limit float64) *Window { return &Window{limit: limit, told: map[string]time.Time{}} }

// Allowed is the greatest number of requests that may come in a span.
func (w *Window) Allowed() int { return int(times*w.limit*Span.Seconds() + slack) }

// Told notes that an entry has passed on an answer that named the limit.
func (w *Window) Told(entry string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if first, ok := w.told[entry]; !ok || at.Before(first) {
		w.told[entry] = at
	}
}

// Excuse leaves out what comes from an entry between two times: it has restarted, stood still
// or was cut off.
func (w *Window) Excuse(entry string, from, to time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.excuses = append(w.excuses, excuse{entry, from, to})
}

// excused says that a request does not count; w is locked.
func (w *Window) excused(v visit) bool {
	return slices.ContainsFunc(w.excuses, func(e excuse) bool {
		return e.entry == v.entry && !v.at.Before(e.from) && v.at.Before(e.to)
	})
}

// Visit notes a request that has come from an entry.
func (w *Window) Visit(entry string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.visits = append(w.visits, visit{entry, at})
}

// Entries is the number of entries that were told.
func (w *Window) Entries() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.told)
}

// Count is the number of requests that count between two times.
func (w *Window) Count(from, to time.Time) int {
	count := 0
	for _, at := range w.counted() {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// counted are the times of the requests of entries that had been told, in order.
func (w *Window) counted() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []time.Time
	for _, v := range w.visits {
		if told, ok := w.told[v.entry]; ok && !v.at.Before(told.Add(grace)) && !w.excused(v) {
			list = append(list, v.at)
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// Worst is the greatest number of requests that have come in a span.
func (w *Window) Worst() int {
	list, worst, first := w.counted(), 0, 0
	for i, at := range list {
		for at.Sub(list[first]) >= Span {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// Fault says by how much the limit was exceeded; empty where it was not.
func (w *Window) Fault() string {
	if worst := w.Worst(); worst > w.Allowed() {
		return fmt.Sprintf("%d requests in %v from %d entries that were told of a limit of %v a second; %d are allowed",
			worst, Span, w.Entries(), w.limit, w.Allowed())
	}
	return ""
}
