// Package mtdeparture tracks targets that have announced their shutdown in an answer.
//
// The announcement overrides the target's entry in the store and its sidecar's reports,
// which may lag behind. It is dropped only when a program with a later start time uses
// the same id.
package mtdeparture

import "time"

// most bounds the number of targets that are tracked.
const most = 4096

// Departures are the announcements seen by one process. It is not safe for concurrent use.
type Departures struct {
	targets map[string]departure
}

// departure is one target's; born is the start of the program that leaves in Unix
// milliseconds, 0 where it is not known.
type departure struct {
	born  int64
	heard time.Time
}

// New returns a list of none.
func New() *Departures { return &Departures{targets: map[string]departure{}} }

// Add records that a target leaves, and when its program was started, 0 for unknown. It
// reports whether that is news.
func (d *Departures) Add(target string, born int64) bool {
	if d.Has(target) {
		return false
	}
	if len(d.targets) == most {
		delete(d.targets, d.oldest())
	}
	d.targets[target] = departure{born, time.Now()}
	return true
}

func (d *Departures) oldest() string {
	oldest := ""
	for target, departure := range d.targets {
		if oldest == "" || departure.heard.Before(d.targets[oldest].heard) {
			oldest = target
		}
	}
	return oldest
}

// Has says that the target leaves or has left.
func (d *Departures) Has(target string) bool {
	_, leaves := d.targets[target]
	return leaves
}

// Started takes in when a target's program was started, 0 for unknown. A later start than
// that of the leaving program is another program's. Where that is unknown, the first start
// reported is taken for it.
func (d *Departures) Started(target string, born int64) {
	known, leaves := d.targets[target]
	switch {
	case !leaves || born == 0:
	case known.born == 0:
		known.born = born
		d.targets[target] = known
	case born > known.born:
		delete(d.targets, target)
	}
}
