// Package mtview is what a sidecar knows of its target's prefix cache.
package mtview

import (
	"sync"
	"time"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// View holds the marks cached by one incarnation of a target. It is safe for
// concurrent use.
type View struct {
	mu          sync.RWMutex
	incarnation string
	marks       map[[mtchain.MarkSize]byte]struct{}
	planned     map[[mtchain.MarkSize]byte]plan
	learned     map[[mtchain.MarkSize]byte]time.Time
	generation  uint64
	strikes     int
	open        bool
}

// New returns an empty view of no incarnation.
func New() *View {
	return &View{
		marks:   map[[mtchain.MarkSize]byte]struct{}{},
		planned: map[[mtchain.MarkSize]byte]plan{},
		learned: map[[mtchain.MarkSize]byte]time.Time{},
	}
}

// Start empties the view for a new incarnation: the cache of a target that
// died is gone, and an entry left over would promise work that must be done
// again. It reports whether the incarnation is new.
func (v *View) Start(incarnation string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.incarnation == incarnation {
		return false
	}
	v.incarnation = incarnation
	v.open = false
	v.empty()
	return true
}

// Open notes that the target's events are read now: from here on an end of the
// target shows as an end of the events. It is false for another incarnation.
func (v *View) Open(incarnation string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.open = incarnation == v.incarnation
	return v.open
}

// Close empties the view until it is opened again: the target may have died
// and be back with an empty cache before anyone asks for its incarnation.
func (v *View) Close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.open = false
	v.empty()
}

// Incarnation is the one that the view speaks of; empty before the first.
func (v *View) Incarnation() string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.incarnation
}

// Void empties the view after a gap in the events: what was removed meanwhile is
// not known.
func (v *View) Void() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.empty()
}

func (v *View) empty() {
	clear(v.marks)
	clear(v.planned)
	clear(v.learned)
	v.strikes = 0
	v.generation++
}

// Store adds a mark that the given incarnation cached; one of an earlier
// incarnation is dropped.
func (v *View) Store(incarnation string, mark [mtchain.MarkSize]byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if incarnation == v.incarnation && v.open {
		v.marks[mark] = struct{}{}
	}
}

// Remove takes a mark away.
func (v *View) Remove(mark [mtchain.MarkSize]byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.marks, mark)
	delete(v.learned, mark)
	if p, ok := v.planned[mark]; ok {
		v.planned[mark] = plan{count: p.count, removed: true}
	}
}

// held says that the target has a mark cached.
func (v *View) held(mark [mtchain.MarkSize]byte, now time.Time) bool {
	if _, stored := v.marks[mark]; stored {
		return true
	}
	until, learned := v.learned[mark]
	return learned && now.Before(until)
}

// Match counts the leading marks of a chain that the target has cached.
func (v *View) Match(chain mtchain.Chain) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	now := time.Now()
	for i := range chain.Len() {
		if !v.held(chain.At(i), now) {
			return i
		}
	}
	return chain.Len()
}

// Len is the number of marks held.
func (v *View) Len() int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return len(v.marks)
}
