package mtcrash

import (
	"math/rand/v2"
	"slices"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
)

const (
	// gossipTime is how long what is new is sent to other entries. Within it a digest of each
	// entry has reached all others.
	gossipTime = 5 * time.Second
	// maxGossiped bounds the components in a digest, maxAcquittals the acquittals.
	maxGossiped   = 56
	maxAcquittals = 16
	// maxStored bounds the crashes in the store, maxStoredComponents the components of one.
	maxStored           = 16
	maxStoredComponents = 24
)

// Recent returns what other entries may not know: the crashes of which something is new, the
// newest first, and one older, for entries that have started since.
func (c *Crashes) Recent() []*fleetv1.Crash {
	fresh, old := c.parted()
	slices.SortFunc(fresh, func(x, y *record) int { return y.changedAt.Compare(x.changedAt) })
	if len(old) > 0 {
		fresh = append(fresh, old[rand.N(len(old))])
	}
	var list []*fleetv1.Crash
	left := maxGossiped
	for _, r := range fresh {
		crash := c.encode(r, left, shuffle)
		list = append(list, crash)
		// The target's name takes about as much as a component.
		if left -= len(crash.GetComponents()) + 1; left <= 0 {
			break
		}
	}
	return list
}

// Stored returns the crashes to be kept in the store, the newest first.
func (c *Crashes) Stored() []*fleetv1.Crash {
	records := slices.Clone(c.records)
	slices.SortFunc(records, func(x, y *record) int { return y.at.Compare(x.at) })
	var list []*fleetv1.Crash
	for _, r := range records {
		if crash := c.encode(r, maxStoredComponents, slices.Sort[[]mtcomponent.Component]); len(crash.GetComponents()) > 0 && len(list) < maxStored {
			list = append(list, crash)
		}
	}
	return list
}

func (c *Crashes) parted() (fresh, old []*record) {
	for _, r := range c.records {
		switch {
		case time.Since(r.changedAt) < gossipTime:
			fresh = append(fresh, r)
		case !r.void:
			old = append(old, r)
		}
	}
	return fresh, old
}

// encode returns a crash with at most so many of the components against which it counts, those
// first that were at other crashes too, and else in an order. A crash without components tells of a
// target that failed without any of them.
func (c *Crashes) encode(r *record, most int, order func([]mtcomponent.Component)) *fleetv1.Crash {
	crash := &fleetv1.Crash{Target: r.target, Born: r.born, Age: milliseconds(time.Since(r.at)), Void: r.void}
	if r.void {
		return crash
	}
	var often, once []mtcomponent.Component
	for name := range r.sent {
		switch {
		case !c.suspects(r, name):
		case c.count[name] > 1:
			often = append(often, name)
		default:
			once = append(once, name)
		}
	}
	order(often)
	order(once)
	for _, name := range append(alternate(often), alternate(once)...) {
		if len(crash.GetComponents()) >= most {
			break
		}
		crash.Components = append(crash.Components, uint64(name))
		crash.Sent = append(crash.Sent, milliseconds(r.at.Sub(r.sent[name])))
	}
	return crash
}

// Acquittals returns the acquittals that are new.
func (c *Crashes) Acquittals() []*fleetv1.Acquittal {
	var list []*fleetv1.Acquittal
	for name, last := range c.acquitted {
		if time.Since(last.changedAt) < gossipTime && len(list) < maxAcquittals {
			list = append(list, &fleetv1.Acquittal{Component: uint64(name), Age: milliseconds(time.Since(last.at))})
		}
	}
	return list
}

// alternate returns whole requests and parts in turn, so that a crash of which not all is told tells
// of both.
func alternate(names []mtcomponent.Component) []mtcomponent.Component {
	var wholes, parts []mtcomponent.Component
	for _, name := range names {
		if name.IsWhole() {
			wholes = append(wholes, name)
		} else {
			parts = append(parts, name)
		}
	}
	list := make([]mtcomponent.Component, 0, len(names))
	for i := range max(len(wholes), len(parts)) {
		if i < len(wholes) {
			list = append(list, wholes[i])
		}
		if i < len(parts) {
			list = append(list, parts[i])
		}
	}
	return list
}

func shuffle(names []mtcomponent.Component) {
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }
