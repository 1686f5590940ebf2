// Package mtdeparture keeps which targets have said themselves that they leave.
//
// A target's own word holds whatever its entry in the store or its sidecar says later:
// both may lag behind, and the store may be away. It ends only where the program has
// started anew under its id.
package mtdeparture

import (
	"time"
)

// most bounds the targets that are kept: some have left for good and are not listed
// again.
const most = 4096

// Departures are those that one process has heard of. It is not safe for concurrent use.
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

// Note takes in that a target leaves, with the start of its program as far as it is
// known. It reports whether that is news.
func (d *Departures) Note(target string, born int64) bool {
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

// Started takes in when a target's program was started, 0 for not known: a later start
// than that of the program that leaves is another one. An earlier one is old news. The
// first start that is heard of a target is that of the program that leaves.
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
