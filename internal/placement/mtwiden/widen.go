// Package mtwiden decides how many homes a hot prefix has.
//
// A hot prefix is one that more callers ask for than a single target can serve.
// With one home its callers queue while other targets are idle. Without a limit, a
// burst spreads the prefix over the whole fleet, where each target computes it and
// evicts blocks that other requests need.
//
// A prefix gets one more home when the wait at all its homes exceeds the cost of
// computing it elsewhere, and at most one more within that time: until the new
// home has computed the prefix, it is unknown whether another one is needed. It
// loses a home after the waits have stayed at or below a quarter of the cost for a
// while, so that the number of homes does not oscillate near the limit.
package mtwiden

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// A prefix that is not tracked has one home, so that only hot prefixes take
// memory. Those that have not made a request wait recently are evicted first.
const (
	maxTracked = 4096
	// MaxHomes is the maximum number of homes of a prefix.
	MaxHomes = 16
	// minWidenInterval keeps short prefixes, which take almost no time to compute,
	// from widening at each request of a burst.
	minWidenInterval = 50 * time.Millisecond
	// narrowAfter is about ten times the lifetime of a cached block, so that the
	// prefix is not computed a second time after a lull between two bursts.
	narrowAfter = 20 * time.Second
	// narrowThreshold is the share of the computing cost that waits must not exceed for
	// the number of homes to shrink.
	narrowThreshold = 0.25
)

// hotPrefix is the state of a prefix that has more than one home.
type hotPrefix struct {
	// width is the number of homes; widthChanged is when it last changed.
	width        int
	widthChanged time.Time
	// lastWait is when the wait last exceeded the threshold for narrowing.
	lastWait time.Time
}

// Tracker tracks the number of homes of each hot prefix. It is safe for concurrent
// use.
type Tracker struct {
	mu      sync.Mutex
	tracked map[uint64]*hotPrefix
}

// New returns a state in which each prefix has one home.
func New() *Tracker { return &Tracker{tracked: map[uint64]*hotPrefix{}} }

func key(mark [mtchain.MarkSize]byte) uint64 { return binary.LittleEndian.Uint64(mark[:8]) }

// Width returns the number of homes of a prefix, which is at least 1.
func (w *Tracker) Width(mark [mtchain.MarkSize]byte) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p, ok := w.tracked[key(mark)]; ok {
		return p.width
	}
	return 1
}

// Observe records the shortest expected wait among a prefix's homes and the cost of
// computing the prefix elsewhere, and returns the new number of homes.
func (w *Tracker) Observe(mark [mtchain.MarkSize]byte, wait, cost time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	p, tracked := w.tracked[key(mark)]
	if !tracked {
		if wait <= cost {
			return 1
		}
		p = w.track(key(mark), now)
	}
	if float64(wait) > float64(cost)*narrowThreshold {
		p.lastWait = now
	}
	switch {
	case wait > cost && p.width < MaxHomes && now.Sub(p.widthChanged) >= max(cost, minWidenInterval):
		p.width++
		p.widthChanged = now
	case now.Sub(p.lastWait) >= narrowAfter && now.Sub(p.widthChanged) >= narrowAfter:
		p.width--
		p.widthChanged = now
	}
	if p.width == 1 && p.widthChanged.Equal(now) {
		delete(w.tracked, key(mark))
	}
	return p.width
}

// track starts to track a prefix, and evicts others if there is no room. The prefix
// may get a second home at once.
func (w *Tracker) track(key uint64, now time.Time) *hotPrefix {
	if len(w.tracked) >= maxTracked {
		w.evict(now)
	}
	p := &hotPrefix{width: 1, widthChanged: now.Add(-time.Hour), lastWait: now}
	w.tracked[key] = p
	return p
}

// evict removes the prefixes that have not made a request wait recently, and then
// arbitrary ones until there is room.
func (w *Tracker) evict(now time.Time) {
	for key, p := range w.tracked {
		if now.Sub(p.lastWait) >= narrowAfter {
			delete(w.tracked, key)
		}
	}
	for key := range w.tracked {
		if len(w.tracked) < maxTracked {
			return
		}
		delete(w.tracked, key)
	}
}
