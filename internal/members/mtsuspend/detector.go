// Package mtsuspend finds out that the process was suspended.
//
// The steady clock does not count the time of a suspension, so that leases which ended
// meanwhile seem to hold; the time of day does.
package mtsuspend

import "time"

// least is the difference between the steps of both clocks that shows a suspension, or
// that the time of day was set.
const least = 100 * time.Millisecond

// Detector compares the clocks. It is not safe for concurrent use.
type Detector struct{ looked time.Time }

// New returns a detector that compares from now on.
func New() *Detector { return &Detector{looked: time.Now()} }

// Suspended says that the process was suspended, or its clock set, since the last call.
func (d *Detector) Suspended() bool {
	now := time.Now()
	gap := now.Round(0).Sub(d.looked.Round(0)) - now.Sub(d.looked)
	d.looked = now
	return gap > least || gap < -least
}
