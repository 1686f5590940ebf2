// Package mtlineage tells which programs answered at an address, one after the other, without the
// address having passed to another service in between.
//
// A platform gives the address of a program that has ended to another service only after a certain
// time. What answers sooner after a program's last sign of life is therefore of its service.
package mtlineage

import (
	"slices"
	"time"

	"github.com/mustardtide/mustardtide/internal/members/mtsuspend"
)

// maxIDs bounds the ids that are kept. A listed id that is older is out of date by as many starts.
const maxIDs = 16

// Lineage follows the programs at one address. It is not safe for concurrent use.
type Lineage struct {
	reuse    time.Duration
	detector *mtsuspend.Detector
	// alive is when the last call that was answered was sent, born the start of the program that
	// answered it in Unix milliseconds, 0 if unknown.
	alive time.Time
	born  int64
	// incarnation changes whenever another program may have come.
	incarnation uint64
	// id is that of the current program, "" while unknown. ids are those of the programs since the
	// address can last have changed hands, the newest last.
	id  string
	ids []string
}

// New returns a lineage without programs. reuse is how long the address of a program that has ended
// stays with its service at least; 0 if that is not known.
func New(reuse time.Duration) *Lineage {
	return &Lineage{reuse: reuse, detector: mtsuspend.New()}
}

// Answered records that the program started at born, 0 if unknown, has just answered a call that
// was sent at a time.
func (l *Lineage) Answered(sent time.Time, born int64) {
	l.bridge(sent)
	if born != l.born {
		l.born = born
		l.renew()
	}
}

// Failed records a call without an answer: another program may answer the next one.
func (l *Lineage) Failed() {
	if l.id != "" {
		l.renew()
	}
}

// Unidentified returns the number of the current incarnation, which changes whenever another program
// may have come, and reports whether its program should be asked for its id.
func (l *Lineage) Unidentified() (incarnation uint64, ask bool) {
	return l.incarnation, l.id == "" && l.reuse > 0 && !l.alive.IsZero()
}

// Identify records the id that a program has just given in answer to a call that was sent at a time,
// in an incarnation (see Unidentified). It reports false if another program may have come since.
func (l *Lineage) Identify(id string, sent time.Time, incarnation uint64) bool {
	l.bridge(sent)
	if incarnation != l.incarnation || id == "" {
		return false
	}
	l.id = id
	l.ids = slices.DeleteFunc(l.ids, func(known string) bool { return known == id })
	l.ids = append(l.ids, id)
	l.ids = l.ids[max(0, len(l.ids)-maxIDs):]
	return true
}

// ID returns the id of the program at the address, "" while it is not known.
func (l *Lineage) ID() string { return l.id }

// Related reports whether the program with an id has been at the address, and the address has
// stayed with its service since.
func (l *Lineage) Related(id string) bool { return slices.Contains(l.ids, id) }

// bridge compares the time since the last sign of life with the time in which the address can't
// change hands. The steady clock does not count a suspension of this process.
func (l *Lineage) bridge(sent time.Time) {
	if suspended := l.detector.Suspended(); suspended || l.alive.IsZero() || time.Since(l.alive) >= l.reuse {
		l.ids = nil
		l.renew()
	}
	if sent.After(l.alive) {
		l.alive = sent
	}
}

func (l *Lineage) renew() {
	l.id = ""
	l.incarnation++
}
