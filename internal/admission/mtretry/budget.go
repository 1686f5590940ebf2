// Package mtretry limits how often requests are retried at another target.
//
// It handles a service that fails or refuses many requests. Without a retry budget every
// request is tried as often as the rules allow, just when capacity is scarcest, and an
// overload by a factor of 2 becomes one by a factor of 6.
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
	// defaultRetryRatio is the number of retries per successful request for a service that
	// configures none. A tenth adds at most a tenth of load and makes up for the failure of
	// one target in ten.
	defaultRetryRatio = 0.1
	// minRetriesPerSecond is the rate that the budget gains without successes, so that a
	// service with a few requests a minute is retried at all.
	minRetriesPerSecond = 1.0
	// maxTokens caps the budget. At the default ratio and a peak of 60 requests a second per
	// entry, it covers the retries of eight seconds, the time in which a crashed target is
	// detected and its batch is retried elsewhere.
	maxTokens = 50
)

// Backoff, before jitter, for requests that may have run. The initial one gives all entries
// time to notice a crash, and the maximum stays below a second.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
)

// Budget is the retry budget of one service at one entry, a token bucket. It is safe for
// concurrent use.
type Budget struct {
	mu       sync.Mutex
	tokens   float64
	refilled time.Time
}

// New returns a full budget, as a restarted entry may face failures that are already under way.
func New() *Budget { return &Budget{tokens: maxTokens, refilled: time.Now()} }

// RecordSuccess adds the retries earned by one successful request. A ratio of zero or below
// stands for the default.
func (b *Budget) RecordSuccess(ratio float64) {
	if ratio <= 0 {
		ratio = defaultRetryRatio
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+ratio)
}

// Allow reports whether a refused request may be retried at another target. It charges one
// retry to the budget if the first target may have worked on the request, or refused it for
// lack of capacity, as the next target may do too. Retries after a target that is gone or
// leaving are free: that target did no work, and the number of attempts per request bounds
// them.
func (b *Budget) Allow(refusal *mtrefusal.Refusal) bool {
	if free(refusal) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(maxTokens, b.tokens+minRetriesPerSecond*now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the backoff before the given retry, counted from 1. It is zero if the request
// provably did not run. Otherwise it doubles with each retry and is jittered by half either
// way, so that a crashed target's batch does not move all at once.
func Backoff(refusal *mtrefusal.Refusal, retry int) time.Duration {
	if refusal.Ran() == mustardtidev1.Ran_NO {
		return 0
	}
	backoff := initialBackoff
	for i := 1; i < retry && backoff < maxBackoff; i++ {
		backoff *= 2
	}
	return backoff/2 + rand.N(backoff)
}

func free(refusal *mtrefusal.Refusal) bool {
	if refusal.Ran() != mustardtidev1.Ran_NO {
		return false
	}
	return refusal.Code() != mtcode.DeadlineTooNear && refusal.Code() != mtcode.QueueFull
}
