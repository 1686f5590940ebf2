// Package mtlimit bounds what one client account takes of an entry.
//
// The load it answers is one account that sends without end, or opens streams
// and leaves them open: without it that account fills the queues of every
// target, and its connections take up the entry's memory, before fair admission
// at the targets sees the others at all.
//
// Each account has a bucket of cost in tokens, kept as the one time at which it
// would be full (the generic cell rate algorithm), and a count of requests under
// way. The account's rate holds over all entries: each takes its share.
package mtlimit

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
	// defaultBurst is the bucket of an account whose settings give none, as a
	// time of its rate; settings.proto names the same figure.
	defaultBurst = 10 * time.Second
	// spread is the shortest time over which those refused come back. Callers
	// read whole seconds: over one second all are told the same one.
	spread = 3 * time.Second
	// answerTime is about what a stream takes to end.
	answerTime = time.Second
)

// Limits holds the accounts' buckets of one entry. It is safe for concurrent
// use; a decision takes no lock.
type Limits struct {
	accounts sync.Map
}

// account is what one account has taken. It is about 100 bytes with its place
// in the map, and stays: 12,000 accounts take 1.2 MB.
type account struct {
	streams atomic.Int64
	full    atomic.Int64 // when the bucket is full again, in nanoseconds
}

// New returns limits of which nobody has taken anything.
func New() *Limits { return &Limits{} }

// Enter takes an estimated cost in tokens and one request of an account, at one
// of so many entries. A refusal has taken nothing; otherwise Leave must follow.
func (l *Limits) Enter(of *mustardtidev1.Account, cost float64, entries int) *mtrefusal.Refusal {
	a := l.account(of.GetName())
	if of.GetStreams() > 0 && a.streams.Add(1) > int64(of.GetStreams()) {
		a.streams.Add(-1)
		return mtrefusal.New(mtcode.StreamsExceeded, of.GetName()).After(answerTime + rand.N(spread))
	}
	if wait := a.take(of, cost, entries); wait > 0 {
		a.leave(of)
		return mtrefusal.New(mtcode.RateExceeded, of.GetName()).After(wait + rand.N(max(wait, spread)))
	}
	return nil
}

// Leave ends a request whose estimated cost turned out to be another.
func (l *Limits) Leave(of *mustardtidev1.Account, estimated, actual float64, entries int) {
	a := l.account(of.GetName())
	a.leave(of)
	if of.GetRate() > 0 {
		a.full.Add(int64(worth(of, actual-estimated, entries)))
	}
}

func (l *Limits) account(name string) *account {
	found, known := l.accounts.Load(name)
	if !known {
		found, _ = l.accounts.LoadOrStore(name, &account{})
	}
	return found.(*account)
}

func (a *account) leave(of *mustardtidev1.Account) {
	if of.GetStreams() > 0 {
		a.streams.Add(-1)
	}
}

// take moves the time at which the bucket is full; it returns how long until the
// cost fits, or zero where it was taken. A request larger than the whole bucket
// needs a full one and is paid off afterwards.
func (a *account) take(of *mustardtidev1.Account, cost float64, entries int) time.Duration {
	if of.GetRate() <= 0 {
		return 0
	}
	price := worth(of, cost, entries)
	for {
		now := time.Now().UnixNano()
		old := a.full.Load()
		full := max(old, now)
		over := time.Duration(full-now) + min(price, bucket(of, entries)) - bucket(of, entries)
		if over > 0 {
			return over
		}
		if a.full.CompareAndSwap(old, full+int64(price)) {
			return 0
		}
	}
}

// worth is the time in which an entry's share of the rate brings a cost.
func worth(of *mustardtidev1.Account, cost float64, entries int) time.Duration {
	return time.Duration(cost * float64(max(entries, 1)) / of.GetRate() * float64(time.Second))
}

// bucket is the size of an entry's bucket, as a time of its share of the rate.
func bucket(of *mustardtidev1.Account, entries int) time.Duration {
	if of.GetBurst() <= 0 {
		return defaultBurst
	}
	return worth(of, of.GetBurst()/float64(max(entries, 1)), entries)
}
