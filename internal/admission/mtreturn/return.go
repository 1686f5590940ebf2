// Package mtreturn decides when a caller should come back whose request could not
// be served for want of something that will return.
//
// The pattern: every entry starts anew while the platform's store is away, and none
// knows a configuration. Callers ask once or twice more. Told to come back at once,
// they are refused again, for good, moments before the store answers; told the
// time that such an outage still takes, most are served.
package mtreturn

import (
	"math/rand/v2"
	"time"
)

const (
	// soon is the least time: a start needs some milliseconds to read what it must
	// know, and a caller that returns sooner finds nothing changed.
	soon = 300 * time.Millisecond
	// usual is how long what is wanted takes at most where nothing is wrong: a
	// hundred times the store's usual answer of 4 ms.
	usual = 400 * time.Millisecond
	// silence is the least for which an outage is told: the shortest last some
	// seconds.
	silence = 1500 * time.Millisecond
	// longest bounds it: nobody waits longer for one answer.
	longest = 10 * time.Second
)

// After returns when to come back to a process that has wanted something for so
// long. Beyond the usual time it is an outage, and one that has lasted some time
// lasts about as long again. Half of the time is random, so that those who were
// refused together do not return together.
func After(wanted time.Duration) time.Duration {
	least := soon
	if wanted > usual {
		least = silence
	}
	pause := min(longest, max(least, wanted))
	return pause*3/4 + rand.N(pause/2)
}
