// Package mtfault brings about the failures of the platform's object API: down,
// hanging, slow, answers lost after a write took effect, rates used up and
// broken watches. It counts the calls by kind.
package mtfault

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults is safe for concurrent use. The zero value is not for use; New makes
// one without faults.
type Faults struct {
	mu     sync.Mutex
	random *rand.Rand
	down   bool
	hang   chan struct{}
	slow   time.Duration
	lose   float64
	watch  chan struct{}
	broken bool
	reads  meter
	writes meter
	opened uint64
	lost   uint64
}

// New returns no faults; seed decides which answers are lost.
func New(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, 0)), watch: make(chan struct{})}
}

// Down makes every call fail at once with 503 and ends the open watches.
func (f *Faults) Down(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	if down {
		f.endWatches()
	}
}

// Hang makes every call wait without an answer until it is turned off or the
// client gives up; open watches fall silent.
func (f *Faults) Hang(hang bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case hang && f.hang == nil:
		f.hang = make(chan struct{})
	case !hang && f.hang != nil:
		close(f.hang)
		f.hang = nil
	}
}

// Slow delays every call before it takes effect. A write whose client has
// given up meanwhile still takes effect, late.
func (f *Faults) Slow(by time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow = by
}

// Lose breaks the connection of this share of the writes after they took
// effect: 1 loses every answer.
func (f *Faults) Lose(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose = share
}

// Limit bounds reads and writes a second; what is above gets 429 with
// Retry-After. Zero is no bound. An opened watch counts as a read.
func (f *Faults) Limit(reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads.limit = reads
	f.writes.limit = writes
}

// BreakWatches ends the open watches; new ones fail until it is turned off.
func (f *Faults) BreakWatches(broken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = broken
	if broken {
		f.endWatches()
	}
}

// Reads counts the reads asked for, opened watches apart.
func (f *Faults) Reads() uint64 { return f.count(&f.reads.total) }

// Writes counts the creates, updates and deletes asked for.
func (f *Faults) Writes() uint64 { return f.count(&f.writes.total) }

// Watches counts the watches opened.
func (f *Faults) Watches() uint64 { return f.count(&f.opened) }

// Lost counts the answers lost after their write took effect.
func (f *Faults) Lost() uint64 { return f.count(&f.lost) }

// Limited counts the calls that got 429.
func (f *Faults) Limited() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads.refused + f.writes.refused
}

// Watching returns a channel that closes when the open watches break.
func (f *Faults) Watching() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watch
}

// Gate waits while calls hang; it is false where ctx ended first.
func (f *Faults) Gate(ctx context.Context) bool {
	f.mu.Lock()
	hang := f.hang
	f.mu.Unlock()
	if hang == nil {
		return true
	}
	select {
	case <-hang:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *Faults) count(n *uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *n
}

// endWatches breaks the open ones. The lock is held.
func (f *Faults) endWatches() {
	close(f.watch)
	f.watch = make(chan struct{})
}
