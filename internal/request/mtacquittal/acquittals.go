// Package mtacquittal remembers which components of requests were answered of late: a component
// that crashes targets never is.
package mtacquittal

import (
	"sync/atomic"
	"time"

	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
)

const (
	// Components are remembered in so many sets by their hash; one that comes to a full set replaces
	// the one answered longest ago. A set is as large as a line of a processor's cache.
	sets    = 1024
	setSize = 8
	// A slot holds the hash above the bits of its time, which counts in units since the start.
	timeBits = 24
	timeMask = 1<<timeBits - 1
	timeUnit = 100 * time.Millisecond
	// retention is how long an answer is remembered. It is short against the time after which
	// the count of units starts over.
	retention = time.Hour
)

// Acquittals holds the time of the last answer of each component. It is safe for concurrent use
// and takes no lock.
type Acquittals struct {
	begun time.Time
	sets  [sets][setSize]atomic.Uint64
}

// New returns an empty memory.
func New() *Acquittals { return &Acquittals{begun: time.Now()} }

// Record records that a request with the component was answered.
func (a *Acquittals) Record(c mtcomponent.Component) {
	now, set := a.units(), a.set(c)
	into, most := &set[0], uint64(0)
	for i := range set {
		value := set[i].Load()
		if value == 0 || same(value, c) {
			into = &set[i]
			break
		}
		if age := (now - value) & timeMask; age > most {
			into, most = &set[i], age
		}
	}
	into.Store(uint64(c)&^timeMask | now)
}

// At returns when the component was answered last, and whether that is known.
func (a *Acquittals) At(c mtcomponent.Component) (time.Time, bool) {
	set := a.set(c)
	for i := range set {
		if value := set[i].Load(); value != 0 && same(value, c) {
			age := time.Duration((a.units()-value)&timeMask) * timeUnit
			return time.Now().Add(-age), age <= retention
		}
	}
	return time.Time{}, false
}

// same reports whether a slot holds a component.
func same(value uint64, c mtcomponent.Component) bool { return value&^timeMask == uint64(c)&^timeMask }

// units is the time since the start, never 0.
func (a *Acquittals) units() uint64 { return uint64(time.Since(a.begun)/timeUnit+1) & timeMask }

// set is chosen by the low bits, which a slot does not hold. The lowest tells parts from whole
// requests and varies little.
func (a *Acquittals) set(c mtcomponent.Component) *[setSize]atomic.Uint64 {
	return &a.sets[uint64(c)>>1%sets]
}
