// Package mtdeparture tracks targets that have announced their shutdown in an answer.
//
// The announcement overrides the target's entry in the store and its sidecar's reports,
// which may lag behind. It is dropped only when a program with a later start time uses the same id.
package mtdeparture

import "time"

// maxTargets limits the number of targets that are tracked; beyond it the oldest is dropped.
const maxTargets = 4096

// Departures are the announcements seen by one process. It is not safe for concurrent use.
type Departures struct {
	targets map[string]departure
}

// departure is the announcement of one target. born is the start time of the departing program in
// Unix milliseconds, 0 if unknown; announced is when this process learned of it.
type departure struct {
	born      int64
	announced time.Time
}

// New returns an empty set of departures.
func New() *Departures { return &Departures{targets: map[string]departure{}} }

// Add records the departure of a target whose program started at born, 0 if unknown. It reports
// whether the departure is new.
func (d *Departures) Add(target string, born int64) bool {
	if d.Has(target) {
		return false
	}
	if len(d.targets) == maxTargets {
		delete(d.targets, d.oldest())
	}
	d.targets[target] = departure{born, time.Now()}
	return true
}

// oldest returns the target whose departure was recorded first.
func (d *Departures) oldest() string {
	oldest := ""
	for target, departure := range d.targets {
		if oldest == "" || departure.announced.Before(d.targets[oldest].announced) {
			oldest = target
		}
	}
	return oldest
}

// Has reports whether the target is departing or has departed.
func (d *Departures) Has(target string) bool {
	_, departing := d.targets[target]
	return departing
}

// SetStartTime records when a target's program started, 0 if unknown. A start later than that of the
// departing program belongs to another program and clears the departure. If the start of the
// departing program is unknown, the first start reported is assumed to be its own.
func (d *Departures) SetStartTime(target string, born int64) {
	known, departing := d.targets[target]
	switch {
	case !departing || born == 0:
	case known.born == 0:
		known.born = born
		d.targets[target] = known
	case born > known.born:
		delete(d.targets, target)
	}
}
