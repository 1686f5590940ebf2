// Package mtledger decides when the ages of published weights are written to the store.
//
// Ages in the store survive the loss of all processes. The age of a version is written a few
// times while targets with older weights may still be used, and not at all afterwards.
package mtledger

import (
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// writesPerVersion is how many times the age of one version is written.
const writesPerVersion = 4

// key identifies a version of a model.
type key struct {
	model   string
	version int64
}

// Ledger tracks the ages that one process knows to be in the store. It is not safe for
// concurrent use.
type Ledger struct {
	gracePeriod time.Duration
	revision    int64
	stored      map[key]time.Duration
}

// New returns the ledger of an empty store. gracePeriod is how long after the publication of
// newer weights a run may begin on older ones.
func New(gracePeriod time.Duration) *Ledger { return &Ledger{gracePeriod: gracePeriod} }

// RecordStored records the content of the store at a revision.
func (l *Ledger) RecordStored(namings *fleetv1.Namings, revision int64) {
	l.revision = revision
	l.stored = map[key]time.Duration{}
	for _, weights := range namings.GetWeights() {
		for _, age := range weights.GetAges() {
			l.stored[key{weights.GetModel(), age.GetVersion()}] = age.GetAge().AsDuration()
		}
	}
}

// Revision returns the revision of the object in the store; 0 if there is none.
func (l *Ledger) Revision() int64 { return l.revision }

// WriteDue reports whether the ages of published weights have to be written.
func (l *Ledger) WriteDue(published []*fleetv1.Weights) bool {
	interval := l.gracePeriod / writesPerVersion
	for _, weights := range published {
		for _, age := range weights.GetAges() {
			stored := l.stored[key{weights.GetModel(), age.GetVersion()}]
			if interval > 0 && min(age.GetAge().AsDuration(), l.gracePeriod)-stored >= interval {
				return true
			}
		}
	}
	return false
}
