package mtboard

import (
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// disabledMechanisms are mechanisms that are switched off to measure what each is worth.
// Operators gain nothing by it: each mechanism improves or protects something.
type disabledMechanisms struct {
	// anyItems reports whether any cost item is disabled.
	anyItems bool
	items    [numCostItems]bool
	// store disables the store of cached parts, events following caches, pace measuring the
	// latency ratios of targets, speeds learning the engines' speeds, probes probing before a
	// choice, and directory looking up holders.
	store, events, pace, speeds, probes, directory bool
}

// itemsByMechanism are the mechanisms that are items of the cost.
var itemsByMechanism = map[string]costItem{
	"runs":     itemConcurrency,
	"distance": itemDistance,
	"home":     itemNotHome,
	"waste":    itemRedundant,
	"copies":   itemCopy,
	"older":    itemOldWeights,
	"room":     itemNoRoom,
	"preempt":  itemPreempted,
	"faults":   itemFaults,
}

// Disable switches off mechanisms for all later choices. It is for development only. An error
// names the mechanisms that can be disabled.
func (b *Board) Disable(names ...string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	flags := map[string]*bool{
		"store": &b.disabled.store, "events": &b.disabled.events,
		"pace": &b.disabled.pace, "speeds": &b.disabled.speeds, "asks": &b.disabled.probes, "directory": &b.disabled.directory,
	}
	for _, name := range names {
		if flag := flags[name]; flag != nil {
			*flag = true
			continue
		}
		i, ok := itemsByMechanism[name]
		if !ok {
			known := slices.Sorted(maps.Keys(itemsByMechanism))
			known = append(known, slices.Sorted(maps.Keys(flags))...)
			return trace.BadParameter("unknown mechanism %q; known mechanisms are %s", name, strings.Join(known, ", "))
		}
		b.disabled.items[i], b.disabled.anyItems = true, true
	}
	return nil
}

// clearItems zeroes the disabled items of a cost breakdown.
func (d *disabledMechanisms) clearItems(b *costBreakdown) {
	if !d.anyItems {
		return
	}
	for i, out := range d.items {
		if out {
			b[i] = 0
		}
	}
}
