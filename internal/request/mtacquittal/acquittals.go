// Package mtacquittal remembers which components of requests were answered of late: a component
// that crashes targets never is.
package mtacquittal

import (
	"sync/atomic"
	"time"

	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
)

const (
	// slots is the number of components remembered; one that hashes to the slot of another
	// replaces it.
	slots = 8192
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
	slots [slots]atomic.Uint64
}

// New returns an empty memory.
func New() *Acquittals { return &Acquittals{begun: time.Now()} }

// Record records that a request with the component was answered.
func (a *Acquittals) Record(c mtcomponent.Component) {
	a.slot(c).Store(uint64(c)&^timeMask | a.units())
}

// At returns when the component was answered last, and whether that is known.
func (a *Acquittals) At(c mtcomponent.Component) (time.Time, bool) {
	value := a.slot(c).Load()
	if value == 0 || value&^timeMask != uint64(c)&^timeMask {
		return time.Time{}, false
	}
	age := time.Duration((a.units()-value)&timeMask) * timeUnit
	return time.Now().Add(-age), age <= retention
}

// units is the time since the start, never 0.
func (a *Acquittals) units() uint64 { return uint64(time.Since(a.begun)/timeUnit+1) & timeMask }

// slot is chosen by the low bits, which a slot does not hold. The lowest tells parts from whole
// requests and varies little.
func (a *Acquittals) slot(c mtcomponent.Component) *atomic.Uint64 {
	return &a.slots[uint64(c)>>1%slots]
}
