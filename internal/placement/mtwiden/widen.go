// Package mtwiden decides on how many targets a hot prefix may live.
//
// It answers the hot key: one dossier that more callers ask for than a target
// can serve. With one home its callers queue while other targets idle. With no
// bound a burst scatters the dossier over the fleet, each target computes it
// and evicts what others need.
//
// The set of homes widens by one when the wait at all of them exceeds the cost
// of computing the prefix elsewhere, and at most once in that cost: until the
// new home has computed it, the next request can't know whether one more is
// needed. It narrows by one after the waits stayed below a quarter for a
// while, so that a prefix near the limit does not swing.
package mtwiden

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// Bounds. Every prefix that is not kept has one home, so that only hot ones
// take memory; the coldest is given up first.
const (
	maxKept = 4096
	// Most bounds the homes of one prefix.
	Most = 16
	// leastPause keeps short prefixes, computed in no time, from widening on
	// each request of a burst.
	leastPause = 50 * time.Millisecond
	// narrowAfter is some ten times the life of a cached block, so that a
	// lull between two bursts does not cost a second computation.
	narrowAfter = 20 * time.Second
	// narrowShare of the computing cost is what waits must stay below.
	narrowShare = 0.25
)

// hot is a prefix with more than one home.
type hot struct {
	width   int
	changed time.Time
	waited  time.Time
}

// Widen holds the hot prefixes' number of homes. It is safe for concurrent
// use.
type Widen struct {
	mu   sync.Mutex
	kept map[uint64]*hot
}

// New returns a state in which every prefix has one home.
func New() *Widen { return &Widen{kept: map[uint64]*hot{}} }

func key(mark [mtchain.MarkSize]byte) uint64 { return binary.LittleEndian.Uint64(mark[:8]) }

// Width is the number of homes of a prefix, 1 or more.
func (w *Widen) Width(mark [mtchain.MarkSize]byte) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h, ok := w.kept[key(mark)]; ok {
		return h.width
	}
	return 1
}

// Waited takes in the shortest expected wait among a prefix's homes and the
// cost of computing it elsewhere, and returns the new number of homes.
func (w *Widen) Waited(mark [mtchain.MarkSize]byte, wait, cost time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	h, kept := w.kept[key(mark)]
	if !kept {
		if wait <= cost {
			return 1
		}
		h = w.keep(key(mark), now)
	}
	if float64(wait) > float64(cost)*narrowShare {
		h.waited = now
	}
	switch {
	case wait > cost && h.width < Most && now.Sub(h.changed) >= max(cost, leastPause):
		h.width++
		h.changed = now
	case now.Sub(h.waited) >= narrowAfter && now.Sub(h.changed) >= narrowAfter:
		h.width--
		h.changed = now
	}
	if h.width == 1 && h.changed.Equal(now) {
		delete(w.kept, key(mark))
	}
	return h.width
}

// keep makes room for one more hot prefix; it widens at once.
func (w *Widen) keep(key uint64, now time.Time) *hot {
	if len(w.kept) >= maxKept {
		w.giveUp(now)
	}
	h := &hot{width: 1, changed: now.Add(-time.Hour), waited: now}
	w.kept[key] = h
	return h
}

// giveUp drops the prefixes that have not waited of late, and some prefix
// where there is none.
func (w *Widen) giveUp(now time.Time) {
	for key, h := range w.kept {
		if now.Sub(h.waited) >= narrowAfter {
			delete(w.kept, key)
		}
	}
	for key := range w.kept {
		if len(w.kept) < maxKept {
			return
		}
		delete(w.kept, key)
	}
}
