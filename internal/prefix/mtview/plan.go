package mtview

import (
	"time"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

const (
	// learnedFor is how long a finished run's prompt counts as cached without
	// an event that says so: engines evict blocks within seconds, and a mark
	// that no event named is not taken away by one.
	learnedFor = 10 * time.Second
	// maxLearned bounds the learned marks; a prompt of 200 KB has 200.
	maxLearned = 1 << 14
	// maxStrikes is how many runs in a row must find less than the view held
	// before it is given up: one may be due to an event that is on its way.
	maxStrikes = 3
)

// plan is a mark that requests taken but not yet computed will cache.
type plan struct {
	count   int
	removed bool
}

// Plan notes that a request with this chain was taken: its target will have
// cached it before a later request is computed. Without it a burst on a cold
// prompt, whose cache events are still to come, is scattered over the targets.
//
// What it returns must be called at the request's end. It reports whether the
// view was sure of the chain all the time: neither emptied nor told of the
// removal of one of its marks.
func (v *View) Plan(chain mtchain.Chain) (done func() bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	generation := v.generation
	if !v.open {
		return func() bool { return false }
	}
	for i := range chain.Len() {
		mark := chain.At(i)
		p := v.planned[mark]
		v.planned[mark] = plan{count: p.count + 1, removed: p.removed}
	}
	return func() bool { return v.settle(generation, chain) }
}

// settle takes a plan back; one from before the last emptying is gone already.
func (v *View) settle(generation uint64, chain mtchain.Chain) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if generation != v.generation {
		return false
	}
	sure := true
	for i := range chain.Len() {
		mark := chain.At(i)
		p := v.planned[mark]
		sure = sure && !p.removed
		if p.count--; p.count > 0 {
			v.planned[mark] = p
		} else {
			delete(v.planned, mark)
		}
	}
	return sure
}

// Promise counts the leading marks of a chain that the target has cached or
// will have when the requests before are computed.
func (v *View) Promise(chain mtchain.Chain) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	now := time.Now()
	for i := range chain.Len() {
		mark := chain.At(i)
		if !v.held(mark, now) && v.planned[mark].count == 0 {
			return i
		}
	}
	return chain.Len()
}

// Learn takes in that a run of an incarnation computed a whole chain: after a
// gap the events of blocks behind unknown parents can't be labelled, and
// without it the view stays blind to prefixes that are asked for all the time.
func (v *View) Learn(incarnation string, chain mtchain.Chain) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if incarnation != v.incarnation || !v.open {
		return
	}
	if len(v.learned) >= maxLearned {
		clear(v.learned)
	}
	until := time.Now().Add(learnedFor)
	for i := range chain.Len() {
		if _, stored := v.marks[chain.At(i)]; !stored {
			v.learned[chain.At(i)] = until
		}
	}
}

// Judge takes in how many marks the view held for a run and how many the
// target then found. It empties the view and reports true when the target
// found less several times in a row: removals were lost without a gap, and what
// else is stale can't be known.
func (v *View) Judge(held, found int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if found >= held {
		v.strikes = 0
		return false
	}
	if v.strikes++; v.strikes < maxStrikes {
		return false
	}
	v.empty()
	return true
}
