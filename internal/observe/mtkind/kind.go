// Package mtkind numbers the events that processes log.
//
// docs/EVENTS.md holds the same catalogue; a test compares them.
package mtkind

import (
	"maps"
	"slices"
	"sync"
)

// Kind is the number of an event. Its thousands name the area: 1 entry,
// 2 sidecar, 3 settings, 4 membership and orders, 5 claims, 6 stand-ins,
// 7 a fleet on the users' platform.
type Kind uint32

// row is what the catalogue says of one event.
type row struct {
	name string
	text string
}

// Name is the event's short name.
func (k Kind) Name() string { return catalogue()[k].name }

// Text says what the event means.
func (k Kind) Text() string { return catalogue()[k].text }

// Known says whether the catalogue has the event.
func (k Kind) Known() bool {
	_, ok := catalogue()[k]
	return ok
}

// All lists the catalogue in the order of its numbers.
func All() []Kind {
	return slices.Sorted(maps.Keys(catalogue()))
}

// catalogue joins the areas' catalogues once.
var catalogue = sync.OnceValue(func() map[Kind]row {
	rows := map[Kind]row{}
	for _, area := range []map[Kind]row{entryRows, sidecarRows, settingsRows, memberRows, claimRows, fleetRows} {
		maps.Copy(rows, area)
	}
	return rows
})
