package mtview

import (
	"time"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

const (
	// learnedTTL is how long the prompt of a finished run counts as cached without a cache
	// event. Engines evict blocks within seconds, and a mark that no event has added is not
	// removed by one either.
	learnedTTL = 10 * time.Second
	// maxLearned bounds the number of learned marks; a prompt of 200 KB has 200.
	maxLearned = 1 << 14
	// maxShortfalls is the number of consecutive runs that must find fewer marks cached than
	// the view held before the view is reset. A single one may be due to an event in flight.
	maxShortfalls = 3
)

// pendingMark is a mark that accepted requests will cache once they are computed.
type pendingMark struct {
	count   int
	removed bool
}

// AddPending records that a request with this chain was accepted: the target will have cached
// the chain before it computes a later request. Without it a burst of requests with an
// uncached prompt, whose cache events have not arrived yet, is scattered over the
// targets.
//
// The returned function must be called at the end of the request. It reports whether the view of
// the chain was reliable throughout: the view was not reset and lost none of the chain's marks.
func (v *View) AddPending(chain mtchain.Chain) (done func() bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	generation := v.generation
	if !v.open {
		return func() bool { return false }
	}
	for i := range chain.Len() {
		mark := chain.At(i)
		p := v.pending[mark]
		v.pending[mark] = pendingMark{count: p.count + 1, removed: p.removed}
	}
	return func() bool { return v.removePending(generation, chain) }
}

// removePending removes the pending marks of a finished request. Those from before the last
// reset are gone already.
func (v *View) removePending(generation uint64, chain mtchain.Chain) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if generation != v.generation {
		return false
	}
	reliable := true
	for i := range chain.Len() {
		mark := chain.At(i)
		p := v.pending[mark]
		reliable = reliable && !p.removed
		if p.count--; p.count > 0 {
			v.pending[mark] = p
		} else {
			delete(v.pending, mark)
		}
	}
	return reliable
}

// MatchWithPending returns the number of leading marks of a chain that the target has cached or
// will have cached once earlier requests are computed.
func (v *View) MatchWithPending(chain mtchain.Chain) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	now := time.Now()
	for i := range chain.Len() {
		mark := chain.At(i)
		if !v.cached(mark, now) && v.pending[mark].count == 0 {
			return i
		}
	}
	return chain.Len()
}

// AddComputed records that a run of an incarnation computed a whole chain. After a gap in the
// events, blocks with unknown parents can't be labelled, so without this the view would
// miss prefixes that are requested all the time.
func (v *View) AddComputed(incarnation string, chain mtchain.Chain) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if incarnation != v.incarnation || !v.open {
		return
	}
	if len(v.learned) >= maxLearned {
		clear(v.learned)
	}
	expires := time.Now().Add(learnedTTL)
	for i := range chain.Len() {
		if _, stored := v.marks[chain.At(i)]; !stored {
			v.learned[chain.At(i)] = expires
		}
	}
}

// CheckMatch compares the number of marks that the view held for a run with the number that
// the target found. After several consecutive runs that found fewer, it resets the view
// and returns true: removals were lost without a visible gap, and it is unknown which
// other marks are stale.
func (v *View) CheckMatch(expected, found int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if found >= expected {
		v.shortfalls = 0
		return false
	}
	if v.shortfalls++; v.shortfalls < maxShortfalls {
		return false
	}
	v.reset()
	return true
}
