package mtboard

import (
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// without are mechanisms that are left out, to measure what each is worth. Nobody
// who operates a fleet gains by it: each is worth something or guards something.
type without struct {
	// some says that there are any.
	some  bool
	items [items]bool
	// store is that no store of cached parts is used, events that caches are not
	// followed, pace that targets are taken to be alike, speeds that nothing is learned,
	// asks that no sidecar is asked before a choice, and directory that holders are not
	// looked for.
	store, events, pace, speeds, asks, directory bool
}

// billed are the mechanisms that are items of a bill.
var billed = map[string]item{
	"runs":     itemRuns,
	"distance": itemApart,
	"home":     itemStray,
	"waste":    itemWaste,
	"copies":   itemCopy,
	"older":    itemOlder,
	"room":     itemFull,
	"faults":   itemFaults,
}

// Without leaves mechanisms out of all later choices; it is for development only. An
// error names those that can be left out.
func (b *Board) Without(names ...string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	flags := map[string]*bool{
		"store": &b.without.store, "events": &b.without.events,
		"pace": &b.without.pace, "speeds": &b.without.speeds, "asks": &b.without.asks, "directory": &b.without.directory,
	}
	for _, name := range names {
		if flag := flags[name]; flag != nil {
			*flag = true
			continue
		}
		i, ok := billed[name]
		if !ok {
			known := slices.Sorted(maps.Keys(billed))
			known = append(known, slices.Sorted(maps.Keys(flags))...)
			return trace.BadParameter("no mechanism is called %q; there are %s", name, strings.Join(known, ", "))
		}
		b.without.items[i], b.without.some = true, true
	}
	return nil
}

// leave takes the items off a bill that are left out.
func (w *without) leave(b *bill) {
	if !w.some {
		return
	}
	for i, out := range w.items {
		if out {
			b[i] = 0
		}
	}
}
