// Package mtledger decides when the ages of named weights are written to the store.
//
// The store is where they survive the loss of all processes. Each age is written a few
// times while targets with older weights may still be used, and never after.
package mtledger

import (
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// steps is how often the age of one version is written.
const steps = 4

// key names a version of a model.
type key struct {
	model   string
	version int64
}

// Ledger is what one process knows of the ages in the store. It is not safe for
// concurrent use.
type Ledger struct {
	allowed  time.Duration
	revision int64
	kept     map[key]time.Duration
}

// New returns the ledger of an empty store; allowed is how long after newer weights were
// named a run may begin on older ones.
func New(allowed time.Duration) *Ledger { return &Ledger{allowed: allowed} }

// Stored notes what the store has at a revision.
func (l *Ledger) Stored(namings *fleetv1.Namings, revision int64) {
	l.revision = revision
	l.kept = map[key]time.Duration{}
	for _, weights := range namings.GetWeights() {
		for _, age := range weights.GetAges() {
			l.kept[key{weights.GetModel(), age.GetVersion()}] = age.GetAge().AsDuration()
		}
	}
}

// Revision is that of the store's object, 0 for none.
func (l *Ledger) Revision() int64 { return l.revision }

// Due says that the ages of named weights are to be written.
func (l *Ledger) Due(named []*fleetv1.Weights) bool {
	step := l.allowed / steps
	for _, weights := range named {
		for _, age := range weights.GetAges() {
			kept := l.kept[key{weights.GetModel(), age.GetVersion()}]
			if step > 0 && min(age.GetAge().AsDuration(), l.allowed)-kept >= step {
				return true
			}
		}
	}
	return false
}
