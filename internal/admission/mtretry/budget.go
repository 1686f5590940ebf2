// Package mtretry bounds how often requests are given to another target.
//
// The load it answers is a service that fails or refuses much: without a budget
// every request is tried as often as the rules allow, just when there is least
// to spare, and an overload of 2 becomes one of 6.
package mtretry

import (
	"math/rand/v2"
	"sync"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

const (
	// defaultShare is the retries per successful request of a service whose
	// settings give none: a tenth adds at most a tenth of load, and one target
	// of ten that fails is made up for.
	defaultShare = 0.1
	// floor is the retries a second that a service has without successes, so
	// that one with a few requests a minute is retried at all.
	floor = 1.0
	// most is what a budget saves up: at a share of the peak of 60 requests a
	// second and entry, the retries of eight seconds, the time in which a crashed
	// target is found and its batch is tried elsewhere.
	most = 50
)

// pauses before a retry of what may have run; the first gives a crash a moment
// to be seen by all, the last stays below a second.
const (
	firstPause = 50 * time.Millisecond
	lastPause  = 800 * time.Millisecond
)

// Budget is one service's at one entry. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	saved float64
	since time.Time
}

// New returns a full budget: a restarted entry meets the failures of the moment.
func New() *Budget { return &Budget{saved: most, since: time.Now()} }

// Succeeded adds what one successful request earns; a share of zero or below
// stands for the default.
func (b *Budget) Succeeded(share float64) {
	if share <= 0 {
		share = defaultShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(most, b.saved+share)
}

// Allow says whether a refused request may go to another target, and takes one
// retry off the budget where it costs something: where the first target may have
// worked on it, or where it refused for want of room and the next may as well. A
// target that is gone or leaving has cost nothing; those tries are bounded by
// the request's own number.
func (b *Budget) Allow(refusal *mtrefusal.Refusal) bool {
	if free(refusal) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.saved = min(most, b.saved+floor*now.Sub(b.since).Seconds())
	b.since = now
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Pause is the wait before the given retry, from 1: none where the request
// provably did not run, and else doubling, each with half of it random, so that
// a crashed target's batch does not move as one.
func Pause(refusal *mtrefusal.Refusal, retry int) time.Duration {
	if refusal.Ran() == mustardtidev1.Ran_NO {
		return 0
	}
	pause := firstPause
	for i := 1; i < retry && pause < lastPause; i++ {
		pause *= 2
	}
	return pause/2 + rand.N(pause)
}

func free(refusal *mtrefusal.Refusal) bool {
	if refusal.Ran() != mustardtidev1.Ran_NO {
		return false
	}
	return refusal.Code() != mtcode.DeadlineTooNear && refusal.Code() != mtcode.QueueFull
}
