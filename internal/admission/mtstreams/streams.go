// Package mtstreams limits the concurrent requests of one client account at an entry.
//
// It handles an account that opens streams and leaves them open. Without the limit, that
// account's connections use up the entry's memory before the requests of other accounts reach
// fair admission at the targets.
package mtstreams

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

const (
	// retryJitter is the time over which refused callers retry. Callers read whole seconds:
	// with a jitter of one second all would get the same delay.
	retryJitter = 3 * time.Second
	// answerTime is the approximate duration of a stream.
	answerTime = time.Second
)

// Limiter counts the concurrent requests of each account at one entry. It is safe for
// concurrent use; a decision takes no lock.
type Limiter struct {
	// counters holds a counter for each account name. Counters are never removed.
	counters sync.Map
}

// New returns a limiter without requests.
func New() *Limiter { return &Limiter{} }

// Acquire counts one request of an account. It returns a refusal, and counts nothing, if the
// account is at its limit. Otherwise the request must be released at its end with the same
// account.
func (s *Limiter) Acquire(account *mustardtidev1.Account) *mtrefusal.Refusal {
	if account.GetStreams() == 0 {
		return nil
	}
	if counter := s.counter(account); counter.Add(1) > int64(account.GetStreams()) {
		counter.Add(-1)
		return mtrefusal.New(mtcode.StreamsExceeded, account.GetName()).WithRetryAfter(answerTime + rand.N(retryJitter))
	}
	return nil
}

// Release releases a request that was counted.
func (s *Limiter) Release(account *mustardtidev1.Account) {
	if account.GetStreams() > 0 {
		s.counter(account).Add(-1)
	}
}

func (s *Limiter) counter(account *mustardtidev1.Account) *atomic.Int64 {
	found, known := s.counters.Load(account.GetName())
	if !known {
		found, _ = s.counters.LoadOrStore(account.GetName(), &atomic.Int64{})
	}
	return found.(*atomic.Int64)
}
