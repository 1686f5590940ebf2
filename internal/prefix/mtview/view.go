// Package mtview maintains a sidecar's view of its target's prefix cache.
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
	pending     map[[mtchain.MarkSize]byte]pendingMark
	learned     map[[mtchain.MarkSize]byte]time.Time
	generation  uint64
	shortfalls  int
	open        bool
}

// New returns an empty view of no incarnation.
func New() *View {
	return &View{
		marks:   map[[mtchain.MarkSize]byte]struct{}{},
		pending: map[[mtchain.MarkSize]byte]pendingMark{},
		learned: map[[mtchain.MarkSize]byte]time.Time{},
	}
}

// SetIncarnation resets the view for a new incarnation. The cache of a target that died is gone,
// and a stale mark would count work as cached that must be done again. It reports whether
// the incarnation is new.
func (v *View) SetIncarnation(incarnation string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.incarnation == incarnation {
		return false
	}
	v.incarnation = incarnation
	v.open = false
	v.reset()
	return true
}

// Open records that the target's cache events are being read: from now on the end of the target
// is visible as the end of the event stream. It returns false for another incarnation.
func (v *View) Open(incarnation string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.open = incarnation == v.incarnation
	return v.open
}

// Close resets the view and keeps it empty until Open is called: the target may have died and
// restarted with an empty cache before its incarnation is probed again.
func (v *View) Close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.open = false
	v.reset()
}

// Incarnation returns the incarnation that the view describes, or an empty string before the
// first one.
func (v *View) Incarnation() string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.incarnation
}

// Invalidate resets the view after a gap in the events, as marks removed during the gap are unknown.
func (v *View) Invalidate() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reset()
}

func (v *View) reset() {
	clear(v.marks)
	clear(v.pending)
	clear(v.learned)
	v.shortfalls = 0
	v.generation++
}

// Store adds a mark that the given incarnation cached. Marks of other incarnations are ignored.
func (v *View) Store(incarnation string, mark [mtchain.MarkSize]byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if incarnation == v.incarnation && v.open {
		v.marks[mark] = struct{}{}
	}
}

// Remove removes an evicted mark.
func (v *View) Remove(mark [mtchain.MarkSize]byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.marks, mark)
	delete(v.learned, mark)
	if p, ok := v.pending[mark]; ok {
		v.pending[mark] = pendingMark{count: p.count, removed: true}
	}
}

// cached reports whether the target has a mark cached.
func (v *View) cached(mark [mtchain.MarkSize]byte, now time.Time) bool {
	if _, stored := v.marks[mark]; stored {
		return true
	}
	expires, learned := v.learned[mark]
	return learned && now.Before(expires)
}

// Match returns the number of leading marks of a chain that the target has cached.
func (v *View) Match(chain mtchain.Chain) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	now := time.Now()
	for i := range chain.Len() {
		if !v.cached(chain.At(i), now) {
			return i
		}
	}
	return chain.Len()
}

// Len returns the number of marks that cache events have added.
func (v *View) Len() int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return len(v.marks)
}
