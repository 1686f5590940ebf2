// Package mtstreams bounds the requests that one client account has under way at
// an entry.
//
// The load it answers is one account that opens streams and leaves them open:
// without it that account's connections take up the entry's memory, before fair
// admission at the targets sees the others at all.
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
	// spread is the time over which those refused come back. Callers read whole
	// seconds: over one second all are told the same one.
	spread = 3 * time.Second
	// answerTime is about what a stream takes to end.
	answerTime = time.Second
)

// Streams counts the accounts' requests under way at one entry. It is safe for
// concurrent use; a decision takes no lock.
type Streams struct {
	// accounts are counters by name, which stay.
	accounts sync.Map
}

// New returns a count of nothing.
func New() *Streams { return &Streams{} }

// Enter takes one request of an account. A refusal has taken nothing; otherwise
// Leave must follow with the same account.
func (s *Streams) Enter(of *mustardtidev1.Account) *mtrefusal.Refusal {
	if of.GetStreams() == 0 {
		return nil
	}
	if count := s.count(of); count.Add(1) > int64(of.GetStreams()) {
		count.Add(-1)
		return mtrefusal.New(mtcode.StreamsExceeded, of.GetName()).After(answerTime + rand.N(spread))
	}
	return nil
}

// Leave ends a request.
func (s *Streams) Leave(of *mustardtidev1.Account) {
	if of.GetStreams() > 0 {
		s.count(of).Add(-1)
	}
}

func (s *Streams) count(of *mustardtidev1.Account) *atomic.Int64 {
	found, known := s.accounts.Load(of.GetName())
	if !known {
		found, _ = s.accounts.LoadOrStore(of.GetName(), &atomic.Int64{})
	}
	return found.(*atomic.Int64)
}
